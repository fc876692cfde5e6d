package backends

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/scheduling"
	"github.com/tillerfall/tillerfall/internal/streamorigin"
)

const (
	// scanValidityPerWorker is how long the result of a full scan is valid, for each worker of the
	// service. It bounds the share of time spent on scans at any fleet size.
	scanValidityPerWorker = 40 * time.Microsecond
	// maxSpareEngines is the number of engines with the shortest waits that a scan keeps.
	// spareBatch is the number that a choice takes at once.
	maxSpareEngines = 32
	spareBatch      = 4
)

// scanKey identifies requests that can share the result of a full scan.
type scanKey struct {
	model                fleet.ModelName
	priority             int
	limited, wantsTarget bool
	// origin is the version that the request is limited to.
	origin streamorigin.Constraint
	// hasDeadline and repeatable are set if the request has a deadline or may run again: streams of less
	// urgent requests don't make an engine full then, and silent engines may be tried.
	hasDeadline, repeatable bool
	// full is set for scans that have found all workers full.
	full bool
}

// scanResult is the result of a full scan of a service's workers.
type scanResult struct {
	validUntil time.Duration
	// shortestWait is the shortest wait at any eligible engine.
	shortestWait time.Duration
	// spare holds the engines with the shortest waits, in decreasing order of their waits.
	spare []spareEngine
}

type spareEngine struct {
	state *workerState
	wait  time.Duration
}

// take removes and returns the engines with the shortest waits.
func (r *scanResult) take() []spareEngine {
	from := max(len(r.spare)-spareBatch, 0)
	taken := r.spare[from:]
	r.spare = r.spare[:from]
	return taken
}

// add adds an engine if its wait is among the shortest.
func (r *scanResult) add(state *workerState, wait time.Duration) {
	r.shortestWait = min(r.shortestWait, wait)
	if len(r.spare) == maxSpareEngines && wait >= r.spare[0].wait {
		return
	}
	index, _ := slices.BinarySearchFunc(r.spare, wait, func(spare spareEngine, wait time.Duration) int {
		return cmp.Compare(wait, spare.wait)
	})
	r.spare = slices.Insert(r.spare, index, spareEngine{state: state, wait: wait})
	if len(r.spare) > maxSpareEngines {
		r.spare = slices.Delete(r.spare, 0, 1)
	}
}

// addSpareEngines adds engines with spare capacity to the candidates of a request that would wait
// too long at all of them, and reports whether it did. If not, a valid full scan shows that the
// wait exceeds allowed at every engine; shortestWait is the shortest one.
func (s *search) addSpareEngines(allowed time.Duration) (shortestWait time.Duration, added bool) {
	key := s.scanKeyFor(s.request.Engine.Priority)
	scan := s.pool.scans[key]
	if scan != nil && s.now < scan.validUntil && scan.shortestWait > allowed {
		return scan.shortestWait, false
	}
	if scan == nil || s.now >= scan.validUntil || len(scan.spare) == 0 {
		scan = s.scanForSpare()
		s.pool.scans[key] = scan
	}
	if scan.shortestWait > allowed {
		return scan.shortestWait, false
	}
	for _, spare := range scan.take() {
		s.examine(spare.state)
	}
	s.saveBuffers()
	return scan.shortestWait, true
}

// scanKeyFor returns the scan key of the request at a priority.
func (s *search) scanKeyFor(priority int) scanKey {
	key := scanKey{
		priority: priority, limited: s.software != nil, wantsTarget: s.software.PrefersTarget(), repeatable: s.request.Repeatable,
		origin: s.request.Origin,
	}
	if engine := s.request.Engine; engine != nil {
		key.model, key.hasDeadline = engine.Model, engine.Deadline > 0
	}
	return key
}

// anyPriority is used in a scanKey when the result does not depend on the priority.
const anyPriority = -1

// fullKey returns the scan key of requests for which the same workers are full.
func (s *search) fullKey() scanKey {
	priority := anyPriority
	if engine := s.request.Engine; engine != nil && engine.Deadline > 0 {
		priority = engine.Priority
	}
	key := s.scanKeyFor(priority)
	key.full = true
	return key
}

// isKnownFull reports whether a valid full scan has found all workers full. It is false for retried
// requests, which exclude some workers.
func (s *search) isKnownFull() bool {
	scan := s.pool.scans[s.fullKey()]
	return len(s.request.Excluded) == 0 && scan != nil && s.now < scan.validUntil && s.resolve() == ReasonFull
}

// recordFull records that a full scan has found all workers full.
func (s *search) recordFull() {
	if len(s.request.Excluded) == 0 && s.resolve() == ReasonFull {
		s.pool.scans[s.fullKey()] = &scanResult{validUntil: s.now + s.scanValidity()}
	}
}

// scanValidity returns how long the result of a full scan is valid.
func (s *search) scanValidity() time.Duration {
	return time.Duration(s.pool.listedCount()) * scanValidityPerWorker
}

// scanForSpare scans all engines for the shortest waits.
func (s *search) scanForSpare() *scanResult {
	scan := &scanResult{validUntil: s.now + s.scanValidity(), shortestWait: math.MaxInt64}
	for _, state := range s.pool.all() {
		if state.lastSearch == s.id && state.verdict != verdictEligible || state.lastSearch != s.id && s.assess(state) != verdictEligible {
			continue
		}
		endpoint := s.endpointLoad(s.now, s.request.Engine, state)
		scan.add(state, scheduling.PredictedWait(&endpoint))
	}
	return scan
}
