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
	ratioPart = 0.95
	// slackPart is the part of the allowed slack that the nodes to which callers
	// are sent spend together: a node that has just come may not be counted by all
	// yet. The other nodes have idleSlackPart together.
	slackPart     = 0.6
	idleSlackPart = 0.2
	// initialPart is the part of its slack that a node has at its start. All may
	// restart within one window, and have spent their slack just before.
	initialPart = 0.5
	// minSharers is the least number of nodes that the slack is divided by.
	minSharers = 8
)

// budgets holds a retry budget for each service. Each node spends its part of
// what all nodes may, so that no talk is needed; a node that has just started
// has a part of it only.
type budgets struct {
	settings Settings
	// share returns the part of the slack that is this node's.
	share    func() float64
	mutex    sync.Mutex
	services map[fleet.PoolName]*attempt.WindowBudget
}

func newBudgets(settings Settings, share func() float64) *budgets {
	return &budgets{settings: settings, share: share, services: make(map[fleet.PoolName]*attempt.WindowBudget)}
}

// retryShare returns the part of the slack that is this node's.
func (g *Gateway) retryShare() float64 {
	members, serving := g.memberCount(), g.servingCount()
	if g.isServing() {
		return slackPart / float64(max(serving, minSharers))
	}
	return idleSlackPart / float64(max(members-serving, minSharers))
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
	slack := max(b.settings.RetrySlack*b.share(), 1)
	budget := b.services[service]
	if budget == nil {
		budget = attempt.NewWindowBudget(attempt.WindowOptions{
			Window: b.settings.RetryWindow,
			Ratio:  b.settings.RetryRatio * ratioPart,
		})
		b.services[service] = budget
	}
	budget.SetSlack(slack, slack*initialPart)
	return &sharedBudget{owner: b, budget: budget}
}

// sharedBudget is a budget that the requests of one service share.
type sharedBudget struct {
	owner  *budgets
	budget *attempt.WindowBudget
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
