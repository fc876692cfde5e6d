package workerlimit

import "time"

// maxRetryAfter bounds the time after which a refused caller is told to come back.
const maxRetryAfter = 10 * time.Second

// RetryScheduler spreads the times at which one node has refused callers come back: as many as there
// is room for then.
type RetryScheduler struct {
	// expected counts the callers that are still to come back, as of at.
	expected  float64
	updatedAt time.Duration
}

// Next returns when a caller is to come back. opensIn is the time until there is room for
// the next request, rate what this node may send after that.
func (r *RetryScheduler) Next(now, opensIn time.Duration, rate Rate) time.Duration {
	rate = max(rate, minRate)
	r.expected = max(r.expected-(now-r.updatedAt).Seconds()*float64(rate), 0)
	r.updatedAt = now
	wait := opensIn + time.Duration(r.expected/float64(rate)*float64(time.Second))
	r.expected++
	return min(wait, maxRetryAfter)
}
