package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/traffic"
	"github.com/tillerfall/tillerfall/internal/workerlimit"
)

const (
	// grantTimeout bounds one call that asks another gateway for a grant.
	grantTimeout = 250 * time.Millisecond
	// granterRanks is the number of gateways that may be a worker's granter, by rank.
	granterRanks = 3
	// unansweredBackoff is the backoff for a gateway that didn't answer, and unsupportedBackoff the
	// one for a gateway whose release doesn't support grants.
	unansweredBackoff  = 2 * time.Second
	unsupportedBackoff = 30 * time.Second
	// nextGranterDelay is the delay before the next granter is asked. unsettledDelay is the delay
	// before the retry at a granter that has just started and doesn't know its role yet.
	nextGranterDelay = 20 * time.Millisecond
	unsettledDelay   = 200 * time.Millisecond
	// noGranterDelay is the delay before the next attempt if no granter answers, such as in a
	// partition.
	noGranterDelay = 500 * time.Millisecond
	// memberShareWindow is how long a part of the rate is reserved for members that have gone. They
	// may be alive in another partition and grant requests there.
	memberShareWindow = 10 * time.Second
)

var (
	// errLimited is the cause of a send that isn't made because the worker is at its limit.
	errLimited = errors.New("no room at the worker's limit")
	// errUnsettled is returned by a gateway that has just started and grants nothing yet.
	errUnsettled = errors.New("not settled")
)

// memberShare computes the share of recently known members that is reachable.
type memberShare struct {
	maxMembers int
	maxSeenAt  time.Duration
}

// update records the number of members and returns its share of the recent maximum.
func (s *memberShare) update(now time.Duration, members int) float64 {
	if members >= s.maxMembers || now >= s.maxSeenAt+memberShareWindow {
		s.maxMembers, s.maxSeenAt = members, now
	}
	return float64(members) / float64(max(s.maxMembers, 1))
}

// acquireLimitGrant asks for a grant to send one request to a worker with a limit. It is called
// right before each write to a worker: first sends, retries and continued runs.
func (g *Gateway) acquireLimitGrant(ctx context.Context, priority int, worker *backends.Worker) error {
	observation, limited := g.limits.observation(worker.ID, worker.StartTime)
	if !limited {
		return nil
	}
	if g.limits.closedFor(g.now(), worker.ID, priority) > 0 {
		g.metrics.limitGrants.WithLabelValues("closed").Inc()
		return errLimited
	}
	grant := g.requestGrant(ctx, observation, worker.Zone, priority)
	if grant.Granted {
		g.metrics.limitGrants.WithLabelValues("granted").Inc()
		return nil
	}
	g.limits.recordRefusal(g.now(), worker.ID, priority, grant)
	return errLimited
}

// requestGrant asks the worker's granter, which may be this gateway. If the granter doesn't answer,
// the grant is denied and the next one is asked from then on.
func (g *Gateway) requestGrant(ctx context.Context, observation workerlimit.Observation, zone fleet.ZoneName, priority int) workerlimit.Grant {
	granter, found := g.granter(observation.Worker, zone)
	if !found {
		g.metrics.limitGrants.WithLabelValues("unanswered").Inc()
		return workerlimit.Grant{Wait: noGranterDelay, Refill: noGranterDelay}
	}
	if granter.Node == g.node {
		grant, err := g.grant(observation, priority)
		if err != nil {
			g.metrics.limitGrants.WithLabelValues("unsettled").Inc()
			return workerlimit.Grant{Wait: unsettledDelay, Refill: unsettledDelay}
		}
		g.countRefusedGrant(grant)
		return grant
	}
	distance := traffic.Between(g.location(), membership.Location{Zone: granter.Zone, Region: granter.Region})
	callCtx, cancel := context.WithTimeout(traffic.With(ctx, traffic.Limits, distance), grantTimeout)
	defer cancel()
	start := g.now()
	response, err := g.peers.RequestGrant(callCtx, granter.Address, &rpc.LimitQuestion{Limit: encodeLimit(start, &observation), Priority: uint32(max(priority, 0))})
	if err != nil {
		g.markGranterUnavailable(ctx, granter, err)
		return workerlimit.Grant{Wait: nextGranterDelay, Refill: nextGranterDelay}
	}
	g.applyLimit(response.GetLimit(), start, "granter")
	decoded := workerlimit.Grant{
		Granted: response.GetGranted(),
		Wait:    time.Duration(response.GetWaitMillis()) * time.Millisecond,
		Refill:  time.Duration(response.GetRefillMillis()) * time.Millisecond,
	}
	g.countRefusedGrant(decoded)
	return decoded
}

func (g *Gateway) countRefusedGrant(grant workerlimit.Grant) {
	if !grant.Granted {
		g.metrics.limitGrants.WithLabelValues("refused").Inc()
	}
}

// markGranterUnavailable skips a granter that didn't answer, unless the request's context ended
// first: the granter had no time to answer, and skipping it would let two gateways grant.
func (g *Gateway) markGranterUnavailable(ctx context.Context, granter membership.Member, err error) {
	if ctx.Err() != nil {
		return
	}
	g.metrics.limitGrants.WithLabelValues("unanswered").Inc()
	backoff := unansweredBackoff
	var failure twirp.Error
	if errors.As(err, &failure) && (failure.Code() == twirp.BadRoute || failure.Code() == twirp.Unimplemented) {
		backoff = unsupportedBackoff
	}
	g.limits.skipGranter(granter.Node, g.now()+backoff)
	g.events.line("grant_unanswered").Str("granter", string(granter.Node)).Err(err).Msg("grant_unanswered")
}

// skipGranter excludes a gateway as granter until a time.
func (l *workerLimits) skipGranter(node fleet.NodeID, until time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for other, expiry := range l.unavailableUntil {
		if expiry < until-unsupportedBackoff {
			delete(l.unavailableUntil, other)
		}
	}
	l.unavailableUntil[node] = until
}

// granter returns the gateway that grants requests to a worker, preferably near the worker. All
// gateways with the same membership view return the same one. It returns false if none is
// available.
func (g *Gateway) granter(worker fleet.EngineID, zone fleet.ZoneName) (membership.Member, bool) {
	view := g.peers.View()
	near := membership.Location{Region: g.settings().Zones[zone], Zone: zone}
	return view.Find(g.limits.selectGranter(g.now(), worker, near, view))
}

// selectGranter returns the best granter that isn't skipped, empty if all are.
func (l *workerLimits) selectGranter(now time.Duration, worker fleet.EngineID, near membership.Location, view *membership.View) fleet.NodeID {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	ranked := l.granters[worker]
	if ranked.view != view {
		ranked = rankedGranters{view: view, nodes: membership.OwnersNear(worker, near, view.Members(), granterRanks)}
		l.granters[worker] = ranked
	}
	for _, node := range ranked.nodes {
		if now >= l.unavailableUntil[node] {
			return node
		}
	}
	return ""
}

// grant grants or denies a request to a worker for any gateway that asks.
func (g *Gateway) grant(observation workerlimit.Observation, priority int) (workerlimit.Grant, error) {
	if !g.roleSettled.Load() {
		return workerlimit.Grant{}, errUnsettled
	}
	now := g.now()
	members := len(g.peers.View().Routable())
	if change := g.limits.observe(observation, false); change != workerlimit.Unchanged {
		g.logLimitChange(observation, change, "asked")
	}
	return g.limits.grant(now, observation, members, priority), nil
}

// grant grants or denies a request by the known limit of the worker. A part of the rate is reserved
// for members that have recently gone.
func (l *workerLimits) grant(now time.Duration, observation workerlimit.Observation, members, priority int) workerlimit.Grant {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	rate, limited := l.tracker.Limit(observation.Worker, observation.StartTime)
	if !limited {
		return workerlimit.Grant{Granted: true}
	}
	return l.limiter.Acquire(now, observation.Worker, rate, l.memberShare.update(now, members), priority)
}

// handleGrantRequest handles another gateway's request for a grant.
func (g *Gateway) handleGrantRequest(_ context.Context, request *rpc.LimitQuestion) (*rpc.LimitAnswer, error) {
	g.checkSuspension()
	observation, err := decodeLimit(request.GetLimit(), g.now()-grantTimeout, g.now())
	if err != nil {
		return nil, err
	}
	grant, err := g.grant(observation, int(request.GetPriority()))
	if err != nil {
		return nil, err
	}
	encoded := &rpc.LimitAnswer{
		Granted: grant.Granted, WaitMillis: ceilMillis(grant.Wait), RefillMillis: ceilMillis(grant.Refill),
	}
	if newest, found := g.limits.knownObservation(observation.Worker); found {
		encoded.Limit = encodeLimit(g.now(), &newest)
	}
	return encoded, nil
}

// knownObservation returns the newest observation of a worker, including one that ended its limit.
func (l *workerLimits) knownObservation(worker fleet.EngineID) (workerlimit.Observation, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.tracker.Observation(worker)
}

// limitPriority returns a request's priority at a worker's limit. A continued run has the highest,
// since its caller has part of the response.
func limitPriority(current *callerRequest) int {
	if current.headSent {
		return 0
	}
	return priorityOf(current)
}
