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

const (
	// limitBatchDelay is the time in which changes are collected before a broadcast.
	limitBatchDelay = 2 * time.Millisecond
	// limitBroadcastInterval is the minimum time between two broadcasts. A worker may state another
	// rate in each response.
	limitBroadcastInterval = 50 * time.Millisecond
	limitCallTimeout       = 250 * time.Millisecond
	// maxLimitCalls bounds the concurrent calls of broadcasts.
	maxLimitCalls = 32
)

// announceLimits broadcasts limits that have changed by responses to this gateway, until the
// process stops.
func (g *Gateway) announceLimits() error {
	calls := newFanout(maxLimitCalls)
	for {
		select {
		case <-g.limits.announceSignal:
		case <-g.life.Dying():
			return nil
		}
		if !g.pause(limitBatchDelay) {
			return nil
		}
		observations := g.limits.takePendingBroadcast()
		calls.call(g.life.Dying(), g.limitPeers(observations), func(member membership.Member) { g.exchangeLimits(member, observations) })
		if !g.pause(limitBroadcastInterval) {
			return nil
		}
	}
}

// takePendingBroadcast returns and clears the observations to broadcast.
func (l *workerLimits) takePendingBroadcast() []workerlimit.Observation {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	observations := make([]workerlimit.Observation, 0, len(l.pendingBroadcast))
	for worker := range l.pendingBroadcast {
		if observation, known := l.tracker.Observation(worker); known {
			observations = append(observations, observation)
		}
	}
	clear(l.pendingBroadcast)
	return observations
}

// limitPeers returns the gateways that receive broadcasts: those that send to workers, and the
// granters.
func (g *Gateway) limitPeers(observations []workerlimit.Observation) []membership.Member {
	added := make(map[fleet.NodeID]bool)
	var peers []membership.Member
	add := func(member membership.Member) {
		if member.Node != g.node && !added[member.Node] {
			added[member.Node] = true
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

// exchangeLimits sends observations to one gateway and applies its response. A gateway that misses
// them receives them with the next load report.
func (g *Gateway) exchangeLimits(member membership.Member, observations []workerlimit.Observation) {
	ctx, cancel := context.WithTimeout(g.peerCallContext(traffic.Limits, member), limitCallTimeout)
	defer cancel()
	start := g.now()
	report := &rpc.LoadReport{Node: string(g.node), Partial: true, LimitsOnly: true, Limits: encodeLimits(start, observations)}
	response, err := g.peers.ExchangeLoad(ctx, member.Address, report)
	if err != nil {
		g.metrics.peerFailures.Inc()
		return
	}
	g.applyLimits(response, start)
}

// encodedLimits returns the encoded observations for a report.
func (l *workerLimits) encodedLimits(now time.Duration) []*rpc.WorkerLimit {
	if !l.active.Load() {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return encodeLimits(now, l.tracker.Observations(now))
}

// applyLimits applies the limits in another gateway's report. start is a time before the report was
// written.
func (g *Gateway) applyLimits(report *rpc.LoadReport, start time.Duration) {
	for _, limit := range report.GetLimits() {
		g.applyLimit(limit, start, "peer")
	}
}

// applyLimit applies another gateway's observation of a limit. A nil one is ignored.
func (g *Gateway) applyLimit(limit *rpc.WorkerLimit, start time.Duration, source string) {
	if limit == nil {
		return
	}
	observation, err := decodeLimit(limit, start, g.now())
	if err != nil {
		g.reportInvalidInput("", []InvalidInput{{Source: "worker_limit", Key: limit.GetWorker(), Err: err}})
		return
	}
	if change := g.limits.observe(observation, false); change != workerlimit.Unchanged {
		g.logLimitChange(observation, change, source)
	}
}

func encodeLimits(now time.Duration, observations []workerlimit.Observation) []*rpc.WorkerLimit {
	encoded := make([]*rpc.WorkerLimit, len(observations))
	for index := range observations {
		encoded[index] = encodeLimit(now, &observations[index])
	}
	return encoded
}

func encodeLimit(now time.Duration, observation *workerlimit.Observation) *rpc.WorkerLimit {
	return &rpc.WorkerLimit{
		Worker: string(observation.Worker), Born: observation.StartTime, Limited: observation.Limited, Rate: float64(observation.Rate),
		AskedAgeMillis: ceilMillis(now - observation.RequestedAt), AnsweredAgeMillis: ageMillis(now, observation.AnsweredAt),
	}
}

// decodeLimit decodes an observation that was written between start and end.
func decodeLimit(limit *rpc.WorkerLimit, start, end time.Duration) (workerlimit.Observation, error) {
	rate := limit.GetRate()
	if limit.GetWorker() == "" || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return workerlimit.Observation{}, errors.Errorf("limit of %q: %f", limit.GetWorker(), rate)
	}
	return workerlimit.Observation{
		Worker: fleet.EngineID(limit.GetWorker()), StartTime: limit.GetBorn(), Limited: limit.GetLimited(), Rate: workerlimit.Rate(rate),
		RequestedAt: timeFromAge(start, limit.GetAskedAgeMillis()), AnsweredAt: timeFromAge(end, limit.GetAnsweredAgeMillis()),
	}, nil
}

// ceilMillis returns a duration in whole milliseconds, rounded up.
func ceilMillis(duration time.Duration) uint32 {
	return uint32((max(duration, 0) + time.Millisecond - 1) / time.Millisecond)
}
