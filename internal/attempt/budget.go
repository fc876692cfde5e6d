package attempt

import "time"

// RetryBudget limits retries to a share of the first attempts of all requests that use it, so that
// retries do not overload a failing fleet.
type RetryBudget interface {
	// Deposit records a first attempt.
	Deposit(now time.Duration)
	// Withdraw takes a retry from the budget and reports whether one was available.
	Withdraw(now time.Duration) bool
}

// BudgetOptions configures a Budget. Zero fields take their defaults.
type BudgetOptions struct {
	// Ratio is the number of retries earned by each first attempt.
	Ratio float64
	// FloorPerSecond is the number of retries earned per second regardless of attempts.
	FloorPerSecond float64
	// Burst limits the retries that can accumulate.
	Burst float64
	// Initial is the number of retries available at the start; 0 means Burst, negative means none.
	Initial float64
}

// Defaults of BudgetOptions.
const (
	DefaultBudgetRatio = 0.15
	DefaultBudgetFloor = 1
	DefaultBudgetBurst = 100
)

// Budget is a token bucket filled by first attempts and by time. It is not safe for concurrent use.
type Budget struct {
	options    BudgetOptions
	tokens     float64
	lastRefill time.Duration
}

// NewBudget returns a budget that holds options.Initial retries.
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
