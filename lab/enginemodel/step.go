package enginemodel

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
)

// startStep composes the next batch, unless a step is in progress or there is no work.
func (e *Engine) startStep() {
	if e.stepping {
		return
	}
	budget := e.config.Costs.StepTokens
	decoded := 0
	for _, s := range e.running {
		s.chunk = 0
		s.decoding = s.remainingPrefill == 0 && budget > 0
		if s.decoding {
			decoded++
			budget--
		}
	}
	prefill := 0
	for _, s := range e.running {
		if s.remainingPrefill > 0 {
			s.chunk = min(s.remainingPrefill, budget)
			budget -= s.chunk
			prefill += s.chunk
		}
	}
	for budget > 0 && e.admitNext() {
		s := e.running[len(e.running)-1]
		s.chunk = min(s.remainingPrefill, budget)
		budget -= s.chunk
		prefill += s.chunk
	}
	if decoded+prefill == 0 {
		return
	}
	costs := e.config.Costs
	e.stepping = true
	e.stepEnd = e.now + costs.StepBase +
		time.Duration(decoded)*costs.DecodePerToken +
		time.Duration(prefill)*costs.PrefillPerToken
}

// admitNext moves the first waiting stream into the batch if it fits.
func (e *Engine) admitNext() bool {
	if len(e.waiting.streams) == 0 || len(e.running) >= e.config.MaxRunning {
		return false
	}
	s := e.waiting.streams[0]
	cached, unpinned := e.blocks.prefix(s.hashes)
	missing := len(s.hashes) - cached
	outputBlocks := (s.limit + e.config.BlockTokens - 1) / e.config.BlockTokens
	available := e.blocks.available() - unpinned
	if missing+outputBlocks > available {
		if len(e.running) > 0 {
			return false
		}
		missing = min(missing, max(available, 0))
		outputBlocks = max(min(outputBlocks, available-missing), 0)
	}
	e.waiting.remove(s)
	e.admit(s, cached, missing, outputBlocks)
	return true
}

func (e *Engine) admit(s *stream, cached, missing, outputBlocks int) {
	s.state = streamRunning
	s.pinned = cached
	for _, hash := range s.hashes[:cached] {
		e.blocks.pin(hash)
	}
	s.reserved = missing
	s.outputReserved = outputBlocks
	e.blocks.reserve(missing + outputBlocks)
	s.cachedTokens = min(cached*e.config.BlockTokens, s.promptTokens-1)
	s.remainingPrefill = s.promptTokens - s.cachedTokens + s.continuationTokens
	e.clearScheduled(s, cached)
	e.recordExecution(s, cached)
	e.running = append(e.running, s)
	e.counters.HitTokens += int64(s.cachedTokens)
	e.counters.PromptTokens += int64(s.promptTokens)
}

// finishStep applies the results of the batch.
func (e *Engine) finishStep() {
	e.stepping = false
	e.counters.Steps++
	for _, s := range e.running {
		if s.chunk > 0 {
			e.storeComputed(s)
		}
		if s.decoding || (s.chunk > 0 && s.remainingPrefill == 0) {
			e.produce(s)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(s *stream) bool { return s.state != streamRunning })
	if len(e.running) == 0 {
		e.sampleLoad(e.now)
	}
}

// storeComputed accounts for a computed chunk of the prompt and stores the blocks that it
// completed.
func (e *Engine) storeComputed(s *stream) {
	e.counters.PrefillTokens += int64(s.chunk)
	s.remainingPrefill -= s.chunk
	position := s.promptTokens + s.continuationTokens - s.remainingPrefill
	whole := min(position/e.config.BlockTokens, len(s.hashes))
	for s.pinned < whole && s.reserved > 0 {
		e.blocks.storeReserved(s.hashes[s.pinned], s.scope)
		s.pinned++
		s.reserved--
	}
	e.clearScheduled(s, whole)
}

// clearScheduled removes the stream's blocks before a position from the scheduled ones.
func (e *Engine) clearScheduled(s *stream, before int) {
	if before > s.scheduledFrom {
		e.blocks.removeScheduled(s.hashes[s.scheduledFrom:before])
		s.scheduledFrom = before
	}
}

// produce adds the next output token to a stream.
func (e *Engine) produce(s *stream) {
	s.produced++
	e.counters.OutputTokens++
	if s.text != nil {
		s.text.appendToken()
	} else if s.produced == 1 {
		e.recordStreamEvent(s, StreamFirstToken)
	}
	if s.produced >= s.limit {
		e.finish(s)
	}
}

// finish ends a complete stream. The caller removes it from the batch.
func (e *Engine) finish(s *stream) {
	s.state = streamFinished
	e.dropReservations(s)
	e.storeOutput(s)
	e.unpinAll(s)
	e.closeStream(s, StreamDone)
}

func (e *Engine) dropReservations(s *stream) {
	e.blocks.reserved -= s.reserved + s.outputReserved
	s.reserved, s.outputReserved = 0, 0
}

// unpinAll unpins all blocks of a stream, the end of the prefix first, so that the beginning is
// evicted last.
func (e *Engine) unpinAll(s *stream) {
	for s.pinned > 0 {
		s.pinned--
		e.blocks.unpin(s.hashes[s.pinned], e.now)
	}
}

// storeOutput caches the whole blocks of the output for later prompts that continue it.
func (e *Engine) storeOutput(s *stream) {
	if s.text == nil || s.produced == s.continuationTokens || s.pinned < len(s.hashes) {
		return
	}
	hashes := s.text.blockHashes(e.config.BlockTokens)
	e.blocks.storeIdle(hashes[len(s.hashes):], s.scope, e.now)
}

// closeStream closes a finished or cancelled stream. A stream with text is retained for its
// readers.
func (e *Engine) closeStream(s *stream, kind StreamEventKind) {
	s.endedAt = e.now
	e.clearScheduled(s, len(s.hashes))
	s.hashes = nil
	if s.text == nil {
		e.recordStreamEvent(s, kind)
		e.discard(s)
		return
	}
	s.text.prompt = ""
	e.retained = append(e.retained, s)
}

// discard removes an ended stream and keeps its identifier in closed.
func (e *Engine) discard(s *stream) {
	state := engine.CancelFinished
	if s.state == streamCancelled {
		state = engine.CancelCancelled
	}
	if _, barred := e.closed[s.id]; !barred {
		e.closed[s.id] = closedStream{state: state, tokens: s.produced}
	}
	delete(e.streams, s.id)
}
