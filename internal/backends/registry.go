package backends

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/prefixindex"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// Options sets up a Registry.
type Options struct {
	// Zone is where this node is.
	Zone fleet.ZoneName
	// Regions holds the region of each zone; zones that it lacks count as near ones.
	Regions Regions
	// Distances are what distance costs; DefaultDistancePrices if all are 0.
	Distances DistancePrices
	// ExhaustiveLimit is the number of a service's workers up to which a choice looks at all of
	// them; 0 means DefaultWholeUpTo.
	ExhaustiveLimit int
	// Random breaks ties; required.
	Random *rand.Rand
	// Scheduling sets the prices of a choice among engines.
	Scheduling scheduling.Options
	// PrefillPerToken is the time that an engine takes for a prompt token before
	// any was measured.
	PrefillPerToken time.Duration
	// Step is the time of an engine's batch step, StepTokens the most prompt
	// tokens that one computes.
	Step       time.Duration
	StepTokens int
	// MaxParts bounds the remembered cached parts.
	MaxParts int
}

// Defaults of Options.
const (
	DefaultPrefillPerToken = 26 * time.Microsecond
	DefaultStep            = 6 * time.Millisecond
	DefaultStepTokens      = 4096
	DefaultMaxParts        = 1 << 16
)

// Registry is what a node knows of the workers.
type Registry struct {
	options   Options
	scheduler *scheduling.Scheduler

	mutex      sync.Mutex
	workers    map[fleet.EngineID]*workerState
	shortNames shortNames
	// tombstones holds the revision at which a row went, for workers forgotten.
	tombstones map[fleet.EngineID]fleet.Revision
	// unpublishedDraining holds the workers that have said that they drain and whose rows haven't, and
	// drained the runs of those forgotten that were draining.
	unpublishedDraining map[fleet.EngineID]bool
	forgottenDraining   map[fleet.EngineID]drainingRecord
	peers               *peerReports
	required            map[fleet.ModelName]ModelVersion
	preferred           map[fleet.ModelName]ModelVersion
	// memoryCapacities holds, by service, the memory of an engine in tokens.
	memoryCapacities map[fleet.PoolName]int
	// speedEstimates holds, by service, how fast its engines are.
	speedEstimates map[fleet.PoolName]*speedEstimate
	parts          *partIndex
	workTrackers   map[fleet.PoolName]*workTracker
	pools          map[fleet.PoolName]*pool
	// subsets are those whose workers get requests, planned those that this node planned
	// last, and shortages what it lacked. onlySubsets is set if nothing is to be known of
	// other workers.
	subsets     Subsets
	planned     Subsets
	shortages   map[fleet.PoolName]shortage
	onlySubsets bool
	// changes counts the changes of the workers that are listed and of their versions.
	changes uint64
	// searches counts the searches for candidates.
	searches uint64
	// endpoints, fits, doubts and matches are buffers of a choice.
	endpoints                      []scheduling.Endpoint
	eligibleBuffer, notReadyBuffer []*workerState
	matches                        []prefixindex.Match
}

// New returns an empty registry.
func New(options Options) *Registry {
	if options.PrefillPerToken <= 0 {
		options.PrefillPerToken = DefaultPrefillPerToken
	}
	if options.Step <= 0 {
		options.Step = DefaultStep
	}
	if options.StepTokens <= 0 {
		options.StepTokens = DefaultStepTokens
	}
	if options.MaxParts <= 0 {
		options.MaxParts = DefaultMaxParts
	}
	if options.ExhaustiveLimit <= 0 {
		options.ExhaustiveLimit = DefaultExhaustiveLimit
	}
	if options.Distances == (DistancePrices{}) {
		options.Distances = DefaultDistancePrices()
	}
	registry := &Registry{
		options:             options,
		scheduler:           scheduling.New(options.Scheduling),
		workers:             make(map[fleet.EngineID]*workerState),
		shortNames:          newShortNames(),
		tombstones:          make(map[fleet.EngineID]fleet.Revision),
		unpublishedDraining: make(map[fleet.EngineID]bool),
		forgottenDraining:   make(map[fleet.EngineID]drainingRecord),
		peers:               newPeerReports(),
		required:            make(map[fleet.ModelName]ModelVersion),
		preferred:           make(map[fleet.ModelName]ModelVersion),
		memoryCapacities:    make(map[fleet.PoolName]int),
		speedEstimates:      make(map[fleet.PoolName]*speedEstimate),
		parts:               newPartIndex(options.MaxParts),
		workTrackers:        make(map[fleet.PoolName]*workTracker),
		pools:               make(map[fleet.PoolName]*pool),
		shortages:           make(map[fleet.PoolName]shortage),
	}
	registry.peers.onChange, registry.peers.onChangeAll = registry.updateLevelByID, registry.updateAllLevels
	return registry
}

// Change tells what an observation changed.
type Change string

// Changes of a worker.
const (
	Unchanged       Change = ""
	Added           Change = "added"
	Returned        Change = "returned"
	StartedDraining Change = "draining"
	Gone            Change = "gone"
	NewVersion      Change = "version"
	// Restarted means that another run has the worker's identifier.
	Restarted Change = "restarted"
	// Unusable means that the worker's row names no worker to use any more.
	Unusable Change = "unusable"
)

// Observe takes in a worker's row at a revision of the store.
func (r *Registry) Observe(revision fleet.Revision, worker Worker) Change {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.changes++
	state := r.workers[worker.ID]
	if state == nil {
		if revision <= r.tombstones[worker.ID] {
			return Unchanged
		}
		state = newState(worker, revision)
		if !worker.Draining && r.wasDraining(worker.ID, worker.StartTime) {
			state.worker.Draining = true
			r.unpublishedDraining[worker.ID] = true
		}
		delete(r.forgottenDraining, worker.ID)
		r.workers[worker.ID] = state
		r.updatePool(state)
		r.shortNames.add(worker.ID)
		r.parts.add(worker.Run())
		return Added
	}
	if revision <= state.revision || worker.StartTime != 0 && worker.StartTime < state.worker.StartTime {
		return Unchanged
	}
	if isRestart(&state.worker, worker.StartTime) {
		r.replaceRun(state, worker, revision)
		return Restarted
	}
	change := Unchanged
	switch {
	case worker.Draining && !state.worker.Draining:
		change = StartedDraining
	case state.gone:
		change = Returned
	case !maps.Equal(state.worker.Versions, worker.Versions):
		change = NewVersion
	}
	if worker.Draining {
		delete(r.unpublishedDraining, worker.ID)
	}
	worker.Draining = worker.Draining || state.worker.Draining
	r.setVersions(state, r.mergeVersions(state, worker.Versions))
	worker.Versions = state.worker.Versions
	worker.StartTime = max(worker.StartTime, state.worker.StartTime)
	state.worker, state.revision, state.gone = worker, revision, false
	r.updatePool(state)
	return change
}

// isRestart tells whether a start is that of another run than the one known. Where the
// known one's start was never told, the first word on it says nothing of another run.
func isRestart(current *Worker, startTime StartTime) bool {
	return current.StartTime != 0 && startTime > current.StartTime
}

// replaceRun has a new run take the place of the one known under the same identifier:
// requests under way stay counted at the former one; the mutex is held.
func (r *Registry) replaceRun(previous *workerState, worker Worker, revision fleet.Revision) {
	r.removeFromPool(previous)
	delete(r.unpublishedDraining, worker.ID)
	r.parts.clear(worker.Run())
	replacement := newState(worker, revision)
	r.workers[worker.ID] = replacement
	r.updatePool(replacement)
}

// ObserveStart takes in when a worker says that it started, other than by its row. It tells
// whether that is another run than the one known.
func (r *Registry) ObserveStart(id fleet.EngineID, startTime StartTime) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state := r.workers[id]
	if state == nil || !isRestart(&state.worker, startTime) {
		return false
	}
	worker := state.worker
	worker.StartTime, worker.Draining = startTime, false
	r.replaceRun(state, worker, state.revision)
	r.workers[id].gone, r.workers[id].goneAt = state.gone, state.goneAt
	r.updatePool(r.workers[id])
	return true
}

// ObserveUnusable takes in that a worker's row names no worker to use from a revision on:
// it gets no requests, also where nobody else is there, until a newer row names one again.
func (r *Registry) ObserveUnusable(now time.Duration, revision fleet.Revision, id fleet.EngineID) Change {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state := r.workers[id]
	if state == nil {
		r.tombstones[id] = max(r.tombstones[id], revision)
		return Unchanged
	}
	if revision <= state.revision {
		return Unchanged
	}
	state.gone, state.goneAt, state.revision = true, now-lapsedGracePeriod, revision
	r.updatePool(state)
	return Unusable
}

// mergeVersions returns the versions of a row, except where a newer one was
// heard of before: rows lag behind. A newer version in the row drops what the
// worker is believed to hold.
func (r *Registry) mergeVersions(state *workerState, row map[fleet.ModelName]ModelVersion) map[fleet.ModelName]ModelVersion {
	if maps.Equal(state.worker.Versions, row) {
		return row
	}
	merged := make(map[fleet.ModelName]ModelVersion, len(row))
	for model, version := range row {
		merged[model] = max(version, state.worker.Versions[model])
	}
	if !maps.Equal(state.worker.Versions, merged) {
		state.mismatchUntil = 0
		r.parts.clear(state.worker.Run())
	}
	return merged
}

// ObserveGone takes in that a worker's row went at a revision.
func (r *Registry) ObserveGone(now time.Duration, revision fleet.Revision, id fleet.EngineID) Change {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state := r.workers[id]
	if state == nil {
		r.tombstones[id] = max(r.tombstones[id], revision)
		return Unchanged
	}
	if revision <= state.revision || state.gone {
		state.revision = max(state.revision, revision)
		return Unchanged
	}
	state.gone, state.goneAt, state.revision = true, now, revision
	r.changes++
	r.updatePool(state)
	return Gone
}

// ObserveSnapshot takes in a whole read of the rows as of a revision: workers that it
// doesn't name, and whose rows are not newer than the read, are gone.
func (r *Registry) ObserveSnapshot(now time.Duration, revision fleet.Revision, listed map[fleet.EngineID]bool) []fleet.EngineID {
	r.mutex.Lock()
	var missing []fleet.EngineID
	for id, state := range r.workers {
		if !state.gone && !listed[id] && state.revision <= revision {
			missing = append(missing, id)
		}
	}
	r.mutex.Unlock()
	slices.Sort(missing)
	gone := missing[:0]
	for _, id := range missing {
		if r.ObserveGone(now, revision+1, id) == Gone {
			gone = append(gone, id)
		}
	}
	return gone
}

// Forget drops the workers that have been gone for keep and have no request in
// flight, and returns them.
func (r *Registry) Forget(now, retention time.Duration) []fleet.EngineID {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.expireForgottenDraining(now)
	var forgotten []fleet.EngineID
	for id, state := range r.workers {
		if state.gone && state.inFlight == 0 && now >= state.goneAt+retention {
			r.tombstones[id] = state.revision
			r.drop(id, state)
			forgotten = append(forgotten, id)
		} else if r.isOutsideSubsets(state) {
			r.drop(id, state)
			forgotten = append(forgotten, id)
		}
	}
	return forgotten
}

// RequireVersion says that requests of a model may begin on no older version.
func (r *Registry) RequireVersion(model fleet.ModelName, version ModelVersion) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.required[model] = max(r.required[model], version)
}

// PreferVersion says that requests of a model should begin on no older version where that
// costs little.
func (r *Registry) PreferVersion(model fleet.ModelName, version ModelVersion) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.preferred[model] = max(r.preferred[model], version)
}

// ObserveVersion takes in a version that the worker, or whoever ordered it, was
// heard to have. It never goes down, since rows lag behind.
func (r *Registry) ObserveVersion(id fleet.EngineID, model fleet.ModelName, version ModelVersion) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state := r.workers[id]
	if state == nil || state.worker.Versions[model] >= version {
		return
	}
	versions := maps.Clone(state.worker.Versions)
	if versions == nil {
		versions = make(map[fleet.ModelName]ModelVersion)
	}
	versions[model] = version
	r.changes++
	r.setVersions(state, versions)
	state.mismatchUntil = 0
	// The order that brought the version is carried out.
	state.orderedUntil = 0
	r.parts.clear(state.worker.Run())
}

// ObserveOrder says until when a worker counts as under an order.
func (r *Registry) ObserveOrder(id fleet.EngineID, until time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if state := r.workers[id]; state != nil {
		state.orderedUntil = until
	}
}

// ZoneOf returns where a worker is; empty if it isn't known.
func (r *Registry) ZoneOf(id fleet.EngineID) fleet.ZoneName {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state := r.workers[id]
	if state == nil {
		return ""
	}
	return state.worker.Zone
}

// Workers returns the listed workers of all services, by identifier.
func (r *Registry) Workers() []Worker {
	return r.filterWorkers(func(state *workerState) bool { return !state.gone })
}

// WorkersInUse returns the listed workers of the subsets in force, by identifier.
func (r *Registry) WorkersInUse() []Worker {
	return r.filterWorkers(func(state *workerState) bool {
		return !state.gone && r.subsets.contains(state.worker.Service, state.hash)
	})
}

// Changes returns a number that rises with each change of the workers that are listed and of
// their versions.
func (r *Registry) Changes() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.changes
}

// filterWorkers returns the workers that are chosen, by identifier. The mutex is held while
// it chooses.
func (r *Registry) filterWorkers(include func(state *workerState) bool) []Worker {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var workers []Worker
	for _, state := range r.workers {
		if include(state) {
			workers = append(workers, state.worker)
		}
	}
	slices.SortFunc(workers, func(a, b Worker) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return workers
}
