package delivery

import "time"

// Parameters of the baseline.
const (
	// recentSize and longTermSize are the numbers of responses in the two windows. The recent
	// window follows load peaks, the long-term window estimates the failure rate precisely. The
	// higher rate of the two counts.
	recentSize   = 256
	longTermSize = 2048
	// priorResponses and priorBad are added to the counts, so that few responses don't yield a rate
	// of zero.
	priorResponses, priorBad = 10, 1
	// minQuantileResponses is the least number of responses from which a quantile is computed.
	minQuantileResponses = 12
	// slowQuantile is the quantile of the old workers' times against which slowness is measured.
	slowQuantile = 0.9
	// slowOffset is how many buckets above that quantile a response is slow, a factor of 2.8.
	slowOffset = 3
	// A worker is cold on a route until it has sent coldResponses responses and coldDuration has
	// passed since the first ones were counted, because engines start with an empty cache. Its
	// responses are slow from a factor of 5.7 on, and are ignored between a factor of 2 and that.
	coldResponses  = 10
	coldDuration   = 1500 * time.Millisecond
	coldSlowOffset = 5
	coldFastOffset = 2
)

// baseline describes the current responses of the old workers on a route.
type baseline struct {
	recent, longTerm window
}

// add adds responses of old workers.
func (b *baseline) add(delta *Counts) {
	b.recent.add(delta, recentSize)
	b.longTerm.add(delta, longTermSize)
}

// window holds weighted counts of the last responses.
type window struct {
	responses float64
	failures  float64
	latency   [LatencyBuckets]float64
}

// add adds responses and scales the counts down to the window's size.
func (w *window) add(delta *Counts, size float64) {
	w.responses += float64(delta.Responses)
	w.failures += float64(delta.Failures)
	for bucket, count := range delta.Latency {
		w.latency[bucket] += float64(count)
	}
	if w.responses <= size {
		return
	}
	scale := size / w.responses
	w.responses *= scale
	w.failures *= scale
	for bucket := range w.latency {
		w.latency[bucket] *= scale
	}
}

// latencyLimits classify responses by bucket: those below fastBelow are fast, those from slowFrom
// on are slow, and those between are ignored.
type latencyLimits struct {
	fastBelow, slowFrom int
}

// limits returns the limits for a worker, cold or not. Without a baseline no response is slow.
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

// quantileBucket returns the bucket of slowQuantile, and false if there are too few responses.
func (w *window) quantileBucket() (int, bool) {
	succeeded := w.responses - w.failures
	if succeeded < minQuantileResponses {
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

// badRate returns the fraction of the old workers' responses that failed or were slow.
func (b *baseline) badRate(slowFrom int) float64 {
	return max(b.recent.badRate(slowFrom), b.longTerm.badRate(slowFrom))
}

func (w *window) badRate(slowFrom int) float64 {
	bad := w.failures
	for bucket := slowFrom; bucket < LatencyBuckets; bucket++ {
		bad += w.latency[bucket]
	}
	return (bad + priorBad) / (w.responses + priorResponses)
}
