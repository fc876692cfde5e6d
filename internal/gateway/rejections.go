package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rejectionlimit"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/workerlimit"
)

const (
	// reasonAtShare is the reason for refusing a request since this gateway's share of the workers' slots
	// is in use while no request may wait there.
	reasonAtShare = "slots_in_use"
	// durationWeight is the weight of one request in the moving average of durations.
	durationWeight = 0.1
	// shareInterval is the time between two derivations of a share. Workers change with each row that
	// they write.
	shareInterval = 200 * time.Millisecond
	// assumedDuration is the duration of a request until one was measured.
	assumedDuration = 100 * time.Millisecond
)

// rejectionLimits holds which services' workers bear few rejections, and this gateway's share of their
// slots. It is safe for concurrent use.
type rejectionLimits struct {
	// active is set while any service has a limit; without one, requests need no lock.
	active atomic.Bool

	mutex    sync.Mutex
	tracker  *rejectionlimit.Tracker
	services map[fleet.PoolName]*serviceLimit
}

// serviceLimit is the state of one service whose workers bear few rejections.
type serviceLimit struct {
	share slotShare
	// roles and changes identify the state of the members and the workers that share was derived from, at
	// derivedAt.
	roles     *nodeRoles
	changes   uint64
	derivedAt time.Duration
	// duration is the moving average of the time that a request takes.
	duration   time.Duration
	retryTimes workerlimit.RetryScheduler
}

func newRejectionLimits() *rejectionLimits {
	return &rejectionLimits{tracker: rejectionlimit.New(), services: make(map[fleet.PoolName]*serviceLimit)}
}

// observe records an advertisement and reports whether it is the service's first.
func (l *rejectionLimits) observe(now time.Duration, said rejectionlimit.Advertisement) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	first := l.tracker.Observe(now, said)
	if first {
		l.services[said.Service] = &serviceLimit{duration: assumedDuration}
		l.active.Store(true)
	}
	return first
}

// recordRejection records that a worker has rejected a request of this gateway.
func (l *rejectionLimits) recordRejection(now time.Duration, worker *backends.Worker) {
	if !l.active.Load() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.tracker.IsActive(now, worker.Service) {
		l.tracker.Rejected(now, worker.ID)
	}
}

// recordDuration records how long a request took at a service.
func (l *rejectionLimits) recordDuration(service fleet.PoolName, took time.Duration) {
	if !l.active.Load() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if state := l.services[service]; state != nil {
		state.duration += time.Duration(float64(took-state.duration) * durationWeight)
	}
}

// retryAfter returns the retry delay for a caller whose request found no free slot in this gateway's
// share. opensIn is the expected time until there is one.
func (l *rejectionLimits) retryAfter(now time.Duration, service fleet.PoolName, opensIn time.Duration) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	state := l.services[service]
	if state == nil {
		return opensIn
	}
	rate := workerlimit.Rate(float64(max(state.share.total, 1)) / max(state.duration, time.Millisecond).Seconds())
	return state.retryTimes.Next(now, opensIn, rate)
}

// encoded returns the advertisements in force for a report to another gateway.
func (l *rejectionLimits) encoded(now time.Duration) []*rpc.RejectionLimit {
	if !l.active.Load() {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	inForce := l.tracker.Advertisements(now)
	encoded := make([]*rpc.RejectionLimit, 0, len(inForce))
	for _, said := range inForce {
		encoded = append(encoded, &rpc.RejectionLimit{
			Service: string(said.Service), Rejections: uint32(said.Rejections), AgeMillis: ceilMillis(now - said.At),
		})
	}
	return encoded
}

// currentShare returns this gateway's share of a service's slots, false if the service has no limit. The
// workers are read without the lock, which is taken while the registry's is held.
func (g *Gateway) currentShare(now time.Duration, service fleet.PoolName) (slotShare, bool) {
	l, roles, changes := g.rejections, g.roles.Load(), g.workers.Changes()
	l.mutex.Lock()
	state, active := l.services[service], l.tracker.IsActive(now, service)
	if state == nil || !active {
		l.mutex.Unlock()
		return slotShare{}, false
	}
	current := state.share
	isDerived := state.roles != nil && (now < state.derivedAt+shareInterval || state.roles == roles && state.changes == changes)
	current.duration = state.duration
	l.mutex.Unlock()
	if isDerived {
		return current, true
	}
	derived := deriveShare(g.node, service, g.workers.WorkersInUse(), roles.Serving)
	derived.duration = current.duration
	l.mutex.Lock()
	defer l.mutex.Unlock()
	state.share, state.roles, state.changes, state.derivedAt = derived, roles, changes, now
	return derived, true
}

func (l *rejectionLimits) closedFor(now time.Duration, worker fleet.EngineID) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.tracker.ClosedFor(now, worker)
}

// recordRejectionLimit records that a worker's response advertises how many rejections it bears.
func (g *Gateway) recordRejectionLimit(source noticeSource, count int) {
	worker, known := g.workers.Worker(source.worker)
	if !known {
		return
	}
	g.observeRejectionLimit(rejectionlimit.Advertisement{Service: worker.Service, Rejections: count, At: g.now()}, string(source.kind))
}

// observeRejectionLimit records an advertisement from a response or a peer.
func (g *Gateway) observeRejectionLimit(said rejectionlimit.Advertisement, source string) {
	if g.rejections.observe(g.now(), said) {
		g.metrics.rejectionLimits.Inc()
		g.events.line("rejection_limit").Str("service", string(said.Service)).Int("rejections", said.Rejections).Str("source", source).Msg("rejection_limit")
	}
}

// applyRejectionLimits applies the advertisements in another gateway's report.
func (g *Gateway) applyRejectionLimits(now time.Duration, limits []*rpc.RejectionLimit) {
	for _, limit := range limits {
		at := now - time.Duration(limit.GetAgeMillis())*time.Millisecond
		g.observeRejectionLimit(rejectionlimit.Advertisement{
			Service: fleet.PoolName(limit.GetService()), Rejections: int(limit.GetRejections()), At: at,
		}, noticeSourcePeer)
	}
}

// sweepRejectionLimits drops the advertisements that have lapsed.
func (g *Gateway) sweepRejectionLimits() {
	l := g.rejections
	if !l.active.Load() {
		return
	}
	l.mutex.Lock()
	ended := l.tracker.Sweep(g.now())
	for _, service := range ended {
		delete(l.services, service)
	}
	l.active.Store(!l.tracker.IsEmpty())
	l.mutex.Unlock()
	for _, service := range ended {
		g.metrics.rejectionLimits.Dec()
		g.events.line("rejection_limit_ended").Str("service", string(service)).Msg("rejection_limit_ended")
	}
}
