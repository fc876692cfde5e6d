package enginemodel

import (
	"sort"
	"strings"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/prompt"
)

// Finish reasons of the engine protocol.
const (
	finishStop   = "stop"
	finishLength = "length"
)

type streamState uint8

const (
	streamWaiting streamState = iota
	streamRunning
	streamFinished
	streamCancelled
)

// stream is an accepted stream.
type stream struct {
	id       fleet.StreamID
	scope    int32
	priority int
	state    streamState

	hashes       []fleet.BlockHash
	promptTokens int
	cachedTokens int
	// continuationTokens counts the output tokens that the dispatch carried; produced includes
	// them.
	continuationTokens int
	produced           int
	limit              int

	// scheduledFrom is the first block of the prompt that is scheduled for this stream; those
	// before it are stored or scheduled for an earlier stream.
	scheduledFrom int
	// expectedPrefill is the number of prompt tokens that the waiting queue counts for this stream.
	expectedPrefill int
	// remainingPrefill counts the tokens still to be computed, including continuationTokens.
	remainingPrefill int
	// chunk is the number of prompt tokens computed in the current step; decoding is set if the
	// step computes an output token.
	chunk    int
	decoding bool
	// pinned counts the leading blocks that the stream pins, reserved the blocks reserved for the
	// rest of the prompt, outputReserved those reserved for the output.
	pinned         int
	reserved       int
	outputReserved int

	finishReason string
	endedAt      time.Duration
	text         *output
}

// output is the additional state of a stream with text.
type output struct {
	scope        fleet.CacheScope
	prompt       string
	promptDigest uint64
	variant      rune
	tokens       []string
}

func (o *output) appendToken() {
	previous := ""
	if last := len(o.tokens) - 1; last >= 0 {
		previous = o.tokens[last]
	}
	o.tokens = append(o.tokens, tokenText(o.promptDigest, len(o.tokens), o.variant, previous))
}

// blockHashes returns the block hashes of prompt and output together.
func (o *output) blockHashes(blockTokens int) []fleet.BlockHash {
	var text strings.Builder
	text.WriteString(o.prompt)
	for _, token := range o.tokens {
		text.WriteString(token)
	}
	return prompt.HashBlocks(o.scope, text.String(), blockTokens)
}

// closedStream is what is kept of an ended stream for the rest of the incarnation.
type closedStream struct {
	state  engine.CancelState
	tokens int
}

// waitingQueue is ordered by priority, then arrival.
type waitingQueue struct {
	streams       []*stream
	prefillTokens int
}

func (q *waitingQueue) push(s *stream) {
	q.prefillTokens += s.expectedPrefill
	position := sort.Search(len(q.streams), func(i int) bool { return q.streams[i].priority > s.priority })
	q.streams = append(q.streams, nil)
	copy(q.streams[position+1:], q.streams[position:])
	q.streams[position] = s
}

func (q *waitingQueue) remove(s *stream) {
	for position, other := range q.streams {
		if other == s {
			copy(q.streams[position:], q.streams[position+1:])
			q.streams[len(q.streams)-1] = nil
			q.streams = q.streams[:len(q.streams)-1]
			q.prefillTokens -= s.expectedPrefill
			return
		}
	}
}
