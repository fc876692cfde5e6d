package delivery

import (
	"math"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Thresholds of the sequential test.
const (
	// rejectScore is the log-likelihood ratio at which a version is rejected. A run of responses of
	// a good version reaches it with a probability of at most e^-9.
	rejectScore = 9.0
	// maxWorkerFraction is the fraction of rejectScore that one worker can contribute. At least two
	// workers must be bad: a single partially failing or crashed worker isn't a fault of the
	// version.
	maxWorkerFraction = 0.55
	// suspectFraction is the fraction of its maximum contribution from which a worker is suspected.
	suspectFraction = 0.9
	// surgeFactor multiplies the normal rate of bad responses during a surge.
	surgeFactor = 2
)

// hypothesis is a kind of bad version that the test detects.
type hypothesis struct {
	// effect is the fraction of otherwise good responses that the version makes bad.
	effect float64
	// minNormal is the lower limit of the normal rate of bad responses. Below it, single failures
	// would weigh too much.
	minNormal float64
	// usesWarmLimits applies the limits of warm workers to their responses. Otherwise only
	// responses that are slow for a cold worker count as slow, since a few engines are always cold
	// for a rare prompt.
	usesWarmLimits bool
}

// hypotheses are tested in parallel, from large effects, which few bad responses show, to small
// ones. A version that fails only under load has a small effect on its canaries.
var hypotheses = [...]hypothesis{
	{effect: 0.2, minNormal: 0.02, usesWarmLimits: true},
	{effect: 0.04, minNormal: 0.005},
	{effect: 0.015, minNormal: 0.003},
}

// score is a cumulative sum (CUSUM) of log-likelihood ratios with a limited contribution of each
// worker.
type score struct {
	value   float64
	workers map[fleet.EngineID]float64
}

// add adds a worker's log-likelihood ratio, up to a total contribution of limit.
func (s *score) add(worker fleet.EngineID, ratio, limit float64) {
	contribution := s.workers[worker]
	ratio = min(ratio, limit-contribution)
	s.workers[worker] = max(0, contribution+ratio)
	s.value = max(0, s.value+ratio)
}

// scores holds one score for each hypothesis.
type scores [len(hypotheses)]score

func newScores() scores {
	created := scores{}
	for index := range created {
		created[index].workers = map[fleet.EngineID]float64{}
	}
	return created
}

// strongest returns the highest score.
func (s *scores) strongest() *score {
	strongest := &s[0]
	for index := range s {
		if s[index].value > strongest.value {
			strongest = &s[index]
		}
	}
	return strongest
}

// workerResponses counts the responses of a worker of the target on a route.
type workerResponses struct {
	responses uint64
	firstAt   time.Duration
}

// routeState is the evidence about one route.
type routeState struct {
	baseline baseline
	scores   scores
	workers  map[fleet.EngineID]workerResponses
	// The counts are only logged.
	oldResponses, oldBad uint64
	newResponses, newBad uint64
}

// judge compares the target with the old workers. Each route has its own scores, which detect a
// fault of a single route. The scores over all routes detect a fault that no single route shows
// often enough.
type judge struct {
	routes map[RouteName]*routeState
	all    scores
}

func newJudge() *judge {
	return &judge{routes: map[RouteName]*routeState{}, all: newScores()}
}

// route returns the state of a route and creates it if needed.
func (j *judge) route(name RouteName) *routeState {
	state := j.routes[name]
	if state == nil {
		state = &routeState{scores: newScores(), workers: map[fleet.EngineID]workerResponses{}}
		j.routes[name] = state
	}
	return state
}

// observeOld counts responses of old workers.
func (j *judge) observeOld(name RouteName, delta *Counts) {
	route := j.route(name)
	route.baseline.add(delta)
	route.oldResponses += delta.Responses
	route.oldBad += delta.Failures + delta.slow(route.baseline.limits(false).slowFrom)
}

// conditions are the circumstances under which the target's responses are judged.
type conditions struct {
	now time.Duration
	// singleCanary is set if only one worker of the target gets requests. Its contribution isn't
	// limited.
	singleCanary bool
	// surging is set after all requests have moved to the target. Failures are faster than
	// successes, so that more of the first responses are bad.
	surging bool
}

// observeNew counts responses of a worker of the target and updates the scores.
func (j *judge) observeNew(current conditions, name RouteName, id fleet.EngineID, delta *Counts) {
	route := j.route(name)
	cold := route.recordWorker(current.now, id, delta.Responses)
	limits := route.baseline.limits(cold)
	verySlow := route.baseline.limits(true).slowFrom
	route.newResponses += delta.Responses
	route.newBad += delta.Failures + delta.slow(limits.slowFrom)
	good := delta.Responses - delta.Failures - delta.slow(limits.fastBelow)
	limit := rejectScore
	if !current.singleCanary {
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
		if current.surging {
			normal *= surgeFactor
		}
		ratio := hypothesis.ratio(normal, delta.Failures+delta.slow(slowFrom), good)
		route.scores[index].add(id, ratio, limit)
		j.all[index].add(id, ratio, limit)
	}
}

// recordWorker counts a worker's responses and reports whether the worker was still cold.
func (r *routeState) recordWorker(now time.Duration, id fleet.EngineID, responses uint64) bool {
	worker, found := r.workers[id]
	if !found {
		worker.firstAt = now
	}
	cold := worker.responses < coldResponses || now-worker.firstAt < coldDuration
	worker.responses += responses
	r.workers[id] = worker
	return cold
}

// ratio returns the log-likelihood ratio of the responses between a version with the hypothesis's
// effect and one that behaves like the old workers.
func (h hypothesis) ratio(normal float64, bad, good uint64) float64 {
	normal = min(0.99, max(h.minNormal, normal))
	affected := normal + h.effect*(1-normal)
	return float64(bad)*math.Log(affected/normal) + float64(good)*math.Log((1-affected)/(1-normal))
}

// strongest returns the highest score and its route, "" for the scores over all routes.
func (j *judge) strongest() (*score, RouteName) {
	strongest, name := j.all.strongest(), RouteName("")
	for candidate, route := range j.routes {
		routeScore := route.scores.strongest()
		if routeScore.value > strongest.value || routeScore.value == strongest.value && name != "" && candidate < name {
			strongest, name = routeScore, candidate
		}
	}
	return strongest, name
}

// rejectsTarget reports whether the evidence suffices to reject the target.
func (j *judge) rejectsTarget() bool {
	strongest, _ := j.strongest()
	return strongest.value >= rejectScore
}

// worstWorker returns the worker with the largest contribution to the score, "" if there is none.
func (s *score) worstWorker() fleet.EngineID {
	var worst fleet.EngineID
	for id, value := range s.workers {
		if value > s.workers[worst] || value == s.workers[worst] && value > 0 && id < worst {
			worst = id
		}
	}
	return worst
}

// suspects adds the workers that have nearly reached their maximum contribution to a score, so that
// more of their responses add no evidence.
func (s *scores) suspects(suspects map[fleet.EngineID]bool) {
	for index := range s {
		for id, value := range s[index].workers {
			if value >= suspectFraction*maxWorkerFraction*rejectScore {
				suspects[id] = true
			}
		}
	}
}

// suspects returns the workers of the target that may be failing on their own.
func (j *judge) suspects() map[fleet.EngineID]bool {
	suspects := map[fleet.EngineID]bool{}
	j.all.suspects(suspects)
	for _, route := range j.routes {
		route.scores.suspects(suspects)
	}
	return suspects
}
