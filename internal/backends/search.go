package backends

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/delivery"
)

// Sizes of a search.
const (
	// DefaultWholeUpTo is the number of a service's workers up to which a choice looks at
	// all of them.
	DefaultWholeUpTo = 64
	// mostHolders bounds the holders of each number of a prompt's parts that a choice
	// knows of, as candidates and as sources.
	mostHolders = 8
	// drawnTries is how many workers are looked at in a tier for each one wanted there
	// before the next tier's turn.
	drawnTries = 4
)

// drawn is how many workers of each distance a choice draws. Near ones are most: what
// crosses a zone or region is dearer, and far ones take over when the near ones are full.
var drawn = [distances]int{SameZone: 8, SameRegion: 6, OtherRegion: 4}

// verdict is what a look at a worker finds.
type verdict uint8

const (
	// unfit is a worker of another software version than the request may go to.
	unfit verdict = iota
	// tried is one that has had the request, occupied one without a free connection.
	tried
	occupied
	// outdated is one whose weights are too old, crowded one that has all the streams
	// that it may get.
	outdated
	crowded
	// doubtful is one that something speaks against right now.
	doubtful
	// closed is one that takes no requests for a time.
	closed
	doubtfulOutdated
	doubtfulCrowded
	fit
	verdicts
)

// search looks for the candidates of one choice. Each worker is looked at once; the
// registry's mutex is held.
type search struct {
	*Registry

	now      time.Duration
	request  *Request
	versions *delivery.Filter
	pool     *pool
	// whole is set if all workers are looked at.
	whole bool
	// number tells the workers that this search has looked at.
	number uint64
	counts [verdicts]int
	looked int
	fits   []*state
	doubts []*state
	draws  [tiers]draw
	// kept tells which engines are kept for prompts of another size.
	kept     func(*state) bool
	scopes   []*scoped
	accepted verdict
	// opensIn is the least time until a worker that is closed takes one again.
	opensIn time.Duration
}

// newSearch returns a search among the workers of some software versions.
func (r *Registry) newSearch(now time.Duration, request *Request, versions *delivery.Filter) *search {
	r.searches++
	// What too old reports told leaves the levels here, not while they are drawn from.
	r.peers.told(now)
	known := r.poolOf(request.Service)
	s := &search{
		Registry: r, now: now, request: request, versions: versions, pool: known, number: r.searches,
		whole: known.listed() <= r.options.WholeUpTo, fits: r.fits[:0], doubts: r.doubts[:0], accepted: fit,
	}
	s.kept = r.keptForOthers(now, known, request.Engine)
	for tier := range known.tiers {
		s.draws[tier] = draw{list: &known.tiers[tier], random: r.options.Random, unseen: known.tiers[tier].count, level: -1}
	}
	return s
}

// gather collects candidates. It returns the reason if there are none, which is only
// said once all workers have been looked at.
func (s *search) gather() (reason string) {
	switch {
	case s.whole:
		s.lookAtRest()
	case len(s.versions.Canaries()) > 0:
		s.lookAtCanaries()
	default:
		s.lookAtHolders()
		s.lookAtDrawn()
		if len(s.fits) == 0 && !s.knownFull() {
			s.lookUntilFit()
			s.noteFull()
		}
	}
	if s.looksLapsed() {
		s.lookAll(lapsedTier)
	}
	s.keepBuffers()
	return s.outcome()
}

// keepBuffers hands the buffers on to the next search.
func (s *search) keepBuffers() {
	s.Registry.fits, s.Registry.doubts = s.fits, s.doubts
}

// candidates returns what was found.
func (s *search) candidates() []*state {
	if s.accepted == doubtful {
		return s.doubts
	}
	return s.fits
}

// looksLapsed tells whether nobody listed may get the request.
func (s *search) looksLapsed() bool {
	return s.counts[fit]+s.counts[doubtful]+s.counts[outdated]+s.counts[crowded]+s.counts[closed]+
		s.counts[doubtfulOutdated]+s.counts[doubtfulCrowded] == 0
}

// outcome accepts workers in doubt if there are no others, or returns why there is none.
func (s *search) outcome() string {
	s.accepted = fit
	switch counts := &s.counts; {
	case counts[fit] > 0:
		return ""
	case counts[crowded] > 0:
		return ReasonFull
	case counts[outdated] > 0:
		return ReasonVersion
	case counts[doubtful] > 0:
		s.accepted = doubtful
		return ""
	case counts[closed] > 0:
		return ReasonLimited
	case counts[doubtfulCrowded]+counts[occupied] > 0:
		return ReasonFull
	case counts[doubtfulOutdated] > 0:
		return ReasonVersion
	case counts[tried] > 0:
		return ReasonExcluded
	default:
		return ReasonNoWorker
	}
}

// look takes a worker in by what speaks against it, unless it has been looked at.
func (s *search) look(known *state) verdict {
	if known.seenBy == s.number {
		return known.verdict
	}
	known.seenBy, known.verdict = s.number, s.judge(known)
	s.looked++
	s.counts[known.verdict]++
	switch known.verdict {
	case fit:
		s.fits = append(s.fits, known)
	case doubtful:
		s.doubts = append(s.doubts, known)
	default:
	}
	return known.verdict
}

// judge tells what speaks against a worker.
func (s *search) judge(known *state) verdict {
	switch {
	case known.gone && !known.lapsed(s.now), !s.versions.Allows(known.worker.ID, known.worker.Software):
		return unfit
	case slices.Contains(s.request.Excluded, known.worker.Run()):
		return tried
	case s.request.Free != nil && !s.request.Free(&known.worker):
		return occupied
	}
	if intake, opensIn := s.request.intake(&known.worker); intake == IntakeClosed {
		s.noteClosed(opensIn)
		return closed
	}
	settled := s.settled(s.now, known)
	switch s.judgeEngine(known) {
	case outdated:
		return settledElse(settled, outdated, doubtfulOutdated)
	case crowded:
		return settledElse(settled, crowded, doubtfulCrowded)
	default:
		return settledElse(settled, fit, doubtful)
	}
}

// noteClosed notes when a closed worker takes requests again.
func (s *search) noteClosed(opensIn time.Duration) {
	if s.opensIn == 0 || opensIn < s.opensIn {
		s.opensIn = opensIn
	}
}

// limited tells whether a worker names a limit.
func (s *search) limited(known *state) bool {
	intake, _ := s.request.intake(&known.worker)
	return intake != IntakeFree
}

// judgeEngine tells what speaks against an engine: its weights or its streams.
func (s *search) judgeEngine(known *state) verdict {
	if s.request.Engine == nil {
		return fit
	}
	model := s.request.Engine.Model
	version, serves := known.worker.Versions[model]
	if !serves || version < s.required[model] {
		return outdated
	}
	if most := maxStreams(known.worker.Slots); most > 0 && s.inFlight(s.now, known) >= most {
		return crowded
	}
	return fit
}

func settledElse(settled bool, verdict, otherwise verdict) verdict {
	if settled {
		return verdict
	}
	return otherwise
}
