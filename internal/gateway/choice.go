package gateway

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/routes"
)

// messageBytes is the size of an exchange besides the request's body: headers both ways
// and an answer of some hundred bytes.
const messageBytes = 1500

// choice describes the request to the registry.
func (g *Gateway) choice(current *carried) *backends.Request {
	destination := g.destination(current, &backends.Worker{})
	request := &backends.Request{
		Service:  current.service.Name,
		Excluded: current.machine.Excluded(),
		Free: func(worker *backends.Worker) bool {
			destination.Engine, destination.Address = worker.ID, worker.Address
			return g.upstreams.HasCapacity(destination)
		},
		Bytes:    messageBytes + int(max(current.request.ContentLength, 0)),
		Versions: g.versions(current, current.wasAtTarget),
	}
	if g.limits.any.Load() || g.backoffs.any.Load() {
		now, priority := g.now(), limitPriority(current)
		current.atLimit = false
		request.Intake = func(worker *backends.Worker) (backends.Intake, time.Duration) {
			intake, opensIn := g.limits.intake(now, worker, priority)
			current.atLimit = current.atLimit || intake == backends.IntakeClosed
			if closed := g.backoffs.closed(now, backoffRun(worker.ID, worker.Born)); closed > 0 {
				return backends.IntakeClosed, max(closed, opensIn)
			}
			return intake, opensIn
		}
	}
	if engine := current.service.Engine; engine != nil {
		request.Engine = &backends.EngineRequest{
			ID:           fleet.RequestID(current.metadata.RequestID),
			Model:        current.metadata.Model,
			Parts:        current.metadata.Parts,
			PromptTokens: current.metadata.PromptTokens,
			OutputTokens: current.metadata.OutputTokens,
			Priority:     priorityOf(current),
			TimeLeft:     g.targetLeft(current),
			Target:       current.route.TargetLatency,
			MayRefuse:    current.machine.Sends() == 0,
			WantsCopy:    wantsCopy(current),
			EventTokens:  engine.EventTokens,
			TokenBytes:   engine.TokenBytes,
			LinkMegabits: engine.LinkMegabits,
		}
		if store := g.keptStore(current); store != nil {
			request.Engine.Store, request.Engine.StoreZone = store.Store.Address, store.Store.Zone
			request.Engine.StoreMegabits = store.Store.LinkMegabits
		}
		if current.tenant != nil {
			request.Engine.Tenant, request.Engine.Isolated = current.tenant.Name, current.tenant.Isolated
		}
	}
	return request
}

// closedRefusal returns why a request is refused for which all workers are closed, and when its
// caller is to come back. opensIn is the time until the first of them opens.
func (g *Gateway) closedRefusal(current *carried, opensIn time.Duration) backends.Refusal {
	if current.atLimit {
		return backends.Refusal{Reason: backends.ReasonLimited, RetryAfter: g.limits.returnAfter(g.now(), opensIn, g.servingCount())}
	}
	return backends.Refusal{Reason: reasonBackoff, RetryAfter: g.backoffs.returnAfter(opensIn, priorityOf(current))}
}

// targetLeft returns the time within which an answer should begin; 0 if the route
// names none.
func (g *Gateway) targetLeft(current *carried) time.Duration {
	if current.route.TargetLatency <= 0 {
		return 0
	}
	return max(current.began+current.route.TargetLatency-g.now(), time.Millisecond)
}

// keptStore returns the store of kept KV cache for a request's prompt, or nil:
// of several, all nodes take the same one for the same shared parts.
func (g *Gateway) keptStore(current *carried) *routes.Service {
	held := g.holder.Current()
	if held == nil {
		return nil
	}
	key := backends.PrefixName(current.metadata.Parts)
	var kept *routes.Service
	highest := uint64(0)
	for _, store := range held.Table.Stores() {
		weight := membership.RendezvousWeight(key, string(store.Store.Address))
		if kept == nil || weight > highest {
			kept, highest = store, weight
		}
	}
	return kept
}
