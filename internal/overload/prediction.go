package overload

import "time"

const (
	// errorWeight is the weight of one measured first token in the prediction error, which is the mean of
	// some ten then.
	errorWeight = 0.1
	// maxError bounds the ratio of a sample, so that a single one doesn't close the service. errorHalfLife
	// is the time in which the error halves without samples, since a limit that is too short lets no
	// request through to be measured.
	maxError      = 8
	errorHalfLife = 4 * time.Second
	// minPredicted is the shortest prediction that samples are compared with. Below it, the error is
	// that of single batch steps and says nothing about the queue.
	minPredicted = 100 * time.Millisecond
)

// predictionErrors tracks by priority the mean ratio of the measured to the predicted time to the
// first token, less 1. Predictions do not include the more urgent requests that arrive later.
type predictionErrors [PriorityCount]struct {
	excess    float64
	updatedAt time.Duration
}

// factor returns the factor by which predicted waits of a priority are too short, at least 1.
func (p *predictionErrors) factor(now time.Duration, priority int) float64 {
	entry := &p[priority]
	return 1 + entry.excess*halvings(now-entry.updatedAt, errorHalfLife)
}

// record adds a measured time to the first token.
func (p *predictionErrors) record(now time.Duration, priority int, predicted, measured time.Duration) {
	ratio := min(max(float64(measured)/float64(max(predicted, minPredicted)), 1), maxError)
	excess := p.factor(now, priority) - 1
	p[priority].excess = excess + (ratio-1-excess)*errorWeight
	p[priority].updatedAt = now
}
