package delivery

import (
	"math"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// What condemns a version.
const (
	// rejectScore is the log-likelihood ratio from which a version is bad: a run of
	// answers of a good version reaches it with a chance of at most e^-9.
	rejectScore = 9.0
	// maxWorkerFraction is the part of condemnScore that one worker may bring: two workers
	// at least must be bad, a single grey or crashed one is no fault of the version.
	maxWorkerFraction = 0.55
	// suspectFraction is the part of what a worker may bring from which it is suspected.
	suspectFraction = 0.9
	// surgeFactor is by how much the normal rate of bad answers rises for a moment when
	// requests surge.
	surgeFactor = 2
)

// hypothesis is a kind of bad version that the test is for.
type hypothesis struct {
	// effect is the part of the otherwise good answers that it spoils.
	effect float64
	// minNormal is the lowest rate of bad answers that is taken for minNormal: single failures
	// would weigh too much below it.
	minNormal float64
	// usesWarmLimits is set if answers of warm workers are slow from slowBuckets on. Else only
	// those that are slow for a cold one count: a few engines are cold to a rare prompt
	// at any time.
	usesWarmLimits bool
}

// hypotheses are tested side by side: the first is found within some bad answers, the
// others within some dozen. A version that fails only under load looks like these to
// its canaries.
var hypotheses = [...]hypothesis{
	{effect: 0.2, minNormal: 0.02, usesWarmLimits: true},
	{effect: 0.04, minNormal: 0.005},
	{effect: 0.015, minNormal: 0.003},
}

// score is a cumulative sum (CUSUM) of log-likelihood ratios, in which each worker's
// part is limited.
type score struct {
	value   float64
	workers map[fleet.EngineID]float64
}

// add counts a worker's ratio, of which the worker may hold at most limit.
func (s *score) add(worker fleet.EngineID, ratio, limit float64) {
	held := s.workers[worker]
	ratio = min(ratio, limit-held)
	s.workers[worker] = max(0, held+ratio)
	s.value = max(0, s.value+ratio)
}

// scores holds one score for each hypothesis.
type scores [len(hypotheses)]score

func newScores() scores {
	made := scores{}
	for index := range made {
		made[index].workers = map[fleet.EngineID]float64{}
	}
	return made
}

// strongest returns the score of the likeliest hypothesis.
func (s *scores) strongest() *score {
	strongest := &s[0]
	for index := range s {
		if s[index].value > strongest.value {
			strongest = &s[index]
		}
	}
	return strongest
}

// workerAnswers is what a workerAnswers of the target has answered on a route.
type workerAnswers struct {
	answers uint64
	firstAt time.Duration
}

// routeState is what is known of the target on one route.
type routeState struct {
	baseline baseline
	scores   scores
	workers  map[fleet.EngineID]workerAnswers
	// The counts are for the log.
	oldAnswers, oldBad uint64
	newAnswers, newBad uint64
}

// judge compares the target with the old side by route. It counts each route by itself,
// for a fault on a single one, and all of them together, for a fault on each that no
// route shows often enough.
type judge struct {
	routes map[RouteName]*routeState
	all    scores
}

func newJudge() *judge {
	return &judge{routes: map[RouteName]*routeState{}, all: newScores()}
}

// route returns a route's judgment, which it creates.
func (j *judge) route(name RouteName) *routeState {
	known := j.routes[name]
	if known == nil {
		known = &routeState{scores: newScores(), workers: map[fleet.EngineID]workerAnswers{}}
		j.routes[name] = known
	}
	return known
}

// observeOld counts answers of the old side.
func (j *judge) observeOld(name RouteName, delta *Counts) {
	route := j.route(name)
	route.baseline.add(delta)
	route.oldAnswers += delta.Answers
	route.oldBad += delta.Failures + delta.slow(route.baseline.limits(false).slowFrom)
}

// conditions is what the target's answers are judged in.
type conditions struct {
	now time.Duration
	// singleCanary is set if only one worker of the target gets requests: its faults are the
	// version's.
	singleCanary bool
	// surging is set while everything has just been sent to the target: failures are
	// answered sooner than successes, so that more of the first answers are bad.
	surging bool
}

// observeNew counts answers of one of the target's workers.
func (j *judge) observeNew(in conditions, name RouteName, id fleet.EngineID, delta *Counts) {
	route := j.route(name)
	cold := route.recordWorker(in.now, id, delta.Answers)
	limits := route.baseline.limits(cold)
	verySlow := route.baseline.limits(true).slowFrom
	route.newAnswers += delta.Answers
	route.newBad += delta.Failures + delta.slow(limits.slowFrom)
	good := delta.Answers - delta.Failures - delta.slow(limits.fastBelow)
	limit := rejectScore
	if !in.singleCanary {
		limit *= maxWorkerFraction
	}
	for index, hypothesis := range hypotheses {
		slowFrom := verySlow
		switch {
		case hypothesis.usesWarmLimits:
			slowFrom = limits.slowFrom
		case cold:
			slowFrom = LatencyBuckets
		}
		normal := route.baseline.badRate(slowFrom)
		if in.surging {
			normal *= surgeFactor
		}
		ratio := hypothesis.ratio(normal, delta.Failures+delta.slow(slowFrom), good)
		route.scores[index].add(id, ratio, limit)
		j.all[index].add(id, ratio, limit)
	}
}

// recordWorker counts a worker's answers and tells whether it still is cold.
func (r *routeState) recordWorker(now time.Duration, id fleet.EngineID, answers uint64) bool {
	known, met := r.workers[id]
	if !met {
		known.firstAt = now
	}
	cold := known.answers < coldAnswers || now-known.firstAt < coldDuration
	known.answers += answers
	r.workers[id] = known
	return cold
}

// ratio returns the logarithm of how much likelier answers are for such a version than
// for one that is as the old side.
func (h hypothesis) ratio(normal float64, bad, good uint64) float64 {
	normal = min(0.99, max(h.minNormal, normal))
	spoiled := normal + h.effect*(1-normal)
	return float64(bad)*math.Log(spoiled/normal) + float64(good)*math.Log((1-spoiled)/(1-normal))
}

// strongest returns the highest score and the route that it is of, "" for all together.
func (j *judge) strongest() (*score, RouteName) {
	strongest, name := j.all.strongest(), RouteName("")
	for candidate, route := range j.routes {
		found := route.scores.strongest()
		if found.value > strongest.value || found.value == strongest.value && name != "" && candidate < name {
			strongest, name = found, candidate
		}
	}
	return strongest, name
}

// rejectsTarget tells whether the target is bad.
func (j *judge) rejectsTarget() bool {
	strongest, _ := j.strongest()
	return strongest.value >= rejectScore
}

// worstWorker returns the worker that has brought most to a score, "" if none has.
func (s *score) worstWorker() fleet.EngineID {
	var worst fleet.EngineID
	for id, value := range s.workers {
		if value > s.workers[worst] || value == s.workers[worst] && value > 0 && id < worst {
			worst = id
		}
	}
	return worst
}

// suspects adds the workers whose part of a score is nearly as large as it may be: more
// answers of theirs tell nothing more.
func (s *scores) suspects(found map[fleet.EngineID]bool) {
	for index := range s {
		for id, value := range s[index].workers {
			if value >= suspectFraction*maxWorkerFraction*rejectScore {
				found[id] = true
			}
		}
	}
}

// suspects returns the workers of the target that may be grey.
func (j *judge) suspects() map[fleet.EngineID]bool {
	found := map[fleet.EngineID]bool{}
	j.all.suspects(found)
	for _, route := range j.routes {
		route.scores.suspects(found)
	}
	return found
}
