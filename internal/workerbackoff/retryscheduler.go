package workerbackoff

import "time"

const (
	// minRetrySpread and maxRetrySpread bound the time over which refused callers retry.
	minRetrySpread = 500 * time.Millisecond
	maxRetrySpread = 2 * time.Second
	// goldenRatio is the fractional part of the golden ratio. Its multiples modulo 1 form a
	// low-discrepancy sequence.
	goldenRatio = 0.618033988749895
)

// PriorityCount is the number of priorities; 0 is the most urgent.
const PriorityCount = 10

// RetryScheduler assigns retry times to callers that were refused because all workers are closed.
// The times differ, and more urgent callers retry first.
type RetryScheduler struct {
	// phase is in [0, 1).
	phase float64
}

// Next returns the time after which a caller is to retry. opensIn is the time until the first worker
// opens.
func (r *RetryScheduler) Next(opensIn time.Duration, priority int) time.Duration {
	r.phase += goldenRatio
	r.phase -= float64(int(r.phase))
	spread := min(max(opensIn, minRetrySpread), maxRetrySpread)
	level := float64(min(max(priority, 0), PriorityCount-1))
	return opensIn + time.Duration((level+r.phase)/PriorityCount*float64(spread))
}
