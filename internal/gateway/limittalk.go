package gateway

import (
	"context"
	"math"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/traffic"
	"github.com/tillerfall/tillerfall/internal/workerlimit"
)

// Constants of the talk about limits.
const (
	// limitGather is the time in which changes are gathered before they are told at once.
	limitGather = 2 * time.Millisecond
	// limitPause is the least time between two rounds of telling: a worker may name another
	// number in each answer.
	limitPause   = 50 * time.Millisecond
	limitTimeout = 250 * time.Millisecond
	// limitCalls bounds the calls at a time that tell others.
	limitCalls = 32
)

// announceLimits tells others at once of limits that have changed by answers to this node,
// until the process ends.
func (g *Gateway) announceLimits() error {
	calls := newFanout(limitCalls)
	for {
		select {
		case <-g.limits.announced:
		case <-g.life.Dying():
			return nil
		}
		if !g.pause(limitGather) {
			return nil
		}
		observations := g.limits.takeUntold()
		calls.call(g.life.Dying(), g.limitPeers(observations), func(member membership.Member) { g.tellLimits(member, observations) })
		if !g.pause(limitPause) {
			return nil
		}
	}
}

// takeUntold returns what is to be told to others.
func (l *workerLimits) takeUntold() []workerlimit.Observation {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	observations := make([]workerlimit.Observation, 0, len(l.untold))
	for worker := range l.untold {
		if observation, known := l.ledger.Observation(worker); known {
			observations = append(observations, observation)
		}
	}
	clear(l.untold)
	return observations
}

// limitPeers returns the nodes that are told of changes at once: those that send to workers,
// and those that grant.
func (g *Gateway) limitPeers(observations []workerlimit.Observation) []membership.Member {
	told := make(map[fleet.NodeID]bool)
	var peers []membership.Member
	add := func(member membership.Member) {
		if member.Node != g.node && !told[member.Node] {
			told[member.Node] = true
			peers = append(peers, member)
		}
	}
	for _, member := range g.roles.Load().Serving {
		add(member)
	}
	for _, member := range g.loadPeers() {
		add(member)
	}
	for _, observation := range observations {
		if granter, found := g.granter(observation.Worker, g.workers.ZoneOf(observation.Worker)); found {
			add(granter)
		}
	}
	return peers
}

// tellLimits tells one node, and learns what it knows. A node that misses it hears of it with
// the next report.
func (g *Gateway) tellLimits(member membership.Member, observations []workerlimit.Observation) {
	ctx, cancel := context.WithTimeout(g.peerCall(traffic.Limits, member), limitTimeout)
	defer cancel()
	begun := g.now()
	report := &rpc.LoadReport{Node: string(g.node), Partial: true, LimitsOnly: true, Limits: encodeLimits(begun, observations)}
	answer, err := g.peers.ExchangeLoad(ctx, member.Address, report)
	if err != nil {
		g.metrics.shareFailures.Inc()
		return
	}
	g.takeLimits(answer, begun)
}

// encodedLimits returns what this node knows of limits, for a report.
func (l *workerLimits) encodedLimits(now time.Duration) []*rpc.WorkerLimit {
	if !l.any.Load() {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return encodeLimits(now, l.ledger.Observations(now))
}

// takeLimits takes in what another node's report tells of limits. begun is a time before it
// was written.
func (g *Gateway) takeLimits(report *rpc.LoadReport, begun time.Duration) {
	for _, told := range report.GetLimits() {
		g.takeLimit(told, begun, "peer")
	}
}

// takeLimit takes in another node's observation of a limit; nil says nothing.
func (g *Gateway) takeLimit(told *rpc.WorkerLimit, begun time.Duration, source string) {
	if told == nil {
		return
	}
	observation, err := decodeLimit(told, begun, g.now())
	if err != nil {
		g.noteUnreadable("", []Unreadable{{Source: "worker_limit", Key: told.GetWorker(), Err: err}})
		return
	}
	if change := g.limits.observe(observation, false); change != workerlimit.Unchanged {
		g.logLimit(observation, change, source)
	}
}

// encodeLimits returns observations in their transmitted form.
func encodeLimits(now time.Duration, observations []workerlimit.Observation) []*rpc.WorkerLimit {
	encoded := make([]*rpc.WorkerLimit, len(observations))
	for index := range observations {
		encoded[index] = encodeLimit(now, &observations[index])
	}
	return encoded
}

// encodeLimit returns an observation in its transmitted form.
func encodeLimit(now time.Duration, observation *workerlimit.Observation) *rpc.WorkerLimit {
	return &rpc.WorkerLimit{
		Worker: string(observation.Worker), Born: observation.StartTime, Limited: observation.Limited, Rate: float64(observation.Rate),
		AskedAgeMillis: millisUp(now - observation.RequestedAt), AnsweredAgeMillis: ageMillis(now, observation.AnsweredAt),
	}
}

// decodeLimit reads an observation that was written between two times.
func decodeLimit(told *rpc.WorkerLimit, begun, ended time.Duration) (workerlimit.Observation, error) {
	rate := told.GetRate()
	if told.GetWorker() == "" || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return workerlimit.Observation{}, errors.Errorf("limit of %q: %f", told.GetWorker(), rate)
	}
	return workerlimit.Observation{
		Worker: fleet.EngineID(told.GetWorker()), StartTime: told.GetBorn(), Limited: told.GetLimited(), Rate: workerlimit.Rate(rate),
		RequestedAt: atAge(begun, told.GetAskedAgeMillis()), AnsweredAt: atAge(ended, told.GetAnsweredAgeMillis()),
	}, nil
}

// millisUp returns a time in whole milliseconds, rounded up.
func millisUp(duration time.Duration) uint32 {
	return uint32((max(duration, 0) + time.Millisecond - 1) / time.Millisecond)
}
