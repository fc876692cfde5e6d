package retrybudget

import (
	"math"
	"math/rand/v2"
	"time"
)

// Fractions of the limits. The retries in a window are paid from what the window itself earned and
// from what was carried into it, whichever processes lived then. So each fraction of what is earned
// and the corresponding one of what is carried add up to less than one.
const (
	// earnedRatio is the part of the ratio that each request earns, and carriedRatio the part for the
	// requests of the last window that may be carried.
	earnedRatio  = 0.65
	carriedRatio = 0.33
	// earnedSlack is the part of a gateway's slack that it earns evenly over a window, and
	// carriedSlack the part that may be carried.
	earnedSlack  = 0.25
	carriedSlack = 0.75
)

// Limits bound the retries of all gateways together.
type Limits struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the number of retries allowed per request in the window.
	Ratio float64
	// Slack is the number of retries allowed in addition, in any window.
	Slack float64
}

// Decision is the answer of a budget that is asked for a retry.
type Decision struct {
	Granted bool
	// Available is the number of retries left, and Capacity the number that may be saved.
	Available float64
	Capacity  float64
	// Requests is the number of requests in the gateway's window, and Share its part of the slack.
	Requests int
	Share    float64
}

// Budget is one gateway's budget for the retries at one service. A new one is empty, so that nothing
// is granted twice when a process is replaced, unless it is filled.
type Budget struct {
	limits    Limits
	random    *rand.Rand
	requests  requestWindow
	available float64
	// updatedAt is the time of the last update, and share the part of the slack then.
	updatedAt time.Duration
	share     float64
}

// New returns an empty budget. random decides on retries where less than one can be saved.
func New(limits Limits, random *rand.Rand) *Budget {
	return &Budget{limits: limits, random: random, requests: requestWindow{length: limits.Window}}
}

// Fill saves as much as may be saved. It is for the only gateway of a fleet: its share of the slack is so
// small that several processes in a row may each have it. share is the gateway's part of the slack.
func (b *Budget) Fill(now time.Duration, share float64) {
	b.available = math.Inf(1)
	b.update(now, share)
}

// SetSlack replaces the slack of the limits.
func (b *Budget) SetSlack(slack float64) { b.limits.Slack = slack }

// RecordRequest counts a request for the service. share is the gateway's part of the slack.
func (b *Budget) RecordRequest(now time.Duration, share float64) {
	b.requests.add(now)
	b.available += earnedRatio * b.limits.Ratio
	b.update(now, share)
}

// TakeRetry asks for a retry. share is the gateway's part of the slack.
func (b *Budget) TakeRetry(now time.Duration, share float64) Decision {
	capacity := b.update(now, share)
	granted := b.take(capacity)
	return Decision{
		Granted: granted, Available: b.available, Capacity: capacity, Requests: b.requests.count(now), Share: share,
	}
}

// take takes a retry if there is one. Where less than one can be saved, what is there is the chance of
// one, and is used up.
func (b *Budget) take(capacity float64) bool {
	switch {
	case b.available >= 1:
		b.available--
		return true
	case capacity >= 1:
		return false
	default:
		granted := b.random.Float64() < b.available
		b.available = 0
		return granted
	}
}

// update adds what the slack has earned since the last update and returns the capacity, to which it
// limits what is available.
func (b *Budget) update(now time.Duration, share float64) float64 {
	elapsed := max(now-b.updatedAt, 0).Seconds()
	b.available += earnedSlack * b.limits.Slack * min(share, b.share) * elapsed / b.limits.Window.Seconds()
	b.updatedAt, b.share = max(now, b.updatedAt), share
	capacity := carriedRatio*b.limits.Ratio*float64(b.requests.count(now)) + carriedSlack*b.limits.Slack*share
	b.available = min(b.available, capacity)
	return capacity
}
