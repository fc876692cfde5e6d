package gateway

import (
	"context"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/routes"
)

// minCopyOutputTokens is the number of tokens from which on a run is copied as it grows. Engines
// copy a few times a second, and a token takes some 5 ms: shorter runs have mostly ended
// before their copy is there.
const minCopyOutputTokens = 16

// maxCopyPromptTokens is the number of prompt tokens up to which a run is copied. A copy moves the
// memory of the whole prompt and takes as much room at the other engine for as long as the
// run lasts: those of long prompts drive other parts out and save no more streams.
const maxCopyPromptTokens = 2048

// wantsCopy tells whether a request's run should be copied to another engine: a stream
// that nobody could go on with otherwise if its engine is lost.
func wantsCopy(current *callerRequest) bool {
	return current.route.Kind == routes.Streaming && !current.route.Resumable && !current.quarantineTrial &&
		current.metadata.OutputTokens >= minCopyOutputTokens && current.metadata.PromptTokens <= maxCopyPromptTokens
}

// resumeAtCopy has the engine that holds a copy of a lost run go on behind the last
// event that the caller has.
func (g *Gateway) resumeAtCopy(ctx context.Context, current *callerRequest) attempt.Step {
	lost := current.lostPlacement
	current.lostPlacement = nil
	now := g.now()
	var placement *backends.Placement
	if g.permits(current, &lost.Engine.CopyTo) && (current.tenant == nil || g.canServeKeyed()) {
		placement = g.workers.Continue(now, lost, current.metadata.Model)
	}
	if placement == nil {
		return current.attempts.NotSent(now, lost.Engine.CopyTo.Run())
	}
	g.chargeRerun(current)
	return g.sendTo(ctx, current, placement)
}

// rememberCopy tells whether another engine may hold a copy of a placement's run, and keeps
// the placement for continueAtCopy.
func (c *callerRequest) rememberCopy(placement *backends.Placement) bool {
	if placement.Engine == nil || placement.Engine.CopyTo.ID == "" || c.lastEventID == "" {
		return false
	}
	c.lostPlacement = placement
	return true
}
