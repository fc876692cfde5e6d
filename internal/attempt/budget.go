package attempt

import "time"

// RetryBudget is shared by the requests of one agent. It keeps retries a
// bounded part of the first attempts, so that a failing fleet isn't pressed
// harder by those who notice.
type RetryBudget interface {
	// Deposit notes a first attempt.
	Deposit(now time.Duration)
	// Withdraw takes one retry and tells whether there was one left.
	Withdraw(now time.Duration) bool
}

// BudgetOptions sets up a Budget. A zero field takes its default.
type BudgetOptions struct {
	// Ratio is the number of retries earned by one first attempt.
	Ratio float64
	// FloorPerSecond is earned by time alone, so that a quiet agent can retry.
	FloorPerSecond float64
	// Burst bounds what can be saved up; it covers the streams that one engine
	// loses at once.
	Burst float64
	// Initial is what the budget holds at its start; 0 means Burst, and a
	// negative one means nothing. Processes that share a bound and restart often
	// start with nothing, so that restarts earn no retries.
	Initial float64
}

// Defaults of BudgetOptions.
const (
	DefaultBudgetRatio = 0.15
	DefaultBudgetFloor = 1
	DefaultBudgetBurst = 100
)

// Budget is a token bucket filled by first attempts. It isn't safe for
// concurrent use.
type Budget struct {
	options    BudgetOptions
	tokens     float64
	lastRefill time.Duration
}

// NewBudget returns a full budget.
func NewBudget(options BudgetOptions) *Budget {
	if options.Ratio <= 0 {
		options.Ratio = DefaultBudgetRatio
	}
	if options.FloorPerSecond <= 0 {
		options.FloorPerSecond = DefaultBudgetFloor
	}
	if options.Burst <= 0 {
		options.Burst = DefaultBudgetBurst
	}
	initial := options.Initial
	if initial == 0 {
		initial = options.Burst
	}
	return &Budget{options: options, tokens: min(max(initial, 0), options.Burst)}
}

// Deposit implements RetryBudget.
func (b *Budget) Deposit(now time.Duration) {
	b.refill(now)
	b.tokens = min(b.tokens+b.options.Ratio, b.options.Burst)
}

// Withdraw implements RetryBudget.
func (b *Budget) Withdraw(now time.Duration) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Duration) {
	if now <= b.lastRefill {
		return
	}
	earned := (now - b.lastRefill).Seconds() * b.options.FloorPerSecond
	b.tokens = min(b.tokens+earned, b.options.Burst)
	b.lastRefill = now
}
