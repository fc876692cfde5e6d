package gateway

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Parts of the retries that all nodes share.
const (
	// ratioPart is the part of the allowed ratio that a node spends.
	ratioPart = 0.85
	// slackPart is the part of the allowed slack that all nodes spend together:
	// a node that has just come may not be counted by all yet.
	slackPart = 0.6
	// initialPart is the part of its slack that a node has at its start. All may
	// restart within one window, and have spent their slack just before.
	initialPart = 0.5
	// minSharers is the least number of nodes that the slack is divided by.
	minSharers = 8
	// slackFloor is what a node earns by time alone, per second.
	slackFloor = 0.05
)

// budgets holds a retry budget for each service. Each node spends its part of
// what all nodes may, so that no talk is needed; a node that has just started
// has a part of it only.
type budgets struct {
	settings Settings
	sharers  func() int
	mutex    sync.Mutex
	services map[fleet.PoolName]*attempt.Budget
}

func newBudgets(settings Settings, sharers func() int) *budgets {
	return &budgets{settings: settings, sharers: sharers, services: make(map[fleet.PoolName]*attempt.Budget)}
}

// setSettings takes over other bounds, for services without a budget so far.
func (b *budgets) setSettings(settings Settings) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.settings = settings
}

// of returns the budget of a service.
func (b *budgets) of(service fleet.PoolName) attempt.RetryBudget {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	budget := b.services[service]
	if budget == nil {
		sharers := float64(max(b.sharers(), minSharers))
		burst := max(b.settings.RetrySlack*slackPart/sharers, 1)
		budget = attempt.NewBudget(attempt.BudgetOptions{
			Ratio:          b.settings.RetryRatio * ratioPart,
			FloorPerSecond: slackFloor,
			Burst:          burst,
			Initial:        burst * initialPart,
		})
		b.services[service] = budget
	}
	return &sharedBudget{owner: b, budget: budget}
}

// sharedBudget is a budget that the requests of one service share.
type sharedBudget struct {
	owner  *budgets
	budget *attempt.Budget
}

// Deposit implements attempt.RetryBudget.
func (s *sharedBudget) Deposit(now time.Duration) {
	s.owner.mutex.Lock()
	defer s.owner.mutex.Unlock()
	s.budget.Deposit(now)
}

// Withdraw implements attempt.RetryBudget.
func (s *sharedBudget) Withdraw(now time.Duration) bool {
	s.owner.mutex.Lock()
	defer s.owner.mutex.Unlock()
	return s.budget.Withdraw(now)
}
