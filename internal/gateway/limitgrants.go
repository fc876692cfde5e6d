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

// Constants of the grants.
const (
	// grantTimeout bounds one question for a request to a worker with a limit.
	grantTimeout = 250 * time.Millisecond
	// granterRanks is the number of nodes that may grant the requests to a worker, in turn.
	granterRanks = 3
	// silentFor is how long a node that didn't answer is passed over, unableFor the same for
	// one whose release doesn't know the question.
	silentFor = 2 * time.Second
	unableFor = 30 * time.Second
	// askAgain is the time after which a node asks the next one, unsettledWait that after which
	// it asks one again that has just started and doesn't know its part yet.
	askAgain      = 20 * time.Millisecond
	unsettledWait = 200 * time.Millisecond
	// nobodyWait is the time after which it looks again where none of them answers: it is
	// cut off, and may not know it yet.
	nobodyWait = 500 * time.Millisecond
	// touchMemory is how long the part of a limit is left to members that are gone: they may
	// be alive beyond a cut, and grant there.
	touchMemory = 10 * time.Second
)

var (
	// errLimited is the cause of a send that isn't made since the worker has no room at its
	// limit.
	errLimited = errors.New("no room at the worker's limit")
	// errUnsettled means that a node grants nothing yet.
	errUnsettled = errors.New("not settled")
)

// touch tells which part of the members that there were of late is in touch.
type touch struct {
	most int
	at   time.Duration
}

// part takes in the number of members and returns their part of the most that there were.
func (t *touch) part(now time.Duration, members int) float64 {
	if members >= t.most || now >= t.at+touchMemory {
		t.most, t.at = members, now
	}
	return float64(members) / float64(max(t.most, 1))
}

// permitLimit asks for one request to a worker that names a limit. All that reaches a worker
// passes here right before it is written: first sends, further ones, and runs that go on.
func (g *Gateway) permitLimit(ctx context.Context, priority int, worker *backends.Worker) error {
	observation, limited := g.limits.observation(worker.ID, worker.Born)
	if !limited {
		return nil
	}
	if g.limits.closed(g.now(), worker.ID, priority) > 0 {
		g.metrics.limitGrants.WithLabelValues("closed").Inc()
		return errLimited
	}
	answer := g.askGrant(ctx, observation, worker.Zone, priority)
	if answer.Granted {
		g.metrics.limitGrants.WithLabelValues("granted").Inc()
		return nil
	}
	g.limits.close(g.now(), worker.ID, priority, answer)
	return errLimited
}

// askGrant asks the node that grants the requests to a worker, which may be this one. A node
// that doesn't answer grants nothing, and the next one is asked from then on.
func (g *Gateway) askGrant(ctx context.Context, observation workerlimit.Observation, zone fleet.ZoneName, priority int) workerlimit.Grant {
	granter, found := g.granter(observation.Worker, zone)
	if !found {
		g.metrics.limitGrants.WithLabelValues("unanswered").Inc()
		return workerlimit.Grant{Wait: nobodyWait, Refill: nobodyWait}
	}
	if granter.Node == g.node {
		answer, err := g.grant(observation, priority)
		if err != nil {
			g.metrics.limitGrants.WithLabelValues("unsettled").Inc()
			return workerlimit.Grant{Wait: unsettledWait, Refill: unsettledWait}
		}
		g.noteRefusedGrant(answer)
		return answer
	}
	distance := traffic.Between(g.place(), membership.Location{Zone: granter.Zone, Region: granter.Region})
	asking, cancel := context.WithTimeout(traffic.With(ctx, traffic.Limits, distance), grantTimeout)
	defer cancel()
	begun := g.now()
	answer, err := g.peers.AskGrant(asking, granter.Address, &rpc.LimitQuestion{Limit: encodeLimit(begun, &observation), Priority: uint32(max(priority, 0))})
	if err != nil {
		g.noteSilentGranter(ctx, granter, err)
		return workerlimit.Grant{Wait: askAgain, Refill: askAgain}
	}
	g.takeLimit(answer.GetLimit(), begun, "granter")
	decoded := workerlimit.Grant{
		Granted: answer.GetGranted(),
		Wait:    time.Duration(answer.GetWaitMillis()) * time.Millisecond,
		Refill:  time.Duration(answer.GetRefillMillis()) * time.Millisecond,
	}
	g.noteRefusedGrant(decoded)
	return decoded
}

// noteRefusedGrant counts a question that was answered by a refusal.
func (g *Gateway) noteRefusedGrant(answer workerlimit.Grant) {
	if !answer.Granted {
		g.metrics.limitGrants.WithLabelValues("refused").Inc()
	}
}

// noteSilentGranter has a node passed over that didn't answer a question, unless the request
// ended meanwhile: then it had no time to, and passing it over would have two nodes grant.
func (g *Gateway) noteSilentGranter(ctx context.Context, granter membership.Member, err error) {
	if ctx.Err() != nil {
		return
	}
	g.metrics.limitGrants.WithLabelValues("unanswered").Inc()
	passedOver := silentFor
	var failure twirp.Error
	if errors.As(err, &failure) && (failure.Code() == twirp.BadRoute || failure.Code() == twirp.Unimplemented) {
		passedOver = unableFor
	}
	g.limits.passOver(granter.Node, g.now()+passedOver)
	g.events.line("grant_unanswered").Str("granter", string(granter.Node)).Err(err).Msg("grant_unanswered")
}

// passOver has a node asked for nothing until a time.
func (l *workerLimits) passOver(node fleet.NodeID, until time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for other, passed := range l.silent {
		if passed < until-unableFor {
			delete(l.silent, other)
		}
	}
	l.silent[node] = until
}

// granter returns the node that grants the requests to a worker: the same for all that know
// the same members, near the worker. Which nodes callers are sent to changes nothing. It
// returns false while none of those that may answers.
func (g *Gateway) granter(worker fleet.EngineID, zone fleet.ZoneName) (membership.Member, bool) {
	view := g.peers.View()
	near := membership.Location{Region: g.settings().Zones[zone], Zone: zone}
	return view.Find(g.limits.granter(g.now(), worker, near, view))
}

// granter returns the first node by rank that isn't passed over; none if all are.
func (l *workerLimits) granter(now time.Duration, worker fleet.EngineID, near membership.Location, view *membership.View) fleet.NodeID {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.granters[worker]
	if known.view != view {
		known = granters{view: view, nodes: membership.OwnersNear(worker, near, view.Members(), granterRanks)}
		l.granters[worker] = known
	}
	for _, node := range known.nodes {
		if now >= l.silent[node] {
			return node
		}
	}
	return ""
}

// grant tells whether a request may be sent to a worker, for any node that asks this one.
func (g *Gateway) grant(observation workerlimit.Observation, priority int) (workerlimit.Grant, error) {
	if !g.settled.Load() {
		return workerlimit.Grant{}, errUnsettled
	}
	now := g.now()
	members := len(g.peers.View().Routable())
	if change := g.limits.observe(observation, false); change != workerlimit.Unchanged {
		g.logLimit(observation, change, "asked")
	}
	return g.limits.grant(now, observation, members, priority), nil
}

// grant grants a request by what is believed of the worker. Members that went of late are left
// their part.
func (l *workerLimits) grant(now time.Duration, observation workerlimit.Observation, members, priority int) workerlimit.Grant {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	rate, limited := l.ledger.Limit(observation.Worker, observation.StartTime)
	if !limited {
		return workerlimit.Grant{Granted: true}
	}
	return l.limiter.Acquire(now, observation.Worker, rate, l.touch.part(now, members), priority)
}

// answerGrant answers another node's question.
func (g *Gateway) answerGrant(_ context.Context, question *rpc.LimitQuestion) (*rpc.LimitAnswer, error) {
	g.noteSuspension()
	observation, err := decodeLimit(question.GetLimit(), g.now()-grantTimeout, g.now())
	if err != nil {
		return nil, err
	}
	answer, err := g.grant(observation, int(question.GetPriority()))
	if err != nil {
		return nil, err
	}
	encoded := &rpc.LimitAnswer{
		Granted: answer.Granted, WaitMillis: millisUp(answer.Wait), RefillMillis: millisUp(answer.Refill),
	}
	if known, found := g.limits.known(observation.Worker); found {
		encoded.Limit = encodeLimit(g.now(), &known)
	}
	return encoded, nil
}

// known returns what is believed of a worker, also that its limit has ended.
func (l *workerLimits) known(worker fleet.EngineID) (workerlimit.Observation, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.ledger.Observation(worker)
}

// limitPriority returns the priority at a worker's limit. A run that goes on has a caller with
// half an answer.
func limitPriority(current *carried) int {
	if current.headSent {
		return 0
	}
	return priorityOf(current)
}
