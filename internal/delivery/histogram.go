package delivery

import (
	"math"
	"time"
)

// plainLatencyUnit is the upper bound of the first bucket for requests without a prediction.
// The fastest answers of workers other than engines take some milliseconds.
const plainLatencyUnit = 2 * time.Millisecond

// latencyBucket returns the histogram bucket for a response's time to the first byte.
func latencyBucket(o *Outcome) int {
	ratio := float64(o.TimeToFirstByte) / float64(plainLatencyUnit)
	if o.Predicted > 0 {
		ratio = 4 * float64(o.TimeToFirstByte) / float64(o.Predicted)
	}
	if ratio <= 1 {
		return 0
	}
	return min(int(2*math.Log2(ratio)), LatencyBuckets-1)
}

// add counts an outcome. The time of a failed request is ignored.
func (c *Counts) add(o *Outcome) {
	c.Responses++
	if o.Failed {
		c.Failures++
		return
	}
	c.Latency[latencyBucket(o)]++
}

// since returns the difference from previous counts. If a count has decreased, the node has
// restarted, and all counts are new.
func (c *Counts) since(previous *Counts) Counts {
	if previous == nil || c.Responses < previous.Responses || c.Failures < previous.Failures {
		return *c
	}
	delta := Counts{Responses: c.Responses - previous.Responses, Failures: c.Failures - previous.Failures}
	for bucket := range c.Latency {
		if c.Latency[bucket] < previous.Latency[bucket] {
			return *c
		}
		delta.Latency[bucket] = c.Latency[bucket] - previous.Latency[bucket]
	}
	return delta
}

// slow returns the number of responses in the given bucket or a higher one.
func (c *Counts) slow(from int) uint64 {
	var sum uint64
	for bucket := from; bucket < LatencyBuckets; bucket++ {
		sum += uint64(c.Latency[bucket])
	}
	return sum
}
