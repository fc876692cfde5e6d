package delivery

import "time"

// What the old side's recent answers are kept by.
const (
	// recentSize and lastingAnswers are how many answers the two baselines weigh: the
	// recent one follows a wave of load within a part of a second of a busy service, the
	// lasting one knows a failure rate of 0.14 to within 0.01. The higher rate counts.
	recentSize   = 256
	longTermSize = 2048
	// priorAnswers and priorBad are mixed in, so that a baseline of few answers isn't
	// taken for a worker that never fails.
	priorAnswers, priorBad = 10, 1
	// minQuantileAnswers is the least number of answers of which a quantile is taken.
	minQuantileAnswers = 12
	// slowQuantile is the quantile of the old side's times from which slowness counts.
	slowQuantile = 0.9
	// slowOffset is how far above that quantile's bucket an answer is slow: 2.8 times.
	slowOffset = 3
	// The answers of a worker on a route are cold until there are coldAnswers and coldTime
	// has passed since the first: those that take 5.7 times as long are slow, and
	// those between that and twice as long say nothing. Engines begin with an
	// empty cache, and nodes report at different times.
	coldAnswers    = 10
	coldDuration   = 1500 * time.Millisecond
	coldSlowOffset = 5
	coldFastOffset = 2
)

// baseline is how the old side of a route answers now.
type baseline struct {
	recent, longTerm window
}

// add takes in answers of the old side.
func (b *baseline) add(delta *Counts) {
	b.recent.add(delta, recentSize)
	b.longTerm.add(delta, longTermSize)
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

// latencyLimits are the buckets that tell fast, slow and other answers apart: those below
// fastBelow are fast, those from slowFrom on slow, those between say nothing.
type latencyLimits struct {
	fastBelow, slowFrom int
}

// limits returns the limits for a worker, cold or not. Without a baseline nothing is slow.
func (b *baseline) limits(cold bool) latencyLimits {
	quantile, known := b.recent.quantileBucket()
	switch {
	case !known:
		return latencyLimits{fastBelow: LatencyBuckets, slowFrom: LatencyBuckets}
	case cold:
		return latencyLimits{fastBelow: quantile + coldFastOffset, slowFrom: quantile + coldSlowOffset}
	default:
		return latencyLimits{fastBelow: quantile + slowOffset, slowFrom: quantile + slowOffset}
	}
}

// quantileBucket returns the bucket that holds slowQuantile of the times.
func (w *window) quantileBucket() (int, bool) {
	succeeded := w.answers - w.failures
	if succeeded < minQuantileAnswers {
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
	return max(b.recent.badRate(slowFrom), b.longTerm.badRate(slowFrom))
}

func (w *window) badRate(slowFrom int) float64 {
	bad := w.failures
	for bucket := slowFrom; bucket < LatencyBuckets; bucket++ {
		bad += w.latency[bucket]
	}
	return (bad + priorBad) / (w.answers + priorAnswers)
}
