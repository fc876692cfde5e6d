package workerbackoff

import "time"

const (
	// leastReturns and mostReturns bound the time over which refused callers come back.
	leastReturns = 500 * time.Millisecond
	mostReturns  = 2 * time.Second
	// goldenRatio puts each point of a sequence far from those before.
	goldenRatio = 0.618033988749895
)

// Priorities is the number of priorities, 0 first.
const Priorities = 10

// ReturnTimes tells callers that were refused since all workers are closed when to come back:
// each at another time, the more urgent first.
type ReturnTimes struct {
	// point is in [0, 1).
	point float64
}

// After returns when a caller is to come back. opensIn is the time until the first worker opens.
func (r *ReturnTimes) After(opensIn time.Duration, priority int) time.Duration {
	r.point += goldenRatio
	r.point -= float64(int(r.point))
	over := min(max(opensIn, leastReturns), mostReturns)
	rank := float64(min(max(priority, 0), Priorities-1))
	return opensIn + time.Duration((rank+r.point)/Priorities*float64(over))
}
