package attempt

import "time"

// A window is counted in windowSlots slots. The ring has one more, so that it always covers the
// whole window.
const (
	windowSlots = 20
	ringSlots   = windowSlots + 1
)

// WindowOptions configures a WindowBudget.
type WindowOptions struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the number of retries allowed per first attempt in the window.
	Ratio float64
	// Slack is the number of retries allowed in addition.
	Slack float64
	// InitialSlack replaces a larger Slack during the first window, since the process may have
	// restarted and spent retries shortly before.
	InitialSlack float64
}

// WindowBudget limits the retries in a sliding window to a share of the first attempts in it.
// Unlike a Budget of the same ratio, it allows all of them at once, such as after the loss of a
// worker with many requests in flight. It is not safe for concurrent use.
type WindowBudget struct {
	options  WindowOptions
	attempts [ringSlots]int
	retries  [ringSlots]int
	// newestSlot is the number of the current slot, counted from the clock's zero.
	newestSlot  int64
	startTime   time.Duration
	initialized bool
}

// NewWindowBudget returns a budget without recorded attempts or retries.
func NewWindowBudget(options WindowOptions) *WindowBudget {
	return &WindowBudget{options: options}
}

// SetSlack changes the slack, such as when the number of processes that share it changes.
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

// Usage is the state of a WindowBudget.
type Usage struct {
	// Attempts and Retries are those in the window, and Allowed is the number of retries allowed there.
	Attempts int
	Retries  int
	Allowed  float64
}

// Usage returns the state of the budget at now.
func (b *WindowBudget) Usage(now time.Duration) Usage {
	b.advance(now)
	return Usage{Attempts: sum(b.attempts[:]), Retries: sum(b.retries[:]), Allowed: b.allowed(now)}
}

// allowed returns the number of retries that the window allows.
func (b *WindowBudget) allowed(now time.Duration) float64 {
	slack := b.options.Slack
	if now < b.startTime+b.options.Window {
		slack = min(slack, b.options.InitialSlack)
	}
	// The oldest slot is only partly in the window: its retries count, its attempts don't.
	oldest := (b.newestSlot + 1) % ringSlots
	return b.options.Ratio*float64(sum(b.attempts[:])-b.attempts[oldest]) + slack
}

// advance clears the slots that have left the window.
func (b *WindowBudget) advance(now time.Duration) {
	newest := int64(now / (b.options.Window / windowSlots))
	if !b.initialized {
		b.initialized, b.startTime, b.newestSlot = true, now, newest
		return
	}
	for next := max(b.newestSlot+1, newest-ringSlots+1); next <= newest; next++ {
		b.attempts[next%ringSlots], b.retries[next%ringSlots] = 0, 0
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
