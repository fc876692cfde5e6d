package gateway

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/lease"
	"github.com/tillerfall/tillerfall/internal/rollout"
)

// Constants of the duty of weights.
const (
	// rolloutLease is the lease of the one node that sends orders, and the task's
	// name by which the candidates for it are chosen.
	rolloutLease = "rollout"
	// rolloutInterval is the time between two looks at the engines, rolloutRest the
	// same at a node without requests that can't hold the lease: together with
	// beginReserve it must stay below requireReserve, so that a request that comes
	// meanwhile is still taken away from old weights in time.
	rolloutInterval = 100 * time.Millisecond
	rolloutRest     = 500 * time.Millisecond
	// requireReserve is how much before the bound no request goes to an engine
	// with an older version any more.
	requireReserve = 1200 * time.Millisecond
	// preferAfter is the time from the naming of a version from which requests go to
	// engines that have it where that costs little.
	preferAfter = 1400 * time.Millisecond
	// startUnknown is the time after this process's start at which a version that
	// was named before it counts as due, unless a peer knows better.
	startUnknown = 2800 * time.Millisecond
	// quiesceLeast is the least time from the word that an engine is about to be
	// ordered until the order: requests under way to it arrive meanwhile. After that
	// its runs, which new weights would halt for a while, are let end for at most
	// quiesceIdle while the engines are far from full, and quiesceFull at the other
	// end, since the engine does nothing else meanwhile.
	quiesceLeast = 100 * time.Millisecond
	quiesceIdle  = 600 * time.Millisecond
	quiesceFull  = 400 * time.Millisecond
	quiescePoll  = 40 * time.Millisecond
	// idleBelow and fullAbove are the parts of the engines' memory in use at which
	// they count as idle and full.
	idleBelow = 0.15
	fullAbove = 0.45
	// orderedFor is how long an engine counts as under an order, unless its new
	// version is seen before.
	orderedFor = 2 * time.Second
	// loadAtLeast is the time from an order until an engine is asked for the first
	// time, reportInterval the time between two questions after that.
	loadAtLeast    = 600 * time.Millisecond
	reportInterval = 80 * time.Millisecond
	// limitedReportInterval is the same at an engine with a limit on its requests.
	limitedReportInterval = 600 * time.Millisecond
	// maxFailedReports bounds the questions without an answer, after which the
	// engine is left alone for changeBackoff.
	maxFailedReports = 2
	changeBackoff    = 1500 * time.Millisecond
	// storeLostAfter is the age of the newest proof among all reachable nodes from
	// which the store counts as out of everybody's reach.
	storeLostAfter = 2500 * time.Millisecond
	// sharedNamings bounds the versions whose naming is told to peers.
	sharedNamings = 4
	// reorderAfter is when an order without effect is sent again, reorderUncertain
	// when one is that got no answer within orderTimeout.
	reorderAfter     = 1500 * time.Millisecond
	reorderUncertain = 100 * time.Millisecond
	orderTimeout     = 400 * time.Millisecond
	// changeTimeout bounds the change of one engine, after which it is begun anew.
	changeTimeout = 9 * time.Second
	// gapSlack is added to the least time between the orders of two holders.
	gapSlack = 150 * time.Millisecond
)

// Parts of the lease's duration, against the least gap between two holders.
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
		// A machine runs one gateway, and counts as one holder.
		Exclusive: true,
	}
}

// weights keeps the named versions and when the engines change to them.
type weights struct {
	within time.Duration
	mutex  sync.Mutex
	pacers map[fleet.ModelName]*rollout.Pacer
	// changing holds the engines under order by this node.
	changing map[fleet.EngineID]bool
	// orders holds, by engine, until when it counts as under order.
	orders map[fleet.EngineID]time.Duration
	// failures counts, by engine, the changes in a row that failed.
	failures map[fleet.EngineID]int
	// leftAlone holds, by engine, until when no change of it is begun.
	leftAlone map[fleet.EngineID]time.Duration
}

func newWeights(settings Settings) *weights {
	return &weights{
		within:    settings.WeightsWithin,
		pacers:    make(map[fleet.ModelName]*rollout.Pacer),
		changing:  make(map[fleet.EngineID]bool),
		orders:    make(map[fleet.EngineID]time.Duration),
		leftAlone: make(map[fleet.EngineID]time.Duration),
		failures:  make(map[fleet.EngineID]int),
	}
}

// name takes in a named version and tells whether it is new. at is when it was
// named at the latest; known is false for a version that was named at an unknown
// time before.
func (w *weights) name(at time.Duration, known bool, named NamedWeights) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	pacer := w.pacer(named.Model)
	if !known {
		return pacer.PublishAssumed(at-w.within+requireReserve+startUnknown, uint64(named.Version))
	}
	return pacer.Publish(at, uint64(named.Version))
}

// pacer returns a model's pacer; the mutex is held.
func (w *weights) pacer(model fleet.ModelName) *rollout.Pacer {
	pacer := w.pacers[model]
	if pacer == nil {
		within := w.within - requireReserve
		pacer = rollout.NewPacer(rollout.PacerOptions{Within: within})
		w.pacers[model] = pacer
	}
	return pacer
}

// setWithin takes over another bound, for the versions of models that are named
// from now on for the first time.
func (w *weights) setWithin(within time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.within = within
}

// hold has the time of versions that aren't due yet begin anew.
func (w *weights) hold(now time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, pacer := range w.pacers {
		pacer.ResetPending(now, w.within-requireReserve)
	}
}

// learn takes in a peer's word on when a version was named.
func (w *weights) learn(at time.Duration, model fleet.ModelName, version uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.pacer(model).LearnPublication(at, version)
}

// heard returns the namings that this node has heard of at once.
func (w *weights) heard() map[fleet.ModelName][]rollout.Publication {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	heard := make(map[fleet.ModelName][]rollout.Publication, len(w.pacers))
	for model, pacer := range w.pacers {
		heard[model] = pacer.RecentPublications(sharedNamings)
	}
	return heard
}

// due returns the versions older than which no request may begin from reserve
// after now on.
func (w *weights) due(now, reserve time.Duration) map[fleet.ModelName]backends.WeightsVersion {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	due := make(map[fleet.ModelName]backends.WeightsVersion, len(w.pacers))
	for model, pacer := range w.pacers {
		due[model] = backends.WeightsVersion(pacer.NewestDue(now, w.within-reserve))
	}
	return due
}

// replaced returns the newest versions that were named preferAfter ago.
func (w *weights) replaced(now time.Duration) map[fleet.ModelName]backends.WeightsVersion {
	return w.due(now, w.bound()-preferAfter)
}

// bound returns the time after which no request may begin on an older version.
func (w *weights) bound() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.within
}

// change is one engine that is to take a version.
type change struct {
	worker  backends.Worker
	model   fleet.ModelName
	version uint64
}

// next returns the changes to begin now and counts them as begun. doubtful are
// the workers that can't be reached, by what is known.
func (w *weights) next(now time.Duration, workers []backends.Worker, doubtful map[fleet.EngineID]bool) []change {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var changes []change
	for model, pacer := range w.pacers {
		byID := make(map[fleet.EngineID]backends.Worker)
		var engines []rollout.VersionedEngine
		for _, worker := range workers {
			version, serves := worker.Versions[model]
			if !serves || worker.Draining || now < w.leftAlone[worker.ID] {
				continue
			}
			byID[worker.ID] = worker
			engines = append(engines, rollout.VersionedEngine{
				Engine: worker.ID, Version: uint64(version), Changing: w.changing[worker.ID],
				Unreachable: doubtful[worker.ID] || w.failures[worker.ID] > 0, Failures: w.failures[worker.ID],
			})
		}
		for _, id := range pacer.Next(now, engines) {
			w.changing[id] = true
			changes = append(changes, change{worker: byID[id], model: model, version: pacer.Newest()})
		}
	}
	return changes
}

// announce says until when an engine counts as under order, and tells whether that
// is news.
func (w *weights) announce(id fleet.EngineID, until time.Duration) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, known := w.orders[id]
	w.orders[id] = until
	return !known
}

// retract says that an engine is no longer under order.
func (w *weights) retract(id fleet.EngineID) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.orders, id)
}

// finish notes that a change has ended. took is 0 if it failed, load the part of it
// since the order.
func (w *weights) finish(now time.Duration, done change, took, load time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.changing, done.worker.ID)
	delete(w.orders, done.worker.ID)
	if took > 0 {
		w.pacers[done.model].ObserveChange(took, load)
		delete(w.leftAlone, done.worker.ID)
		delete(w.failures, done.worker.ID)
		return
	}
	w.failures[done.worker.ID]++
	w.leftAlone[done.worker.ID] = now + changeBackoff
}

// namings returns a number that rises with each version that is named.
func (w *weights) namings() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	sum := uint64(len(w.pacers))
	for _, pacer := range w.pacers {
		sum += pacer.Newest()
	}
	return sum
}

// unfinished tells whether a worker is to take a newer version than it has, or is about to.
func (w *weights) unfinished(workers []backends.Worker) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.changing) > 0 {
		return true
	}
	for index := range workers {
		for model, version := range workers[index].Versions {
			if pacer := w.pacers[model]; pacer != nil && uint64(version) < pacer.Newest() {
				return true
			}
		}
	}
	return false
}

// forgetRun drops what is known of the orders to a run that has ended.
func (w *weights) forgetRun(id fleet.EngineID) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.orders, id)
	delete(w.failures, id)
	delete(w.leftAlone, id)
}

// underOrder returns the engines under this node's orders and for how long.
func (w *weights) underOrder(now time.Duration) map[fleet.EngineID]time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	remaining := make(map[fleet.EngineID]time.Duration, len(w.orders))
	for id, until := range w.orders {
		if until > now {
			remaining[id] = until - now
		}
	}
	return remaining
}

// newest returns the newest named version of a model.
func (w *weights) newest(model fleet.ModelName) uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.pacers[model].Newest()
}
