package enginemodel

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/prompt"
)

// HashedRequest is a dispatch without text. Its stream has no frames; TakeStreamEvents reports its
// progress.
type HashedRequest struct {
	StreamID    fleet.StreamID
	Incarnation fleet.Incarnation
	Tenant      fleet.TenantName
	Weights     engine.ModelVersion
	// Hashes are the hashes of the whole blocks of the prompt. The engine keeps the slice.
	Hashes []fleet.BlockHash
	// PromptTokens and OutputTokens are lengths in tokens.
	PromptTokens int
	OutputTokens int
	Priority     int
}

// Dispatch accepts a stream or returns an *engine.Error. It checks, in this order: incarnation,
// barred identifier, duplicate, draining, weights, request fields and queue length.
func (e *Engine) Dispatch(now time.Duration, request engine.DispatchRequest) error {
	e.Advance(now)
	if failure := e.checkDispatch(request.StreamID, request.Incarnation, request.ModelVersion); failure != nil {
		return failure
	}
	if request.StreamID == "" || request.MaxTokens < 1 || request.Prompt == "" {
		return e.newError(engine.ErrorBadRequest, "stream_id, prompt and a positive max_tokens are required")
	}
	if failure := e.checkQueue(); failure != nil {
		return failure
	}
	scope := cacheScope(request.Tenant, request.ModelVersion)
	s := &stream{
		id:                 request.StreamID,
		scope:              e.scopeNumber(request.Tenant, request.ModelVersion),
		priority:           request.Priority,
		hashes:             prompt.HashBlocks(scope, request.Prompt, e.config.BlockTokens),
		promptTokens:       prompt.CountTokens(request.Prompt),
		continuationTokens: len(request.Continuation),
		produced:           len(request.Continuation),
		limit:              min(request.MaxTokens, e.config.MaxOutputTokens),
		finishReason:       finishLength,
		text:               e.newOutput(request, scope),
	}
	if stop := e.config.StopTokens; stop > 0 && stop < s.limit {
		s.limit = stop
		s.finishReason = finishStop
	}
	e.accept(s)
	return nil
}

// DispatchHashed is Dispatch for a request without text.
func (e *Engine) DispatchHashed(now time.Duration, request HashedRequest) error {
	e.Advance(now)
	if failure := e.checkDispatch(request.StreamID, request.Incarnation, request.Weights); failure != nil {
		return failure
	}
	if request.StreamID == "" || request.OutputTokens < 1 || request.PromptTokens < 1 {
		return e.newError(engine.ErrorBadRequest, "an identifier and positive lengths are required")
	}
	if failure := e.checkQueue(); failure != nil {
		return failure
	}
	e.accept(&stream{
		id:           request.StreamID,
		scope:        e.scopeNumber(request.Tenant, request.Weights),
		priority:     request.Priority,
		hashes:       request.Hashes,
		promptTokens: request.PromptTokens,
		limit:        request.OutputTokens,
		finishReason: finishLength,
	})
	return nil
}

// checkDispatch checks everything that depends only on the identity of the stream, the incarnation
// and the weights.
func (e *Engine) checkDispatch(id fleet.StreamID, incarnation fleet.Incarnation, weights engine.ModelVersion) error {
	if incarnation != e.incarnation {
		return e.newError(engine.ErrorWrongIncarnation, "dispatch is for another run of this engine")
	}
	if ended, found := e.closed[id]; found && ended.state != engine.CancelFinished {
		return e.newError(engine.ErrorBarred, "stream was cancelled")
	}
	if _, found := e.closed[id]; found {
		return e.newError(engine.ErrorDuplicate, "stream has finished")
	}
	if _, found := e.streams[id]; found {
		return e.newError(engine.ErrorDuplicate, "stream exists")
	}
	if e.control.leaving {
		return e.newError(engine.ErrorDraining, "engine is leaving")
	}
	if !e.control.isLoaded(weights) {
		return e.newError(engine.ErrorVersionNotLoaded, "weights are not loaded")
	}
	return nil
}

func (e *Engine) checkQueue() error {
	if len(e.waiting.streams) >= e.config.MaxWaiting {
		return e.newError(engine.ErrorOverloaded, "queue is full")
	}
	return nil
}

func (e *Engine) accept(s *stream) {
	e.streams[s.id] = s
	if s.produced >= s.limit {
		e.finish(s)
		return
	}
	cached, _ := e.blocks.prefix(s.hashes)
	s.cachedTokens = min(cached*e.config.BlockTokens, s.promptTokens-1)
	s.scheduledFrom = e.blocks.expected(s.hashes)
	s.expectedPrefill = s.promptTokens - min(s.scheduledFrom*e.config.BlockTokens, s.promptTokens-1) + s.continuationTokens
	e.blocks.addScheduled(s.hashes[s.scheduledFrom:])
	e.waiting.push(s)
	e.startStep()
	e.events.flush(e.now)
}

func (e *Engine) newOutput(request engine.DispatchRequest, scope fleet.CacheScope) *output {
	run := fleet.EngineRun{Engine: e.config.ID, Incarnation: e.incarnation}
	return &output{
		scope:        scope,
		prompt:       request.Prompt,
		promptDigest: xxhash.Sum64String(request.Prompt),
		variant:      variantFor(run, request.StreamID),
		tokens:       slices.Clone(request.Continuation),
	}
}
