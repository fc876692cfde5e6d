package placement

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/prefixindex"
)

// LeavingSource identifies what first reported that an engine run is leaving.
type LeavingSource string

// Sources of a report that an engine run is leaving.
const (
	LeavingNone        LeavingSource = ""
	LeavingMachineList LeavingSource = "machine_list"
	LeavingOperator    LeavingSource = "operator"
	LeavingEngine      LeavingSource = "engine"
)

// pastRun is what is kept of an engine that has left the machine list. It prevents a stale list
// from reviving an older run or one that was leaving.
type pastRun struct {
	incarnation fleet.Incarnation
	leaving     LeavingSource
}

// engineState is the state of the newest run of a listed engine.
type engineState struct {
	run     fleet.EngineRun
	machine platform.Machine
	owned   bool
	// leaving is set once by the machine list or the engine and stays set for the run, because both
	// may lag. drainDirected follows the drain or retire directive of the current configuration, so
	// an operator can end a drain.
	leaving       LeavingSource
	drainDirected bool
	// inPool reports whether Core.byPool lists the engine under pool.
	inPool bool
	pool   fleet.PoolName
	// foreignPool is the pool under which Core.foreign counts the engine; empty if it isn't
	// counted.
	foreignPool fleet.PoolName

	// statusAt is when the run last reported its status; valid if status isn't nil.
	statusAt    time.Duration
	unreachable bool
	status      *engine.Status
	loaded      map[fleet.ModelVersion]struct{}
	serves      func(fleet.ModelVersion) bool

	feed *prefixindex.Feed
	load loadEstimate
	// prefilling lists the grants whose prompts aren't known to be computed, in order of grant.
	prefilling []*grantState
	inFlight   int

	// parked is the work waiting in the Core for this engine, by rank; nil until first used.
	parked []parkedWork

	// streamTime is the moving average of stream durations; 0 if no stream has ended.
	streamTime time.Duration

	// matchedBlocks is valid for the decision numbered matchedStep.
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

// reset replaces the state by that of a newer run.
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

// releaseOwnership drops the state that only the owner of an engine needs. The run and its leaving
// state are kept; grants in flight end as usual.
func (e *engineState) releaseOwnership() {
	e.status = nil
	e.loaded = nil
	e.load = loadEstimate{}
	e.streamTime = 0
	e.releaseParked()
}

// markLeaving records the first source that reported the run as leaving.
func (e *engineState) markLeaving(source LeavingSource) {
	if e.leaving == LeavingNone {
		e.leaving = source
	}
}

// leavingSource returns the source that reported the run as leaving, or LeavingNone.
func (e *engineState) leavingSource() LeavingSource {
	if e.leaving == LeavingNone && e.drainDirected {
		return LeavingOperator
	}
	return e.leaving
}

func (e *engineState) servesModelVersion(version fleet.ModelVersion) bool {
	_, loaded := e.loaded[version]
	return loaded && acceptsRequests(e.status.Role)
}

func acceptsRequests(role engine.Role) bool { return role == engine.RoleServe || role == "" }

func (e *engineState) isReady(now, statusTTL time.Duration) bool {
	return e.status != nil && !e.unreachable && now-e.statusAt <= statusTTL
}

// isPlaceable reports whether the engine may get work from this router once it is ready.
func (e *engineState) isPlaceable() bool {
	return e.owned && e.leavingSource() == LeavingNone
}

func (e *engineState) updateStatus(now time.Duration, status engine.Status) {
	e.statusAt = now
	e.unreachable = false
	e.status = &status
	e.loaded = make(map[fleet.ModelVersion]struct{}, len(status.Loaded))
	for _, version := range status.Loaded {
		e.loaded[fleet.ModelVersion(version)] = struct{}{}
	}
}

// streams returns the number of streams at the engine: those placed here and not known to have
// ended, and those of other routers as of the last report.
func (e *engineState) streams() int { return e.inFlight + e.load.foreignStreams }

// pendingBlocks returns how many leading blocks are being computed for an earlier grant, and that
// grant. Grants of lower priority don't count, because the engine may postpone them.
func (e *engineState) pendingBlocks(blocks []fleet.BlockHash, rank int) (int, *grantState) {
	longest := 0
	var prefilling *grantState
	for _, grant := range e.prefilling {
		if grant.rank > rank {
			continue
		}
		common := commonPrefix(blocks, grant.request.Blocks)
		if common > longest {
			longest = common
			prefilling = grant
		}
	}
	return longest, prefilling
}

// commonPrefix returns the number of leading blocks that two prompts share. Hashes are chained, so
// equal hashes at one position mean equal prefixes, and a binary search finds the end.
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

// streamTimeSmoothing is the weight of the newest stream in the moving average.
const streamTimeSmoothing = 0.1

func (e *engineState) recordStreamTime(lasted time.Duration) {
	if e.streamTime == 0 {
		e.streamTime = lasted
		return
	}
	e.streamTime += time.Duration(streamTimeSmoothing * float64(lasted-e.streamTime))
}

// slotWait predicts how long a request waits for a free stream behind waitingAhead other requests.
// It assumes that streams end at an even rate.
func (e *engineState) slotWait(limit, waitingAhead int, output time.Duration) time.Duration {
	streams := e.streams()
	missing := streams + waitingAhead + 1 - limit
	if missing <= 0 {
		return 0
	}
	duration := e.streamTime
	if duration == 0 {
		duration = output
	}
	return duration * time.Duration(missing) / time.Duration(max(streams, 1))
}

// lowerPriorityTokens returns the prompt tokens placed here that an engine which honours priorities
// computes after a request of the given rank.
func (e *engineState) lowerPriorityTokens(rank int) int {
	total := 0
	for _, grant := range e.prefilling {
		if grant.rank > rank {
			total += grant.uncachedTokens
		}
	}
	return total
}
