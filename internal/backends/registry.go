package backends

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/enginespeed"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/overload"
	"github.com/tillerfall/tillerfall/internal/prefixindex"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// Options configures a Registry.
type Options struct {
	// Zone is the zone of this node.
	Zone fleet.ZoneName
	// Regions holds the region of each zone. Zones without an entry count as in the same region.
	Regions Regions
	// Distances sets the cost of distance; the zero value means DefaultDistancePrices.
	Distances DistancePrices
	// ExhaustiveLimit is the number of workers of a service up to which a choice examines all of
	// them; 0 means DefaultExhaustiveLimit.
	ExhaustiveLimit int
	// Random breaks ties and draws samples; required.
	Random *rand.Rand
	// Scheduling sets the cost weights for the choice among engines.
	Scheduling scheduling.Options
	// PrefillPerToken is the assumed time to prefill a prompt token until it has been measured.
	PrefillPerToken time.Duration
	// Step is the duration of an engine's batch step. StepTokens is the maximum number of prompt
	// tokens computed in one step.
	Step       time.Duration
	StepTokens int
	// MaxParts limits the number of cached parts in the index.
	MaxParts int
}

// Defaults of Options.
const (
	DefaultPrefillPerToken = 26 * time.Microsecond
	DefaultStep            = 6 * time.Millisecond
	DefaultStepTokens      = 4096
	DefaultMaxParts        = 1 << 16
)

// Registry tracks the workers of all services and chooses among them. It is safe for concurrent
// use.
type Registry struct {
	options   Options
	scheduler *scheduling.Scheduler

	mutex      sync.Mutex
	workers    map[fleet.EngineID]*workerState
	shortNames shortNames
	// tombstones holds, for forgotten workers, the revision at which their row was deleted.
	tombstones map[fleet.EngineID]fleet.Revision
	// unpublishedDraining holds the workers that are draining although their rows do not say so.
	// forgottenDraining holds the runs that were draining when they were forgotten.
	unpublishedDraining map[fleet.EngineID]bool
	forgottenDraining   map[fleet.EngineID]drainingRecord
	peers               *peerReports
	// rejecting are the workers that have rejected requests of this node of late, and peerOutcomes the
	// outcomes that each peer last reported.
	rejecting    map[fleet.EngineID]bool
	peerOutcomes map[fleet.NodeID]map[fleet.EngineID]Outcomes
	required     map[fleet.ModelName]ModelVersion
	preferred    map[fleet.ModelName]ModelVersion
	// memoryCapacities holds, by service, the KV cache capacity of an engine in tokens.
	memoryCapacities map[fleet.PoolName]int
	// speedEstimates holds, by service, the measured speed of its engines.
	speedEstimates map[fleet.PoolName]*speedEstimate
	// speedTables holds, by service, the speeds of its engines relative to each other.
	speedTables  map[fleet.PoolName]*enginespeed.Table
	parts        *partIndex
	workTrackers map[fleet.PoolName]*workTracker
	// overloadControllers holds, by service, who uses its engines.
	overloadControllers map[fleet.PoolName]*overload.Controller
	pools               map[fleet.PoolName]*pool
	// subsets are the active subsets, planned the last ones that this node planned, and shortages
	// the capacity that they lacked. With onlySubsets, workers outside the active subsets are not
	// tracked.
	subsets     Subsets
	planned     Subsets
	shortages   map[fleet.PoolName]shortage
	onlySubsets bool
	// changes counts the changes to the set of workers and to their versions.
	changes uint64
	// searches counts the searches for candidates and provides their identifiers.
	searches uint64
	// endpoints, eligible, notReady and matches are buffers reused by choices.
	endpoints          []scheduling.Endpoint
	eligible, notReady []*workerState
	matches            []prefixindex.Match
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
		rejecting:           make(map[fleet.EngineID]bool),
		peerOutcomes:        make(map[fleet.NodeID]map[fleet.EngineID]Outcomes),
		required:            make(map[fleet.ModelName]ModelVersion),
		preferred:           make(map[fleet.ModelName]ModelVersion),
		memoryCapacities:    make(map[fleet.PoolName]int),
		speedEstimates:      make(map[fleet.PoolName]*speedEstimate),
		speedTables:         make(map[fleet.PoolName]*enginespeed.Table),
		parts:               newPartIndex(options.MaxParts),
		workTrackers:        make(map[fleet.PoolName]*workTracker),
		overloadControllers: make(map[fleet.PoolName]*overload.Controller),
		pools:               make(map[fleet.PoolName]*pool),
		shortages:           make(map[fleet.PoolName]shortage),
	}
	registry.peers.onChange, registry.peers.onChangeAll = registry.updateLevelByID, registry.updateAllLevels
	return registry
}

// Change is the effect of an observation on a worker.
type Change string

// Effects of an observation.
const (
	Unchanged       Change = ""
	Added           Change = "added"
	Returned        Change = "returned"
	StartedDraining Change = "draining"
	Gone            Change = "gone"
	NewVersion      Change = "version"
	// Restarted means that a new run has taken the worker's identifier.
	Restarted Change = "restarted"
	// Unusable means that the worker's row no longer describes a usable worker.
	Unusable Change = "unusable"
)

// Observe records a worker's row at a revision of the store. Rows that are not newer than the last
// one are ignored.
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
	if worker.Software != state.worker.Software {
		r.removeFromPool(state)
	}
	state.worker, state.revision, state.gone = worker, revision, false
	r.updateSpeed(worker.ID)
	r.updatePool(state)
	return change
}

// isRestart reports whether the start time belongs to a later run than the current one. If the
// current run's start time is unknown, it is not a restart.
func isRestart(current *Worker, startTime StartTime) bool {
	return current.StartTime != 0 && startTime > current.StartTime
}

// replaceRun replaces a run by a new one with the same identifier. Requests in flight remain
// counted at the previous run. The mutex must be held.
func (r *Registry) replaceRun(previous *workerState, worker Worker, revision fleet.Revision) {
	r.removeFromPool(previous)
	delete(r.unpublishedDraining, worker.ID)
	r.parts.clear(worker.Run())
	replacement := newState(worker, revision)
	r.workers[worker.ID] = replacement
	r.updateSpeed(worker.ID)
	r.updatePool(replacement)
}

// ObserveStart records a worker's start time from a source other than its row, and reports whether
// the worker has restarted.
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

// ObserveUnusable records that, as of a revision, a worker's row does not describe a usable worker.
// The worker gets no requests, not even as a last resort, until a newer row describes a usable one.
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

// mergeVersions returns the versions in a row, or the known ones where these are newer, since rows
// may be stale. If any version changes, the cached parts of the run are discarded.
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

// ObserveGone records that a worker's row was deleted at a revision.
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

// ObserveSnapshot records a complete read of the rows at a revision. Workers that are not listed
// and whose rows are not newer than the snapshot count as gone. It returns those workers in order.
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

// Forget drops the workers that have been gone for the retention time and have no request in
// flight, and those outside the active subsets. It returns the dropped workers.
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

// RequireVersion sets the minimum version for new requests of a model. It never decreases.
func (r *Registry) RequireVersion(model fleet.ModelName, version ModelVersion) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.required[model] = max(r.required[model], version)
}

// PreferVersion sets the minimum preferred version for new requests of a model: older versions are
// penalized. It never decreases.
func (r *Registry) PreferVersion(model fleet.ModelName, version ModelVersion) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.preferred[model] = max(r.preferred[model], version)
}

// ObserveVersion records that a worker has loaded a version of a model. Older versions are ignored,
// since reports may be stale.
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
	// The worker has loaded the version that it was cordoned for.
	state.cordonedUntil = 0
	r.parts.clear(state.worker.Run())
}

// Cordon makes a worker count as not ready until the given time. A time in the past ends the
// cordon.
func (r *Registry) Cordon(id fleet.EngineID, until time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if state := r.workers[id]; state != nil {
		state.cordonedUntil = until
	}
}

// ZoneOf returns the zone of a worker, or "" if the worker is unknown.
func (r *Registry) ZoneOf(id fleet.EngineID) fleet.ZoneName {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state := r.workers[id]
	if state == nil {
		return ""
	}
	return state.worker.Zone
}

// Workers returns the workers of all services whose rows exist, sorted by identifier.
func (r *Registry) Workers() []Worker {
	return r.filterWorkers(func(state *workerState) bool { return !state.gone })
}

// WorkersInUse returns the workers in the active subsets whose rows exist, sorted by identifier.
func (r *Registry) WorkersInUse() []Worker {
	return r.filterWorkers(func(state *workerState) bool {
		return !state.gone && r.subsets.contains(state.worker.Service, state.hash)
	})
}

// Changes returns a counter that increases when a worker is observed or gone, or its version
// changes.
func (r *Registry) Changes() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.changes
}

// filterWorkers returns the workers that include accepts, sorted by identifier. include is called
// with the mutex held.
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
