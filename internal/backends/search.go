package backends

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/delivery"
)

// Sizes of a search.
const (
	// DefaultExhaustiveLimit is the number of a service's workers up to which a choice looks at
	// all of them.
	DefaultExhaustiveLimit = 64
	// maxHolders bounds the holders of each number of a prompt's parts that a choice
	// knows of, as candidates and as sources.
	maxHolders = 8
	// sampleAttempts is how many workers are looked at in a tier for each one wanted there
	// before the next tier's turn.
	sampleAttempts = 4
)

// sampleSizes is how many workers of each distance a choice draws. Near ones are most: what
// crosses a zone or region is dearer, and far ones take over when the near ones are full.
var sampleSizes = [distanceCount]int{SameZone: 8, SameRegion: 6, OtherRegion: 4}

// verdict is what a look at a worker finds.
type verdict uint8

const (
	// verdictWrongSoftware is a worker of another software version than the request may go to.
	verdictWrongSoftware verdict = iota
	// verdictTried is one that has had the request, occupied one without a free connection.
	verdictTried
	verdictNoConnection
	// verdictOutdated is one whose weights are too old, crowded one that has all the streams
	// that it may get.
	verdictOutdated
	verdictFull
	// verdictNotReady is one that something speaks against right now.
	verdictNotReady
	// verdictClosed is one that takes no requests for a time.
	verdictClosed
	verdictNotReadyOutdated
	verdictNotReadyFull
	verdictEligible
	verdictCount
)

// search looks for the candidates of one choice. Each worker is looked at once; the
// registry's mutex is held.
type search struct {
	*Registry

	now      time.Duration
	request  *Request
	software *delivery.Choice
	pool     *pool
	// exhaustive is set if all workers are looked at.
	exhaustive bool
	// id tells the workers that this search has looked at.
	id       uint64
	counts   [verdictCount]int
	examined int
	eligible []*workerState
	notReady []*workerState
	samplers [tiers]sampler
	// isReserved tells which engines are isReserved for prompts of another size.
	isReserved func(*workerState) bool
	scopes     []*promptScope
	accepted   verdict
	// reopensIn is the least time until a worker that is closed takes one again.
	reopensIn time.Duration
}

// newSearch returns a search among the workers of some software versions.
func (r *Registry) newSearch(now time.Duration, request *Request, software *delivery.Choice) *search {
	r.searches++
	// What too old reports told leaves the levels here, not while they are drawn from.
	r.peers.totalsAt(now)
	servicePool := r.poolOf(request.Service)
	s := &search{
		Registry: r, now: now, request: request, software: software, pool: servicePool, id: r.searches,
		exhaustive: servicePool.listedCount() <= r.options.ExhaustiveLimit, eligible: r.eligibleBuffer[:0], notReady: r.notReadyBuffer[:0], accepted: verdictEligible,
	}
	s.isReserved = r.reservedForOtherSize(now, servicePool, request.Engine)
	for tier := range servicePool.tiers {
		s.samplers[tier] = sampler{list: &servicePool.tiers[tier], random: r.options.Random, remaining: servicePool.tiers[tier].count, level: -1}
	}
	return s
}

// gather collects candidates. It returns the reason if there are none, which is only
// said once all workers have been looked at.
func (s *search) gather() (reason string) {
	switch {
	case s.exhaustive:
		s.scanListed()
	case len(s.software.Canaries()) > 0:
		s.examineCanaries()
	default:
		s.examineHolders()
		s.examineSample()
		if len(s.eligible) == 0 && !s.isKnownFull() {
			s.scanUntilEligible()
			s.recordFull()
		}
	}
	if s.needsLapsed() {
		s.scanTier(lapsedTier)
	}
	s.saveBuffers()
	return s.resolve()
}

// saveBuffers hands the buffers on to the next search.
func (s *search) saveBuffers() {
	s.Registry.eligibleBuffer, s.Registry.notReadyBuffer = s.eligible, s.notReady
}

// candidates returns what was found.
func (s *search) candidates() []*workerState {
	if s.accepted == verdictNotReady {
		return s.notReady
	}
	return s.eligible
}

// needsLapsed tells whether nobody listed may get the request.
func (s *search) needsLapsed() bool {
	return s.counts[verdictEligible]+s.counts[verdictNotReady]+s.counts[verdictOutdated]+s.counts[verdictFull]+s.counts[verdictClosed]+
		s.counts[verdictNotReadyOutdated]+s.counts[verdictNotReadyFull] == 0
}

// resolve accepts workers in doubt if there are no others, or returns why there is none.
func (s *search) resolve() string {
	s.accepted = verdictEligible
	switch counts := &s.counts; {
	case counts[verdictEligible] > 0:
		return ""
	case counts[verdictFull] > 0:
		return ReasonFull
	case counts[verdictOutdated] > 0:
		return ReasonVersion
	case counts[verdictNotReady] > 0:
		s.accepted = verdictNotReady
		return ""
	case counts[verdictClosed] > 0:
		return ReasonLimited
	case counts[verdictNotReadyFull]+counts[verdictNoConnection] > 0:
		return ReasonFull
	case counts[verdictNotReadyOutdated] > 0:
		return ReasonVersion
	case counts[verdictTried] > 0:
		return ReasonExcluded
	default:
		return ReasonNoWorker
	}
}

// examine takes a worker in by what speaks against it, unless it has been looked at.
func (s *search) examine(state *workerState) verdict {
	if state.lastSearch == s.id {
		return state.verdict
	}
	state.lastSearch, state.verdict = s.id, s.assess(state)
	s.examined++
	s.counts[state.verdict]++
	switch state.verdict {
	case verdictEligible:
		s.eligible = append(s.eligible, state)
	case verdictNotReady:
		s.notReady = append(s.notReady, state)
	default:
	}
	return state.verdict
}

// assess tells what speaks against a worker.
func (s *search) assess(state *workerState) verdict {
	switch {
	case state.gone && !state.isLapsed(s.now), !s.software.Allows(state.worker.ID, state.worker.Software):
		return verdictWrongSoftware
	case slices.Contains(s.request.Excluded, state.worker.Run()):
		return verdictTried
	case s.request.HasConnection != nil && !s.request.HasConnection(&state.worker):
		return verdictNoConnection
	}
	if admission, reopensIn := s.request.admission(&state.worker); admission == AdmissionClosed {
		s.recordClosed(reopensIn)
		return verdictClosed
	}
	ready := s.isReady(s.now, state)
	switch s.assessEngine(state) {
	case verdictOutdated:
		return readyVerdict(ready, verdictOutdated, verdictNotReadyOutdated)
	case verdictFull:
		return readyVerdict(ready, verdictFull, verdictNotReadyFull)
	default:
		return readyVerdict(ready, verdictEligible, verdictNotReady)
	}
}

// recordClosed notes when a closed worker takes requests again.
func (s *search) recordClosed(reopensIn time.Duration) {
	if s.reopensIn == 0 || reopensIn < s.reopensIn {
		s.reopensIn = reopensIn
	}
}

// hasLimit tells whether a worker names a limit.
func (s *search) hasLimit(state *workerState) bool {
	admission, _ := s.request.admission(&state.worker)
	return admission != AdmissionUnlimited
}

// assessEngine tells what speaks against an engine: its weights or its streams.
func (s *search) assessEngine(state *workerState) verdict {
	if s.request.Engine == nil {
		return verdictEligible
	}
	model := s.request.Engine.Model
	version, serves := state.worker.Versions[model]
	if !serves || version < s.required[model] {
		return verdictOutdated
	}
	if limit := maxStreams(state.worker.Slots); limit > 0 && s.totalInFlight(s.now, state) >= limit {
		return verdictFull
	}
	return verdictEligible
}

func readyVerdict(ready bool, verdict, otherwise verdict) verdict {
	if ready {
		return verdict
	}
	return otherwise
}
