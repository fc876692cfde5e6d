package placement

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/prefixindex"
)

// LeavingSource tells who said first that an engine run is leaving.
type LeavingSource string

// Sources of the word that an engine is leaving.
const (
	LeavingNone        LeavingSource = ""
	LeavingMachineList LeavingSource = "machine_list"
	LeavingOperator    LeavingSource = "operator"
	LeavingEngine      LeavingSource = "engine"
)

// pastRun is what is kept of an engine after its machine is forgotten, so that
// a lagging list can't bring back an older run or make a leaving one stay.
type pastRun struct {
	incarnation fleet.Incarnation
	leaving     LeavingSource
}

// engineState is what is known of the newest run of one listed engine.
type engineState struct {
	run     fleet.EngineRun
	machine platform.Machine
	owned   bool
	// leaving is the word of the list or the engine, which lag: it sticks.
	// directed is the standing order in the configuration, which never reverts
	// to a lower revision: an operator can end a drain.
	leaving       LeavingSource
	drainDirected bool
	// inPool tells that the core's list of pool has the engine.
	inPool bool
	pool   fleet.PoolName
	// foreignPool is the pool in whose count of foreign engines the engine is;
	// empty when it is in none.
	foreignPool fleet.PoolName

	// statusAt is when the run last gave its status; valid if status isn't nil.
	statusAt    time.Duration
	unreachable bool
	status      *engine.Status
	loaded      map[fleet.Weights]struct{}
	serves      func(fleet.Weights) bool

	feed *prefixindex.Feed
	load loadEstimate
	// prefilling lists the grants whose prompt isn't known to be computed, in
	// order of grant.
	prefilling []*grantState
	inFlight   int

	// parked is the work that waits here for this engine, by rank; nil while no
	// work ever did.
	parked []parkedWork

	// streamTime is the mean time that streams have lasted here; 0 if none ended.
	streamTime time.Duration

	// matchedBlocks belongs to the decision numbered by matchedAt.
	matchedBlocks int
	matchedStep   uint64
}

func newEngineState(id fleet.EngineID, past pastRun) *engineState {
	state := &engineState{
		run:     fleet.EngineRun{Engine: id, Incarnation: past.incarnation},
		leaving: past.leaving,
	}
	state.serves = state.servesModelVersion
	return state
}

// reset starts over with a newer run: nothing of the old one holds.
func (e *engineState) reset(incarnation fleet.Incarnation) {
	e.run.Incarnation = incarnation
	e.leaving = LeavingNone
	e.drainDirected = false
	e.unreachable = false
	e.status = nil
	e.loaded = nil
	e.feed = nil
	e.load = loadEstimate{}
	e.prefilling = nil
	e.inFlight = 0
}

// releaseOwnership drops what only the owner of an engine needs. Its run stays known, and
// whether that is leaving; grants that are under way end by themselves.
func (e *engineState) releaseOwnership() {
	e.status = nil
	e.loaded = nil
	e.load = loadEstimate{}
	e.streamTime = 0
	e.releaseParked()
}

// markLeaving notes the first of list and engine that says the run is leaving. It
// sticks.
func (e *engineState) markLeaving(source LeavingSource) {
	if e.leaving == LeavingNone {
		e.leaving = source
	}
}

// leavingSource tells who says that the run is leaving.
func (e *engineState) leavingSource() LeavingSource {
	if e.leaving == LeavingNone && e.drainDirected {
		return LeavingOperator
	}
	return e.leaving
}

func (e *engineState) servesModelVersion(weights fleet.Weights) bool {
	_, loaded := e.loaded[weights]
	return loaded && takesRequests(e.status.Role)
}

func takesRequests(role engine.Role) bool { return role == engine.RoleServe || role == "" }

func (e *engineState) isReady(now, readyFor time.Duration) bool {
	return e.status != nil && !e.unreachable && now-e.statusAt <= readyFor
}

// isPlaceable tells whether the engine may get work here once it is ready.
func (e *engineState) isPlaceable() bool {
	return e.owned && e.leavingSource() == LeavingNone
}

func (e *engineState) updateStatus(now time.Duration, status engine.Status) {
	e.statusAt = now
	e.unreachable = false
	e.status = &status
	e.loaded = make(map[fleet.Weights]struct{}, len(status.Loaded))
	for _, weights := range status.Loaded {
		e.loaded[fleet.Weights(weights)] = struct{}{}
	}
}

// streams returns the streams at the engine: those placed here and not known
// to have ended, and those of others by the last report.
func (e *engineState) streams() int { return e.inFlight + e.load.foreignStreams }

// pendingBlocks returns how many leading blocks are being computed for an
// earlier grant, and for which. Grants of worse rank don't count: the engine
// may put them off for a long time.
func (e *engineState) pendingBlocks(blocks []fleet.BlockHash, rank int) (int, *grantState) {
	longest := 0
	var computing *grantState
	for _, grant := range e.prefilling {
		if grant.rank > rank {
			continue
		}
		common := commonPrefix(blocks, grant.request.Blocks)
		if common > longest {
			longest = common
			computing = grant
		}
	}
	return longest, computing
}

// commonPrefix returns the number of leading blocks that two prompts share.
// Hashes are chained, so equal hashes at one position mean equal prefixes and
// a binary search finds the end.
func commonPrefix(a, b []fleet.BlockHash) int {
	low, high := 0, min(len(a), len(b))
	for low < high {
		middle := (low + high) / 2
		if a[middle] == b[middle] {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// streamTimeSmoothing is the weight of the newest stream in the mean.
const streamTimeSmoothing = 0.1

func (e *engineState) recordStreamTime(lasted time.Duration) {
	if e.streamTime == 0 {
		e.streamTime = lasted
		return
	}
	e.streamTime += time.Duration(streamTimeSmoothing * float64(lasted-e.streamTime))
}

// slotWait predicts how long a request waits for a stream to end, behind the
// given number of others that wait too. Streams count as ending evenly.
func (e *engineState) slotWait(limit, waitingBefore int, output time.Duration) time.Duration {
	streams := e.streams()
	missing := streams + waitingBefore + 1 - limit
	if missing <= 0 {
		return 0
	}
	lasting := e.streamTime
	if lasting == 0 {
		lasting = output
	}
	return lasting * time.Duration(missing) / time.Duration(max(streams, 1))
}

// lowerPriorityTokens returns the prompt work placed here that an engine which
// honours priorities computes after a request of the given rank.
func (e *engineState) lowerPriorityTokens(rank int) int {
	total := 0
	for _, grant := range e.prefilling {
		if grant.rank > rank {
			total += grant.uncachedTokens
		}
	}
	return total
}
