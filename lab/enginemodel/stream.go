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

// stream is one accepted attempt.
type stream struct {
	id       fleet.StreamID
	scope    int32
	priority int
	state    streamState

	hashes       []fleet.BlockHash
	promptTokens int
	cachedTokens int
	// continuationTokens output tokens came with the dispatch; produced counts them too.
	continuationTokens int
	produced           int
	limit              int

	// scheduledFrom is the first block of the prompt that counts as due for this
	// stream; those before it are stored or due for an earlier stream.
	scheduledFrom int
	// expectedPrefill is the prompt work that the waiting queue counts.
	expectedPrefill int
	// remainingPrefill includes the carried output tokens.
	remainingPrefill int
	// chunk is the prompt work in the present step; decoding tells that the
	// step computes an output token.
	chunk    int
	decoding bool
	// pinned leading blocks are held in the cache, reserved ones promised to
	// the rest of the prompt, outputReserved ones to the output.
	pinned         int
	reserved       int
	outputReserved int

	finishReason string
	endedAt      time.Duration
	text         *output
}

// output holds what only streams with text have.
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

// blockHashes returns the blocks of prompt and output together.
func (o *output) blockHashes(blockTokens int) []fleet.BlockHash {
	var text strings.Builder
	text.WriteString(o.prompt)
	for _, token := range o.tokens {
		text.WriteString(token)
	}
	return prompt.HashBlocks(o.scope, text.String(), blockTokens)
}

// closedStream is what stays of a stream for the rest of the incarnation.
type closedStream struct {
	state  engine.CancelState
	tokens int
}

// waitingQueue is in the order of admission: by priority, then arrival.
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
