package attempt

import "time"

// windowSlots is the number of parts of a window in which it is counted;
// ringSlots holds one more, so that all of the window is always covered.
const (
	windowSlots = 20
	ringSlots   = windowSlots + 1
)

// WindowOptions sets up a WindowBudget.
type WindowOptions struct {
	// Window is the length of the span over which retries are bounded.
	Window time.Duration
	// Ratio is the number of retries allowed for each first attempt in the window.
	Ratio float64
	// Slack is allowed besides.
	Slack float64
	// InitialSlack is the slack in the first window, since an earlier run of the
	// process may have spent some just before.
	InitialSlack float64
}

// WindowBudget bounds the retries in any span of a length by the first attempts
// in it: more may be spent at once than by a Budget of the same ratio, when a
// worker is lost with all that it was doing. It isn't safe for concurrent use.
type WindowBudget struct {
	options  WindowOptions
	attempts [ringSlots]int
	retries  [ringSlots]int
	// newestSlot is the number of the newest part, counted from the clock's start.
	newestSlot  int64
	startTime   time.Duration
	initialized bool
}

// NewWindowBudget returns a budget in which nothing is counted.
func NewWindowBudget(options WindowOptions) *WindowBudget {
	return &WindowBudget{options: options}
}

// SetSlack sets another slack, such as when those who share it come and go.
func (b *WindowBudget) SetSlack(slack, initial float64) {
	b.options.Slack, b.options.InitialSlack = slack, initial
}

// Deposit implements RetryBudget.
func (b *WindowBudget) Deposit(now time.Duration) {
	b.advance(now)
	b.attempts[b.newestSlot%ringSlots]++
}

// Withdraw implements RetryBudget.
func (b *WindowBudget) Withdraw(now time.Duration) bool {
	b.advance(now)
	if float64(sum(b.retries[:])+1) > b.allowed(now) {
		return false
	}
	b.retries[b.newestSlot%ringSlots]++
	return true
}

// allowed returns the retries that the window allows.
func (b *WindowBudget) allowed(now time.Duration) float64 {
	slack := b.options.Slack
	if now < b.startTime+b.options.Window {
		slack = min(slack, b.options.InitialSlack)
	}
	// The oldest part has left the window in part: its retries still count, its
	// attempts don't.
	oldest := (b.newestSlot + 1) % ringSlots
	return b.options.Ratio*float64(sum(b.attempts[:])-b.attempts[oldest]) + slack
}

// advance empties the parts that have left the window.
func (b *WindowBudget) advance(now time.Duration) {
	slot := int64(now / (b.options.Window / windowSlots))
	if !b.initialized {
		b.initialized, b.startTime, b.newestSlot = true, now, slot
		return
	}
	for next := max(b.newestSlot+1, slot-ringSlots+1); next <= slot; next++ {
		b.attempts[next%ringSlots], b.retries[next%ringSlots] = 0, 0
	}
	b.newestSlot = max(b.newestSlot, slot)
}

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
