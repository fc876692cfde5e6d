package gateway

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Parts of the retries that all nodes share.
const (
	// ratioFraction is the part of the allowed ratio that a node spends.
	ratioFraction = 0.95
	// servingSlackFraction is the part of the allowed slack that the nodes to which callers
	// are sent spend together: a node that has just come may not be counted by all
	// yet. The other nodes have idleSlackPart together.
	servingSlackFraction = 0.6
	idleSlackFraction    = 0.2
	// initialSlackFraction is the part of its slack that a node has at its start. All may
	// restart within one window, and have spent their slack just before.
	initialSlackFraction = 0.5
	// minSlackSharers is the least number of nodes that the slack is divided by.
	minSlackSharers = 8
)

// retryBudgets holds a retry budget for each service. Each node spends its part of
// what all nodes may, so that no talk is needed; a node that has just started
// has a part of it only.
type retryBudgets struct {
	settings Settings
	// share returns the part of the slack that is this node's.
	share    func() float64
	mutex    sync.Mutex
	services map[fleet.PoolName]*attempt.WindowBudget
}

func newRetryBudgets(settings Settings, share func() float64) *retryBudgets {
	return &retryBudgets{settings: settings, share: share, services: make(map[fleet.PoolName]*attempt.WindowBudget)}
}

// retryShare returns the part of the slack that is this node's.
func (g *Gateway) retryShare() float64 {
	members, serving := g.memberCount(), g.servingCount()
	if g.serves() {
		return servingSlackFraction / float64(max(serving, minSlackSharers))
	}
	return idleSlackFraction / float64(max(members-serving, minSlackSharers))
}

// setSettings takes over other bounds, for services without a budget so far.
func (b *retryBudgets) setSettings(settings Settings) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.settings = settings
}

// forService returns the budget forService a service.
func (b *retryBudgets) forService(service fleet.PoolName) attempt.RetryBudget {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	slack := max(b.settings.RetrySlack*b.share(), 1)
	budget := b.services[service]
	if budget == nil {
		budget = attempt.NewWindowBudget(attempt.WindowOptions{
			Window: b.settings.RetryWindow,
			Ratio:  b.settings.RetryRatio * ratioFraction,
		})
		b.services[service] = budget
	}
	budget.SetSlack(slack, slack*initialSlackFraction)
	return &sharedBudget{owner: b, budget: budget}
}

// sharedBudget is a budget that the requests of one service share.
type sharedBudget struct {
	owner  *retryBudgets
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
