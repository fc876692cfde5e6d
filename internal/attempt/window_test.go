package attempt

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func newTestWindow() *WindowBudget {
	return NewWindowBudget(WindowOptions{Window: 10 * time.Second, Ratio: 0.2, Slack: 4, InitialSlack: 2})
}

func spend(budget *WindowBudget, now time.Duration) int {
	spent := 0
	for budget.Withdraw(now) {
		spent++
	}
	return spent
}

func TestWindowBudgetAllowsBurst(t *testing.T) {
	budget := newTestWindow()
	for number := range 100 {
		budget.Deposit(time.Duration(number) * 100 * time.Millisecond)
	}
	assert.Equal(t, 22, spend(budget, 9900*time.Millisecond), "0.2 times 100 attempts and the initial slack")
	assert.Zero(t, spend(budget, 15*time.Second), "the budget is spent and half of the attempts have left the window")
	assert.Equal(t, 4, spend(budget, 20500*time.Millisecond), "only the slack")
}

func TestFirstWindowHasInitialSlack(t *testing.T) {
	budget := newTestWindow()
	assert.Equal(t, 2, spend(budget, time.Minute))
	assert.Equal(t, 4, spend(budget, time.Minute+11*time.Second))
	budget.SetSlack(1, 1)
	assert.Equal(t, 1, spend(budget, time.Minute+30*time.Second))
}

// No span as long as the window may contain more retries than the ratio and the slack allow.
func TestWindowBudgetBoundsEverySpan(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		budget := newTestWindow()
		var attempts, retries []time.Duration
		now := time.Duration(0)
		for range 2000 {
			now += time.Duration(random.Int64N(int64(60 * time.Millisecond)))
			if random.IntN(40) == 0 {
				now += 2 * time.Second
			}
			if random.IntN(3) > 0 {
				budget.Deposit(now)
				attempts = append(attempts, now)
			} else if budget.Withdraw(now) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			inWindow := func(times []time.Duration) int {
				count := 0
				for _, at := range times {
					if at > end-10*time.Second && at <= end {
						count++
					}
				}
				return count
			}
			bound := 0.2*float64(inWindow(attempts)) + 4
			require.LessOrEqual(t, float64(inWindow(retries)), bound, "seed %d, window to %s", seed, end)
		}
	}
}
