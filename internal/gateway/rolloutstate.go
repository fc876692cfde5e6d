package gateway

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/lease"
	"github.com/tillerfall/tillerfall/internal/rollout"
)

// Parameters of the model version rollout.
const (
	// rolloutLease is the key of the lease held by the one gateway that sends orders. The
	// candidates for the lease are also chosen by this name.
	rolloutLease = "rollout"
	// rolloutInterval is the interval at which the rollout is checked; idleRolloutInterval is the
	// interval at a gateway without requests that can't hold the lease. idleRolloutInterval plus
	// staleVersionMargin must stay below enforceReserve, so that a request that arrives between two
	// checks can still be moved from an outdated engine in time.
	rolloutInterval     = 100 * time.Millisecond
	idleRolloutInterval = 500 * time.Millisecond
	// enforceReserve is how long before the bound requests stop going to engines with an older
	// version.
	enforceReserve = 1200 * time.Millisecond
	// preferDelay is the time after a version is requested from which requests prefer engines that
	// have it, if that costs little.
	preferDelay = 1400 * time.Millisecond
	// unknownAgeGracePeriod is the time after the process's start at which a version requested
	// earlier is due, unless a peer knows when it was requested.
	unknownAgeGracePeriod = 2800 * time.Millisecond
	// minQuiesce is the minimum time between announcing a cordon and the order. It lets requests on
	// their way to the engine arrive. After that, the gateway waits for the engine's runs to end,
	// since loading a version interrupts them. The wait is at most maxQuiesceIdle while the
	// engines' memory is mostly free and at most maxQuiesceFull when it is full, since the engine
	// gets no other work during the wait.
	minQuiesce          = 100 * time.Millisecond
	maxQuiesceIdle      = 600 * time.Millisecond
	maxQuiesceFull      = 400 * time.Millisecond
	quiescePollInterval = 40 * time.Millisecond
	// idleMemoryUse and fullMemoryUse are the fractions of the engines' memory in use at which they
	// count as idle and full.
	idleMemoryUse = 0.15
	fullMemoryUse = 0.45
	// cordonDuration is how long an engine stays cordoned, unless its new version is seen earlier.
	cordonDuration = 2 * time.Second
	// minLoadTime is the time from an order to the first poll of the engine. reportInterval is the
	// interval of the polls after that.
	minLoadTime    = 600 * time.Millisecond
	reportInterval = 80 * time.Millisecond
	// limitedReportInterval is the poll interval for an engine with a request limit.
	limitedReportInterval = 600 * time.Millisecond
	// maxFailedReports is the number of failed polls after which the update is abandoned. The
	// engine isn't updated again before updateBackoff has passed.
	maxFailedReports = 2
	updateBackoff    = 1500 * time.Millisecond
	// storeLostAfter is the age of the newest freshness proof of all reachable gateways from which
	// the store counts as unreachable for all of them.
	storeLostAfter = 2500 * time.Millisecond
	// maxSharedVersions bounds the versions per model that are shared with peers.
	maxSharedVersions = 4
	// reorderAfter is the time after which an order without effect is sent again; reorderUncertain
	// applies to an order that got no response within orderTimeout.
	reorderAfter     = 1500 * time.Millisecond
	reorderUncertain = 100 * time.Millisecond
	orderTimeout     = 400 * time.Millisecond
	// updateTimeout limits the update of one engine. After that it is started again.
	updateTimeout = 9 * time.Second
	// leaseGapSlack is added to the least time between the orders of two lease holders.
	leaseGapSlack = 150 * time.Millisecond
)

// The lease's margin for clock drift as a fraction of its duration.
const (
	leaseMarginNumerator   = 2
	leaseMarginDenominator = 5
)

func leaseSettings(settings Settings) lease.Settings {
	duration := settings.LeaseGap.Truncate(time.Millisecond)
	return lease.Settings{
		Key:      rolloutLease,
		Duration: duration,
		Margin:   duration * leaseMarginNumerator / leaseMarginDenominator,
		// A machine runs one gateway and counts as one holder.
		Exclusive: true,
		NeverHeld: settings.FirstStart,
	}
}

// rolloutState tracks the desired model versions and the updates of the engines to them. It is safe
// for concurrent use.
type rolloutState struct {
	updateWithin time.Duration
	mutex        sync.Mutex
	pacers       map[fleet.ModelName]*rollout.Pacer
	// updating holds the engines that this gateway is updating.
	updating map[fleet.EngineID]bool
	// cordonedUntil holds, by engine, the end of its cordon.
	cordonedUntil map[fleet.EngineID]time.Duration
	// failures counts, by engine, the consecutive failed updates.
	failures map[fleet.EngineID]int
	// backoffUntil holds, by engine, the time before which no update of it starts.
	backoffUntil map[fleet.EngineID]time.Duration
}

func newRolloutState(settings Settings) *rolloutState {
	return &rolloutState{
		updateWithin:  settings.UpdateModelsWithin,
		pacers:        make(map[fleet.ModelName]*rollout.Pacer),
		updating:      make(map[fleet.EngineID]bool),
		cordonedUntil: make(map[fleet.EngineID]time.Duration),
		backoffUntil:  make(map[fleet.EngineID]time.Duration),
		failures:      make(map[fleet.EngineID]int),
	}
}

// setDesired records a desired version and reports whether it is new. requestedAt is the latest
// time at which it was requested. timeKnown is false for a version that was requested at an unknown
// time before.
func (s *rolloutState) setDesired(requestedAt time.Duration, timeKnown bool, desired DesiredVersion) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	pacer := s.pacer(desired.Model)
	if !timeKnown {
		return pacer.PublishAssumed(requestedAt-s.updateWithin+enforceReserve+unknownAgeGracePeriod, uint64(desired.Version))
	}
	return pacer.Publish(requestedAt, uint64(desired.Version))
}

// pacer returns a model's pacer. The mutex must be held.
func (s *rolloutState) pacer(model fleet.ModelName) *rollout.Pacer {
	pacer := s.pacers[model]
	if pacer == nil {
		within := s.updateWithin - enforceReserve
		pacer = rollout.NewPacer(rollout.PacerOptions{Within: within})
		s.pacers[model] = pacer
	}
	return pacer
}

// setBound changes the bound. Existing pacers keep spreading updates over the bound that they were
// created with.
func (s *rolloutState) setBound(within time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.updateWithin = within
}

// postpone restarts the time until versions that aren't due yet become due.
func (s *rolloutState) postpone(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, pacer := range s.pacers {
		pacer.ResetPending(now, s.updateWithin-enforceReserve)
	}
}

// recordPeerVersion records the time at which, according to a peer, a version was requested.
func (s *rolloutState) recordPeerVersion(requestedAt time.Duration, model fleet.ModelName, version uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pacer(model).ObservePublication(requestedAt, version)
}

// recentVersions returns, by model, the latest versions whose time of request is known.
func (s *rolloutState) recentVersions() map[fleet.ModelName][]rollout.Publication {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	recent := make(map[fleet.ModelName][]rollout.Publication, len(s.pacers))
	for model, pacer := range s.pacers {
		recent[model] = pacer.RecentPublications(maxSharedVersions)
	}
	return recent
}

// dueVersions returns, by model, the version that every request beginning later than now plus
// reserve must have at least.
func (s *rolloutState) dueVersions(now, reserve time.Duration) map[fleet.ModelName]backends.ModelVersion {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	due := make(map[fleet.ModelName]backends.ModelVersion, len(s.pacers))
	for model, pacer := range s.pacers {
		due[model] = backends.ModelVersion(pacer.NewestDue(now, s.updateWithin-reserve))
	}
	return due
}

// preferredVersions returns, by model, the newest version that was requested at least preferDelay
// ago.
func (s *rolloutState) preferredVersions(now time.Duration) map[fleet.ModelName]backends.ModelVersion {
	return s.dueVersions(now, s.updateBound()-preferDelay)
}

// updateBound returns the time after a version is requested from which no request may begin on an
// older one.
func (s *rolloutState) updateBound() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.updateWithin
}

// engineUpdate is the update of one engine to a model version.
type engineUpdate struct {
	worker  backends.Worker
	model   fleet.ModelName
	version uint64
}

// startUpdates returns the engine updates to start now and marks them as started. suspects are the
// workers that are presumed to be unreachable.
func (s *rolloutState) startUpdates(now time.Duration, workers []backends.Worker, suspects map[fleet.EngineID]bool) []engineUpdate {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var updates []engineUpdate
	for model, pacer := range s.pacers {
		byID := make(map[fleet.EngineID]backends.Worker)
		var engines []rollout.VersionedEngine
		for _, worker := range workers {
			version, serves := worker.Versions[model]
			if !serves || worker.Draining || now < s.backoffUntil[worker.ID] {
				continue
			}
			byID[worker.ID] = worker
			engines = append(engines, rollout.VersionedEngine{
				Engine: worker.ID, Version: uint64(version), Changing: s.updating[worker.ID],
				Unreachable: suspects[worker.ID] || s.failures[worker.ID] > 0, Failures: s.failures[worker.ID],
			})
		}
		for _, engine := range pacer.Next(now, engines) {
			s.updating[engine] = true
			updates = append(updates, engineUpdate{worker: byID[engine], model: model, version: pacer.Newest()})
		}
	}
	return updates
}

// cordon sets the end of an engine's cordon and reports whether the engine wasn't cordoned
// before.
func (s *rolloutState) cordon(engine fleet.EngineID, until time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, known := s.cordonedUntil[engine]
	s.cordonedUntil[engine] = until
	return !known
}

// uncordon removes an engine's cordon.
func (s *rolloutState) uncordon(engine fleet.EngineID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.cordonedUntil, engine)
}

// finishUpdate records the end of an update. duration is 0 if the update failed; load is the part
// of it since the order.
func (s *rolloutState) finishUpdate(now time.Duration, update engineUpdate, duration, load time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.updating, update.worker.ID)
	delete(s.cordonedUntil, update.worker.ID)
	if duration > 0 {
		s.pacers[update.model].ObserveChange(duration, load)
		delete(s.backoffUntil, update.worker.ID)
		delete(s.failures, update.worker.ID)
		return
	}
	s.failures[update.worker.ID]++
	s.backoffUntil[update.worker.ID] = now + updateBackoff
}

// generation returns a number that increases with each desired version.
func (s *rolloutState) generation() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	sum := uint64(len(s.pacers))
	for _, pacer := range s.pacers {
		sum += pacer.Newest()
	}
	return sum
}

// hasOutdated reports whether an update is in progress or a worker has an older version than the
// newest desired one.
func (s *rolloutState) hasOutdated(workers []backends.Worker) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.updating) > 0 {
		return true
	}
	for index := range workers {
		for model, version := range workers[index].Versions {
			if pacer := s.pacers[model]; pacer != nil && uint64(version) < pacer.Newest() {
				return true
			}
		}
	}
	return false
}

// forgetRun drops the state of the orders to a worker run that has ended.
func (s *rolloutState) forgetRun(engine fleet.EngineID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.cordonedUntil, engine)
	delete(s.failures, engine)
	delete(s.backoffUntil, engine)
}

// cordonedEngines returns the engines that this gateway has cordoned and the remaining time of
// their cordons.
func (s *rolloutState) cordonedEngines(now time.Duration) map[fleet.EngineID]time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	remaining := make(map[fleet.EngineID]time.Duration, len(s.cordonedUntil))
	for id, until := range s.cordonedUntil {
		if until > now {
			remaining[id] = until - now
		}
	}
	return remaining
}

// newestVersion returns the newest desired version of a model.
func (s *rolloutState) newestVersion(model fleet.ModelName) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.pacers[model].Newest()
}
