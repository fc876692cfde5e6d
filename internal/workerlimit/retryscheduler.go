package workerlimit

import "time"

// maxRetryAfter bounds the time after which a refused caller is to retry.
const maxRetryAfter = 10 * time.Second

// RetryScheduler spreads the retries of the callers that one node has refused at the rate at which
// it can serve them.
type RetryScheduler struct {
	// expected is the number of callers that are still to retry, as of updatedAt.
	expected  float64
	updatedAt time.Duration
}

// Next returns the time after which a caller is to retry, at most maxRetryAfter. opensIn is the time
// until there is room for the next request, rate what this node may send after that.
func (r *RetryScheduler) Next(now, opensIn time.Duration, rate Rate) time.Duration {
	rate = max(rate, minRate)
	r.expected = max(r.expected-(now-r.updatedAt).Seconds()*float64(rate), 0)
	r.updatedAt = now
	wait := opensIn + time.Duration(r.expected/float64(rate)*float64(time.Second))
	r.expected++
	return min(wait, maxRetryAfter)
}
