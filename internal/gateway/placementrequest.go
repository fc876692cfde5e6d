package gateway

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/routes"
)

// exchangeOverheadBytes is the assumed size of an exchange besides the request's body: headers in
// both directions and a short response.
const exchangeOverheadBytes = 1500

// placementRequest describes a caller's request to the worker registry.
func (g *Gateway) placementRequest(current *callerRequest) *backends.Request {
	request := &backends.Request{
		Service:    current.service.Name,
		Excluded:   current.attempts.Excluded(),
		Repeatable: mayTry(current),
		Bytes:      exchangeOverheadBytes + int(max(current.request.ContentLength, 0)),
		Software:   g.allowedVersions(current, current.sentToTarget),
		Origin:     current.origin,
	}
	current.capacity = g.capacityFor(current)
	current.capacity.restrict(g.now(), request)
	if engine := current.service.Engine; engine != nil {
		request.Engine = &backends.EngineRequest{
			ID:           fleet.RequestID(current.metadata.RequestID),
			Model:        current.metadata.Model,
			Parts:        current.metadata.Parts,
			PromptTokens: current.metadata.PromptTokens,
			OutputTokens: current.metadata.OutputTokens,
			Priority:     priorityOf(current),
			TimeLeft:     g.latencyTargetLeft(current),
			Target:       current.route.TargetLatency,
			Deadline:     g.callerWaits(current),
			MayRefuse:    current.attempts.Sends() == 0 && current.origin.IsAny(),
			WantsCopy:    wantsCopy(current),
			EventTokens:  engine.EventTokens,
			TokenBytes:   engine.TokenBytes,
			LinkMegabits: engine.LinkMegabits,
		}
		if store := g.cacheStore(current); store != nil {
			request.Engine.Store, request.Engine.StoreZone = store.Store.Address, store.Store.Zone
			request.Engine.StoreMegabits = store.Store.LinkMegabits
		}
		if current.tenant != nil {
			request.Engine.Tenant, request.Engine.Isolated = current.tenant.Name, current.tenant.Isolated
		}
	}
	return request
}

// mayTry reports whether a request may try a silent engine. An answer that comes only when it is
// complete shows too late that the engine is still silent.
func mayTry(current *callerRequest) bool {
	return current.route.Kind == routes.Streaming && !current.moved && current.attempts.CanRepeat()
}

// reserveMove returns the check whether another worker could take a request while a send of it is unanswered. The
// check takes the retry from the budget, and must be called only while the send is pending. It is nil if the request
// must not be sent again.
func (g *Gateway) reserveMove(current *callerRequest, placement *backends.Placement) func(now time.Duration) bool {
	if !current.attempts.CanRepeat() {
		return nil
	}
	avoidTarget, capacity := g.avoidsTargetAfter(current, placement), g.capacityFor(current)
	return func(now time.Duration) bool {
		request := backends.Request{
			Service: current.service.Name, Excluded: current.attempts.Excluded(), Origin: current.origin,
			Software: g.allowedVersions(current, avoidTarget),
		}
		if placement.Engine != nil {
			request.Engine = &backends.EngineRequest{
				Model: current.metadata.Model, Priority: priorityOf(current),
				PromptTokens: current.metadata.PromptTokens, OutputTokens: current.metadata.OutputTokens,
			}
		}
		capacity.restrict(now, &request)
		return g.workers.HasElsewhere(now, &request, placement.Worker.ID) &&
			g.budgets.forRequest(current.service.Name, current.metadata.RequestID).Withdraw(now)
	}
}

// avoidsTargetAfter reports whether the placement after the given one avoids the target version.
func (g *Gateway) avoidsTargetAfter(current *callerRequest, placement *backends.Placement) bool {
	return current.sentToTarget || g.deliveries.isTarget(placement.Worker.Service, placement.Worker.Software)
}

// unavailableRefusal returns the refusal for a request whose candidate workers are all closed, by
// their limits or in backoff. opensIn is the time until the first of them opens.
func (g *Gateway) unavailableRefusal(current *callerRequest, opensIn time.Duration) backends.Refusal {
	if current.capacity.atShare {
		return backends.Refusal{Reason: reasonAtShare, RetryAfter: g.rejections.retryAfter(g.now(), current.service.Name, opensIn)}
	}
	if current.capacity.atLimit {
		return backends.Refusal{Reason: backends.ReasonLimited, RetryAfter: g.limits.retryAfter(g.now(), opensIn, g.servingCount())}
	}
	return backends.Refusal{Reason: reasonBackoff, RetryAfter: g.backoffs.retryAfter(opensIn, priorityOf(current))}
}

// latencyTargetLeft returns the time left until the route's latency target, at least 1 ms; 0 if the
// route has no target.
func (g *Gateway) latencyTargetLeft(current *callerRequest) time.Duration {
	if current.route.TargetLatency <= 0 {
		return 0
	}
	return max(current.startedAt+current.route.TargetLatency-g.now(), time.Millisecond)
}

// cacheStore returns the KV cache store for a request's prompt, or nil if none is configured. It
// uses rendezvous hashing, so all gateways choose the same store for the same prefix.
func (g *Gateway) cacheStore(current *callerRequest) *routes.Service {
	snapshot := g.configuration.Current()
	if snapshot == nil {
		return nil
	}
	key := backends.PrefixName(current.metadata.Parts)
	var chosen *routes.Service
	highest := uint64(0)
	for _, store := range snapshot.Table.Stores() {
		weight := membership.RendezvousWeight(key, string(store.Store.Address))
		if chosen == nil || weight > highest {
			chosen, highest = store, weight
		}
	}
	return chosen
}
