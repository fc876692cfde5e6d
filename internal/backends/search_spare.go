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
	// lookValidPerWorker is how long a look at all workers of a service counts, for each
	// of them, so that looks take a small part of the time at any number of workers.
	lookValidPerWorker = 40 * time.Microsecond
	// spares is the number of engines with the shortest waits that such a look keeps,
	// spareTaken how many of them a choice takes at once.
	spares     = 32
	spareTaken = 4
)

// lookKey names the requests for which a look at all workers counts alike.
type lookKey struct {
	model                fleet.ModelName
	priority             int
	limited, wantsTarget bool
}

// look is what a look at all workers of a service has found.
type look struct {
	until time.Duration
	// least is the shortest wait for others at any engine that may get a request.
	least time.Duration
	// spare holds engines with short waits, the shortest last.
	spare []spareEngine
}

type spareEngine struct {
	known *state
	wait  time.Duration
}

// take returns some of the engines with the shortest waits, which are not returned again.
func (l *look) take() []spareEngine {
	from := max(len(l.spare)-spareTaken, 0)
	taken := l.spare[from:]
	l.spare = l.spare[:from]
	return taken
}

// note takes an engine in if its wait is among the shortest.
func (l *look) note(known *state, wait time.Duration) {
	l.least = min(l.least, wait)
	if len(l.spare) == spares && wait >= l.spare[0].wait {
		return
	}
	at, _ := slices.BinarySearchFunc(l.spare, wait, func(spare spareEngine, wait time.Duration) int {
		return cmp.Compare(wait, spare.wait)
	})
	l.spare = slices.Insert(l.spare, at, spareEngine{known: known, wait: wait})
	if len(l.spare) > spares {
		l.spare = slices.Delete(l.spare, 0, 1)
	}
}

// spareFor adds engines with room to the candidates of a request that would wait too long
// at all of those looked at. It tells whether it has; if not, no engine of the service has
// room, by a look at all of them that still counts, and least is the shortest wait.
func (s *search) spareFor(allowed time.Duration) (least time.Duration, added bool) {
	key := s.lookKey(s.request.Engine.Priority)
	known := s.pool.looks[key]
	if known != nil && s.now < known.until && known.least > allowed {
		return known.least, false
	}
	if known == nil || s.now >= known.until || len(known.spare) == 0 {
		known = s.lookForSpare()
		s.pool.looks[key] = known
	}
	if known.least > allowed {
		return known.least, false
	}
	for _, spare := range known.take() {
		s.look(spare.known)
	}
	s.keepBuffers()
	return known.least, true
}

// lookKey returns what names the requests like this one of a priority.
func (s *search) lookKey(priority int) lookKey {
	key := lookKey{priority: priority, limited: s.versions != nil, wantsTarget: s.versions.PrefersTarget()}
	if s.request.Engine != nil {
		key.model = s.request.Engine.Model
	}
	return key
}

// fullPriority stands in a lookKey for all priorities: workers that are full are full for
// all.
const fullPriority = -1

// knownFull tells whether a look at all workers that still counts has found them full. A
// request that was sent before isn't judged by it, since it leaves workers out.
func (s *search) knownFull() bool {
	known := s.pool.looks[s.lookKey(fullPriority)]
	return len(s.request.Excluded) == 0 && known != nil && s.now < known.until && s.outcome() == ReasonFull
}

// noteFull keeps that all workers have been looked at and are full.
func (s *search) noteFull() {
	if len(s.request.Excluded) == 0 && s.outcome() == ReasonFull {
		s.pool.looks[s.lookKey(fullPriority)] = &look{until: s.now + s.lookValid()}
	}
}

// lookValid returns for how long a look at all workers counts.
func (s *search) lookValid() time.Duration {
	return time.Duration(s.pool.listed()) * lookValidPerWorker
}

// lookForSpare looks at all engines for the shortest waits.
func (s *search) lookForSpare() *look {
	found := &look{until: s.now + s.lookValid(), least: math.MaxInt64}
	for _, known := range s.pool.all() {
		if known.seenBy == s.number && known.verdict != fit || known.seenBy != s.number && s.judge(known) != fit {
			continue
		}
		endpoint := s.loaded(s.now, s.request.Engine, known)
		found.note(known, scheduling.WaitAt(&endpoint))
	}
	return found
}
