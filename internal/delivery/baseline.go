package delivery

import "time"

// What the old side's recent answers are kept by.
const (
	// recentAnswers and lastingAnswers are how many answers the two baselines weigh: the
	// recent one follows a wave of load within a part of a second of a busy service, the
	// lasting one knows a failure rate of 0.14 to within 0.01. The higher rate counts.
	recentAnswers  = 256
	lastingAnswers = 2048
	// priorAnswers and priorBad are mixed in, so that a baseline of few answers isn't
	// taken for a worker that never fails.
	priorAnswers, priorBad = 10, 1
	// quantileAnswers is the least number of answers of which a quantile is taken.
	quantileAnswers = 12
	// slowQuantile is the quantile of the old side's times from which slowness counts.
	slowQuantile = 0.9
	// slowBuckets is how far above that quantile's bucket an answer is slow: 2.8 times.
	slowBuckets = 3
	// The answers of a worker on a route are cold until there are coldAnswers and coldTime
	// has passed since the first: those that take 5.7 times as long are slow, and
	// those between that and twice as long say nothing. Engines begin with an
	// empty cache, and nodes report at different times.
	coldAnswers     = 10
	coldTime        = 1500 * time.Millisecond
	coldSlowBuckets = 5
	coldFastBuckets = 2
)

// baseline is how the old side of a route answers now.
type baseline struct {
	recent, lasting window
}

// add takes in answers of the old side.
func (b *baseline) add(delta *Counts) {
	b.recent.add(delta, recentAnswers)
	b.lasting.add(delta, lastingAnswers)
}

// window holds the weights of the last answers.
type window struct {
	answers  float64
	failures float64
	latency  [LatencyBuckets]float64
}

// add takes in answers and forgets as much of earlier ones.
func (w *window) add(delta *Counts, size float64) {
	w.answers += float64(delta.Answers)
	w.failures += float64(delta.Failures)
	for bucket, count := range delta.Latency {
		w.latency[bucket] += float64(count)
	}
	if w.answers <= size {
		return
	}
	scale := size / w.answers
	w.answers *= scale
	w.failures *= scale
	for bucket := range w.latency {
		w.latency[bucket] *= scale
	}
}

// limits are the buckets that tell fast, slow and other answers apart: those below
// fastBelow are fast, those from slowFrom on slow, those between say nothing.
type limits struct {
	fastBelow, slowFrom int
}

// limits returns the limits for a worker, cold or not. Without a baseline nothing is slow.
func (b *baseline) limits(cold bool) limits {
	quantile, known := b.recent.quantileBucket()
	switch {
	case !known:
		return limits{fastBelow: LatencyBuckets, slowFrom: LatencyBuckets}
	case cold:
		return limits{fastBelow: quantile + coldFastBuckets, slowFrom: quantile + coldSlowBuckets}
	default:
		return limits{fastBelow: quantile + slowBuckets, slowFrom: quantile + slowBuckets}
	}
}

// quantileBucket returns the bucket that holds slowQuantile of the times.
func (w *window) quantileBucket() (int, bool) {
	succeeded := w.answers - w.failures
	if succeeded < quantileAnswers {
		return 0, false
	}
	sum := 0.0
	for bucket, weight := range w.latency {
		sum += weight
		if sum >= slowQuantile*succeeded {
			return bucket, true
		}
	}
	return LatencyBuckets - 1, true
}

// badRate returns the part of the old side's answers that failed or were slow.
func (b *baseline) badRate(slowFrom int) float64 {
	return max(b.recent.badRate(slowFrom), b.lasting.badRate(slowFrom))
}

func (w *window) badRate(slowFrom int) float64 {
	bad := w.failures
	for bucket := slowFrom; bucket < LatencyBuckets; bucket++ {
		bad += w.latency[bucket]
	}
	return (bad + priorBad) / (w.answers + priorAnswers)
}
