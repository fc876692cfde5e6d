package backends

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

const (
	// scanValidityPerWorker is how long a look at all workers of a service counts, for each
	// of them, so that looks take a small part of the time at any number of workers.
	scanValidityPerWorker = 40 * time.Microsecond
	// maxSpareEngines is the number of engines with the shortest waits that such a look keeps,
	// spareTaken how many of them a choice takes at once.
	maxSpareEngines = 32
	spareBatch      = 4
)

// scanKey names the requests for which a look at all workers counts alike.
type scanKey struct {
	model                fleet.ModelName
	priority             int
	limited, wantsTarget bool
}

// scanResult is what a scanResult at all workers of a service has found.
type scanResult struct {
	validUntil time.Duration
	// shortestWait is the shortest wait for others at any engine that may get a request.
	shortestWait time.Duration
	// spare holds engines with short waits, the shortest last.
	spare []spareEngine
}

type spareEngine struct {
	state *workerState
	wait  time.Duration
}

// take returns some of the engines with the shortest waits, which are not returned again.
func (l *scanResult) take() []spareEngine {
	from := max(len(l.spare)-spareBatch, 0)
	taken := l.spare[from:]
	l.spare = l.spare[:from]
	return taken
}

// add takes an engine in if its wait is among the shortest.
func (l *scanResult) add(state *workerState, wait time.Duration) {
	l.shortestWait = min(l.shortestWait, wait)
	if len(l.spare) == maxSpareEngines && wait >= l.spare[0].wait {
		return
	}
	at, _ := slices.BinarySearchFunc(l.spare, wait, func(spare spareEngine, wait time.Duration) int {
		return cmp.Compare(wait, spare.wait)
	})
	l.spare = slices.Insert(l.spare, at, spareEngine{state: state, wait: wait})
	if len(l.spare) > maxSpareEngines {
		l.spare = slices.Delete(l.spare, 0, 1)
	}
}

// addSpareEngines adds engines with room to the candidates of a request that would wait too long
// at all of those looked at. It tells whether it has; if not, no engine of the service has
// room, by a look at all of them that still counts, and least is the shortest wait.
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

// scanKeyFor returns what names the requests like this one of a priority.
func (s *search) scanKeyFor(priority int) scanKey {
	key := scanKey{priority: priority, limited: s.software != nil, wantsTarget: s.software.WantsTarget()}
	if s.request.Engine != nil {
		key.model = s.request.Engine.Model
	}
	return key
}

// anyPriority stands in a lookKey for all priorities: workers that are full are full for
// all.
const anyPriority = -1

// isKnownFull tells whether a look at all workers that still counts has found them full. A
// request that was sent before isn't judged by it, since it leaves workers out.
func (s *search) isKnownFull() bool {
	scan := s.pool.scans[s.scanKeyFor(anyPriority)]
	return len(s.request.Excluded) == 0 && scan != nil && s.now < scan.validUntil && s.resolve() == ReasonFull
}

// recordFull keeps that all workers have been looked at and are full.
func (s *search) recordFull() {
	if len(s.request.Excluded) == 0 && s.resolve() == ReasonFull {
		s.pool.scans[s.scanKeyFor(anyPriority)] = &scanResult{validUntil: s.now + s.scanValidity()}
	}
}

// scanValidity returns for how long a look at all workers counts.
func (s *search) scanValidity() time.Duration {
	return time.Duration(s.pool.listedCount()) * scanValidityPerWorker
}

// scanForSpare looks at all engines for the shortest waits.
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
