package workerlimit

import "time"

// mostReturn bounds the time after which a refused caller is told to come back.
const mostReturn = 10 * time.Second

// RetryTimes spreads the times at which one node has refused callers come back: as many as there
// is room for then.
type RetryTimes struct {
	// expected counts the callers that are still to come back, as of at.
	expected float64
	at       time.Duration
}

// After returns when a caller is to come back. opensIn is the time until there is room for
// the next request, rate what this node may send after that.
func (r *RetryTimes) After(now, opensIn time.Duration, rate Rate) time.Duration {
	rate = max(rate, leastRate)
	r.expected = max(r.expected-(now-r.at).Seconds()*float64(rate), 0)
	r.at = now
	wait := opensIn + time.Duration(r.expected/float64(rate)*float64(time.Second))
	r.expected++
	return min(wait, mostReturn)
}
