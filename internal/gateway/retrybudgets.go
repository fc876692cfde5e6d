package gateway

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Shares of the retry budget that all gateways may spend together.
const (
	// ratioFraction is the part of the allowed retry ratio that a gateway spends.
	ratioFraction = 0.95
	// servingSlackFraction is the part of the allowed slack that the serving gateways spend
	// together, with a margin since some gateways may not count a new one yet. The other gateways
	// have idleSlackFraction together.
	servingSlackFraction = 0.6
	idleSlackFraction    = 0.2
	// initialSlackFraction is the part of its slack that a gateway has at its start. All gateways
	// may restart within one window, after they have spent their slack.
	initialSlackFraction = 0.5
	// minSlackSharers is the least number of gateways among which the slack is divided.
	minSlackSharers = 8
)

// retryBudgets holds a retry budget for each service. Each gateway spends a fixed share of the
// global budget, so the gateways need no coordination; a gateway that has just started gets part of
// its share.
type retryBudgets struct {
	settings Settings
	// share returns this gateway's share of the slack.
	share func() float64
	// onDecision is called for each retry that is granted or refused, without the mutex.
	onDecision func(retryDecision)
	mutex      sync.Mutex
	services   map[fleet.PoolName]*attempt.WindowBudget
}

// retryDecision tells whether a budget granted a retry, and from what.
type retryDecision struct {
	service   fleet.PoolName
	requestID string
	granted   bool
	usage     attempt.Usage
	// slack is this gateway's part of the slack, in retries per window.
	slack float64
}

func newRetryBudgets(settings Settings, share func() float64, onDecision func(retryDecision)) *retryBudgets {
	return &retryBudgets{
		settings: settings, share: share, onDecision: onDecision, services: make(map[fleet.PoolName]*attempt.WindowBudget),
	}
}

// retryShare returns this gateway's share of the slack.
func (g *Gateway) retryShare() float64 {
	members, serving := g.memberCount(), g.servingCount()
	if g.isServing() {
		return servingSlackFraction / float64(max(serving, minSlackSharers))
	}
	return idleSlackFraction / float64(max(members-serving, minSlackSharers))
}

// setSettings replaces the bounds. Window and ratio apply only to services that have no budget yet.
func (b *retryBudgets) setSettings(settings Settings) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.settings = settings
}

// forRequest returns the budget of a service, for the retries of one request.
func (b *retryBudgets) forRequest(service fleet.PoolName, requestID string) attempt.RetryBudget {
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
	return &sharedBudget{owner: b, budget: budget, service: service, requestID: requestID, slack: slack}
}

// sharedBudget is a budget that all requests of a service share. It is safe for concurrent use.
type sharedBudget struct {
	owner     *retryBudgets
	budget    *attempt.WindowBudget
	service   fleet.PoolName
	requestID string
	slack     float64
}

// Deposit implements attempt.RetryBudget.
func (s *sharedBudget) Deposit(now time.Duration) {
	s.owner.mutex.Lock()
	defer s.owner.mutex.Unlock()
	s.budget.Deposit(now)
}

// Withdraw implements attempt.RetryBudget.
func (s *sharedBudget) Withdraw(now time.Duration) bool {
	granted, usage := s.withdraw(now)
	s.owner.onDecision(retryDecision{
		service: s.service, requestID: s.requestID, granted: granted, usage: usage, slack: s.slack,
	})
	return granted
}

func (s *sharedBudget) withdraw(now time.Duration) (bool, attempt.Usage) {
	s.owner.mutex.Lock()
	defer s.owner.mutex.Unlock()
	granted := s.budget.Withdraw(now)
	return granted, s.budget.Usage(now)
}
