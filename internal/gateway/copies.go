package gateway

import (
	"context"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/routes"
)

// minCopyOutputTokens is the least number of output tokens for which a run is replicated to another
// engine. Most shorter runs end before their copy is complete.
const minCopyOutputTokens = 16

// maxCopyPromptTokens is the largest prompt, in tokens, for which a run is replicated. A copy
// transfers the KV cache of the whole prompt and occupies as much memory at the other engine while
// the run lasts.
const maxCopyPromptTokens = 2048

// wantsCopy reports whether a request's run should be replicated to another engine: it is a stream
// that could not be resumed otherwise if its engine is lost.
func wantsCopy(current *callerRequest) bool {
	return current.route.Kind == routes.Streaming && !current.route.Resumable && !current.quarantineTrial &&
		current.metadata.OutputTokens >= minCopyOutputTokens && current.metadata.PromptTokens <= maxCopyPromptTokens
}

// resumeAtCopy resumes a lost run at the engine that holds its copy, after the last event that the
// caller received.
func (g *Gateway) resumeAtCopy(ctx context.Context, current *callerRequest) attempt.Step {
	lost := current.lostPlacement
	current.lostPlacement = nil
	now := g.now()
	var placement *backends.Placement
	if g.isSendAllowed(current, &lost.Engine.CopyTo) && (current.tenant == nil || g.canServeKeyed()) {
		placement = g.workers.Continue(now, lost, current.metadata.Model)
	}
	if placement == nil {
		return current.attempts.NotSent(now, lost.Engine.CopyTo.Run())
	}
	g.chargeRerun(current)
	return g.sendTo(ctx, current, placement)
}

// rememberCopy keeps the placement of a lost run for resumeAtCopy. It returns false if no other
// engine can hold a copy of the run.
func (c *callerRequest) rememberCopy(placement *backends.Placement) bool {
	if placement.Engine == nil || placement.Engine.CopyTo.ID == "" || c.lastEventID == "" {
		return false
	}
	c.lostPlacement = placement
	return true
}
