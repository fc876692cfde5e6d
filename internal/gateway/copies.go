package gateway

import (
	"context"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/routes"
)

// leastCopied is the number of tokens from which on a run is copied as it grows. Engines
// copy a few times a second, and a token takes some 5 ms: shorter runs have mostly ended
// before their copy is there.
const leastCopied = 16

// mostCopied is the number of prompt tokens up to which a run is copied. A copy moves the
// memory of the whole prompt and takes as much room at the other engine for as long as the
// run lasts: those of long prompts drive other parts out and save no more streams.
const mostCopied = 2048

// wantsCopy tells whether a request's run should be copied to another engine: a stream
// that nobody could go on with otherwise if its engine is lost.
func wantsCopy(current *carried) bool {
	return current.route.Kind == routes.Streaming && !current.route.Resumable && !current.trial &&
		current.metadata.OutputTokens >= leastCopied && current.metadata.PromptTokens <= mostCopied
}

// continueAtCopy has the engine that holds a copy of a lost run go on behind the last
// event that the caller has.
func (g *Gateway) continueAtCopy(ctx context.Context, current *carried) attempt.Step {
	lost := current.lost
	current.lost = nil
	now := g.now()
	var placement *backends.Placement
	if g.isSendAllowed(current, &lost.Engine.CopyTo) && (current.tenant == nil || g.mayServeKeyed()) {
		placement = g.workers.Continue(now, lost, current.metadata.Model)
	}
	if placement == nil {
		return current.machine.NotSent(now, lost.Engine.CopyTo.Run())
	}
	g.chargeAgain(current)
	return g.sendTo(ctx, current, placement)
}

// keepsCopy tells whether another engine may hold a copy of a placement's run, and keeps
// the placement for continueAtCopy.
func (c *carried) keepsCopy(placement *backends.Placement) bool {
	if placement.Engine == nil || placement.Engine.CopyTo.ID == "" || c.lastEventID == "" {
		return false
	}
	c.lost = placement
	return true
}
