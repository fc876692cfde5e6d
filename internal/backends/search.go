package backends

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/delivery"
)

// Limits of a search.
const (
	// DefaultExhaustiveLimit is the default of Options.ExhaustiveLimit.
	DefaultExhaustiveLimit = 64
	// maxHolders limits the number of holders, for each number of leading parts, that a choice
	// considers as candidates and import sources.
	maxHolders = 8
	// sampleAttempts is the maximum number of workers examined in a tier for each eligible one
	// wanted, before the search moves to the next tier.
	sampleAttempts = 4
)

// sampleSizes is the number of eligible workers that a choice samples at each distance. Distant
// workers are sampled to take over when the near ones are full.
var sampleSizes = [distanceCount]int{SameZone: 8, SameRegion: 6, OtherRegion: 4}

// verdict is the result of examining a worker.
type verdict uint8

const (
	// verdictIneligible: the worker is gone, or the request may not go to its software version, by a delivery
	// or since its stream began at another one.
	verdictIneligible verdict = iota
	// verdictExcluded: the request was already sent to the run. verdictNoConnection: this node has no
	// free connection to the worker.
	verdictExcluded
	verdictNoConnection
	// verdictOutdated: the model version is too old. verdictFull: the worker has reached its
	// maximum number of streams.
	verdictOutdated
	verdictFull
	// verdictNotReady: this node or its peers have reason to avoid the worker for now.
	verdictNotReady
	// verdictClosed: the worker temporarily admits no requests.
	verdictClosed
	verdictNotReadyOutdated
	verdictNotReadyFull
	verdictEligible
	verdictCount
)

// search collects the candidates of one choice. Each worker is examined at most once. The
// registry's mutex must be held.
type search struct {
	*Registry

	now      time.Duration
	request  *Request
	software *delivery.Filter
	pool     *pool
	// exhaustive is set if all workers are examined.
	exhaustive bool
	// id marks the workers that this search has examined.
	id       uint64
	counts   [verdictCount]int
	examined int
	eligible []*workerState
	notReady []*workerState
	samplers [tiers]sampler
	// isReserved reports whether an engine is reserved for prompts of another size.
	isReserved      func(*workerState) bool
	scopes          []*promptScope
	acceptedVerdict verdict
	// reopensIn is the shortest time until a closed worker admits requests again.
	reopensIn time.Duration
}

// newSearch returns a search among the workers that the software choice allows.
func (r *Registry) newSearch(now time.Duration, request *Request, software *delivery.Filter) *search {
	r.searches++
	// Expire stale reports before sampling: expiry moves workers between the lists that are
	// sampled.
	r.peers.totalsAt(now)
	servicePool := r.poolOf(request.Service)
	s := &search{
		Registry: r, now: now, request: request, software: software, pool: servicePool, id: r.searches,
		exhaustive: servicePool.listedCount() <= r.options.ExhaustiveLimit, eligible: r.eligible[:0], notReady: r.notReady[:0], acceptedVerdict: verdictEligible,
	}
	s.isReserved = r.reservedForOtherSize(now, servicePool, request.Engine)
	for tier := range servicePool.tiers {
		s.samplers[tier] = sampler{list: &servicePool.tiers[tier], random: r.options.Random, remaining: servicePool.tiers[tier].count, level: -1}
	}
	return s
}

// gather collects candidates, or returns the reason why there are none. Unless a valid full scan
// has found all workers full, it only returns a reason after examining all workers that may get the
// request.
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

// saveBuffers returns the buffers to the registry for the next search.
func (s *search) saveBuffers() {
	s.Registry.eligible, s.Registry.notReady = s.eligible, s.notReady
}

// candidates returns the accepted workers.
func (s *search) candidates() []*workerState {
	if s.acceptedVerdict == verdictNotReady {
		return s.notReady
	}
	return s.eligible
}

// describe adds to a placement what the search has found.
func (s *search) describe(placement *Placement) {
	placement.Examined = s.examined
	placement.Limited = s.hasLimit(placement.state)
	placement.Avoided = s.acceptedVerdict == verdictNotReady
}

// needsLapsed reports whether no listed worker may get the request, not even once it has capacity
// or is ready.
func (s *search) needsLapsed() bool {
	return s.counts[verdictEligible]+s.counts[verdictNotReady]+s.counts[verdictOutdated]+s.counts[verdictFull]+s.counts[verdictClosed]+
		s.counts[verdictNotReadyOutdated]+s.counts[verdictNotReadyFull] == 0
}

// resolve accepts the eligible workers, or those that are not ready if no other reason takes
// precedence. If there is none, it returns the reason.
func (s *search) resolve() string {
	s.acceptedVerdict = verdictEligible
	switch counts := &s.counts; {
	case counts[verdictEligible] > 0:
		return ""
	case counts[verdictFull] > 0:
		return ReasonFull
	case counts[verdictOutdated] > 0:
		return ReasonVersion
	case counts[verdictNotReady] > 0:
		s.acceptedVerdict = verdictNotReady
		return ""
	case counts[verdictClosed] > 0:
		return ReasonLimited
	case counts[verdictNotReadyFull]+counts[verdictNoConnection] > 0:
		return ReasonFull
	case counts[verdictNotReadyOutdated] > 0:
		return ReasonVersion
	case counts[verdictExcluded] > 0:
		return ReasonExcluded
	default:
		return ReasonNoWorker
	}
}

// examine assesses a worker unless this search has already done so, adds it to the candidates if
// possible, and returns the verdict.
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

// assess returns the verdict on a worker.
func (s *search) assess(state *workerState) verdict {
	switch {
	case state.gone && !state.isLapsed(s.now), !s.software.Allows(state.worker.ID, state.worker.Software),
		!s.request.Origin.Allows(state.worker.Software):
		return verdictIneligible
	case slices.Contains(s.request.Excluded, state.worker.Run()):
		return verdictExcluded
	case s.request.HasConnection != nil && !s.request.HasConnection(&state.worker):
		return verdictNoConnection
	}
	if admission, reopensIn := s.request.admission(&state.worker); admission == AdmissionClosed {
		s.recordClosed(reopensIn)
		return verdictClosed
	}
	if reopensIn, closed := s.isAtInFlightLimit(state); closed {
		s.recordClosed(reopensIn)
		return verdictClosed
	}
	ready := s.isReady(s.now, state) && state.silence.Allows(s.now, s.request.Repeatable)
	switch s.assessEngine(state) {
	case verdictOutdated:
		return readyVerdict(ready, verdictOutdated, verdictNotReadyOutdated)
	case verdictFull:
		return readyVerdict(ready, verdictFull, verdictNotReadyFull)
	default:
		return readyVerdict(ready, verdictEligible, verdictNotReady)
	}
}

// isAtInFlightLimit reports whether another request would exceed the limit on requests in flight at a
// worker, or an engine's memory, and when there may be room again.
func (s *search) isAtInFlightLimit(state *workerState) (time.Duration, bool) {
	if s.request.InFlightLimit == nil {
		return 0, false
	}
	limit, limited := s.request.InFlightLimit(&state.worker)
	if !limited {
		return 0, false
	}
	load := s.totalLoad(s.now, state)
	full := state.inFlight >= limit.Own || load.InFlight >= limit.Total
	if engine := s.request.Engine; engine != nil && load.InFlight > 0 {
		capacity := s.memoryCapacities[state.worker.Service]
		full = full || capacity > 0 && load.MemoryTokens+engine.PromptTokens+engine.OutputTokens > capacity
	}
	return limit.ReopensIn, full
}

// recordClosed records after what time a closed worker admits requests again.
func (s *search) recordClosed(reopensIn time.Duration) {
	if s.reopensIn == 0 || reopensIn < s.reopensIn {
		s.reopensIn = reopensIn
	}
}

// hasLimit reports whether a worker has a request limit.
func (s *search) hasLimit(state *workerState) bool {
	admission, _ := s.request.admission(&state.worker)
	return admission != AdmissionUnlimited
}

// assessEngine returns the verdict on an engine's model version and number of streams.
func (s *search) assessEngine(state *workerState) verdict {
	if s.request.Engine == nil {
		return verdictEligible
	}
	model := s.request.Engine.Model
	version, serves := state.worker.Versions[model]
	if !serves || version < s.required[model] {
		return verdictOutdated
	}
	if s.isFull(state) {
		return verdictFull
	}
	return verdictEligible
}

// isFull reports whether an engine has reached its maximum number of streams. For a request with a
// deadline, less urgent streams don't count: the engine serves the request before them.
func (s *search) isFull(state *workerState) bool {
	limit, engine := maxStreams(state.worker.Slots), s.request.Engine
	inFlight := s.totalInFlight(s.now, state)
	if limit <= 0 || inFlight < limit {
		return false
	}
	if engine.Deadline <= 0 {
		return true
	}
	return inFlight-int(s.lowerPriorityLoad(s.now, state, engine.Priority).InFlight) >= limit
}

func readyVerdict(ready bool, verdict, otherwise verdict) verdict {
	if ready {
		return verdict
	}
	return otherwise
}
