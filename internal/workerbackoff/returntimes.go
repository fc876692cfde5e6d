package workerbackoff

import "time"

const (
	// minRetrySpread and mostReturns bound the time over which refused callers come back.
	minRetrySpread = 500 * time.Millisecond
	maxRetrySpread = 2 * time.Second
	// goldenRatio puts each point of a sequence far from those before.
	goldenRatio = 0.618033988749895
)

// PriorityLevels is the number of priorities, 0 first.
const PriorityLevels = 10

// RetryScheduler tells callers that were refused since all workers are closed when to come back:
// each at another time, the more urgent first.
type RetryScheduler struct {
	// phase is in [0, 1).
	phase float64
}

// Next returns when a caller is to come back. opensIn is the time until the first worker opens.
func (r *RetryScheduler) Next(opensIn time.Duration, priority int) time.Duration {
	r.phase += goldenRatio
	r.phase -= float64(int(r.phase))
	over := min(max(opensIn, minRetrySpread), maxRetrySpread)
	rank := float64(min(max(priority, 0), PriorityLevels-1))
	return opensIn + time.Duration((rank+r.phase)/PriorityLevels*float64(over))
}
