package retrybudget

import "time"

// A window is counted in windowSlots slots. The ring has one more, so that it always covers the
// whole window.
const (
	windowSlots = 20
	ringSlots   = windowSlots + 1
)

const (
	// ratioFraction is the part of the allowed retry ratio that a gateway spends.
	ratioFraction = 0.95
	// initialSlackFraction is the part of its slack that a gateway has at its start. All gateways
	// may restart within one window, after they have spent their slack.
	initialSlackFraction = 0.5
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
	// Requests and Spent are the requests and the retries in the gateway's window, with this one.
	Requests int
	Spent    int
	// Allowed is the number of retries that the gateway may send in the window, and Share its part
	// of the slack.
	Allowed float64
	Share   float64
}

// Budget is one gateway's budget for the retries at one service.
type Budget struct {
	limits   Limits
	requests [ringSlots]int
	retries  [ringSlots]int
	// newestSlot is the number of the current slot, counted from the clock's zero.
	newestSlot  int64
	startTime   time.Duration
	initialized bool
}

// New returns a budget without recorded requests or retries.
func New(limits Limits) *Budget {
	return &Budget{limits: limits}
}

// SetSlack replaces the slack of the limits.
func (b *Budget) SetSlack(slack float64) { b.limits.Slack = slack }

// RecordRequest counts a request for the service.
func (b *Budget) RecordRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.newestSlot%ringSlots]++
}

// TakeRetry asks for a retry. share is the gateway's part of the slack.
func (b *Budget) TakeRetry(now time.Duration, share float64) Decision {
	b.advance(now)
	allowed := b.allowed(now, max(b.limits.Slack*share, 1))
	granted := float64(sum(b.retries[:])+1) <= allowed
	if granted {
		b.retries[b.newestSlot%ringSlots]++
	}
	return Decision{
		Granted: granted, Requests: sum(b.requests[:]), Spent: sum(b.retries[:]), Allowed: allowed, Share: share,
	}
}

// allowed returns the number of retries that the window allows.
func (b *Budget) allowed(now time.Duration, slack float64) float64 {
	if now < b.startTime+b.limits.Window {
		slack *= initialSlackFraction
	}
	// The oldest slot is only partly in the window: its retries count, its requests don't.
	oldest := (b.newestSlot + 1) % ringSlots
	return b.limits.Ratio*ratioFraction*float64(sum(b.requests[:])-b.requests[oldest]) + slack
}

// advance clears the slots that have left the window.
func (b *Budget) advance(now time.Duration) {
	newest := int64(now / (b.limits.Window / windowSlots))
	if !b.initialized {
		b.initialized, b.startTime, b.newestSlot = true, now, newest
		return
	}
	for next := max(b.newestSlot+1, newest-ringSlots+1); next <= newest; next++ {
		b.requests[next%ringSlots], b.retries[next%ringSlots] = 0, 0
	}
	b.newestSlot = max(b.newestSlot, newest)
}

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
