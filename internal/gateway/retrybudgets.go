package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/retrybudget"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// maxFleetMembers is the largest number of gateways that a report may tell.
const maxFleetMembers = 1 << 20

// retryBudgets holds a retry budget for each service. It is safe for concurrent use.
type retryBudgets struct {
	// counts returns the numbers of gateways by which the slack is divided.
	counts func() retrybudget.Counts
	// onDecision is called for each retry that is granted or refused, without the mutex.
	onDecision func(retryDecision)

	mutex  sync.Mutex
	random *rand.Rand
	// isOnly is set if there are no other gateways.
	isOnly   bool
	limits   retrybudget.Limits
	share    *retrybudget.Share
	services map[fleet.PoolName]*retrybudget.Budget
}

// retryDecision is the decision on a retry of a request, and the counts that it depended on.
type retryDecision struct {
	retrybudget.Decision
	service   fleet.PoolName
	requestID string
	counts    retrybudget.Counts
}

func newRetryBudgets(settings Settings, random *rand.Rand, counts func() retrybudget.Counts, onDecision func(retryDecision)) *retryBudgets {
	share := retrybudget.NewShare(settings.FirstStart)
	isOnly := len(settings.Seeds) == 0
	if isOnly {
		share = retrybudget.NewShareOfOne()
	}
	return &retryBudgets{
		counts: counts, onDecision: onDecision, random: random, limits: retryLimits(settings),
		isOnly: isOnly, share: share,
		services: make(map[fleet.PoolName]*retrybudget.Budget),
	}
}

func retryLimits(settings Settings) retrybudget.Limits {
	return retrybudget.Limits{Window: settings.RetryWindow, Ratio: settings.RetryRatio, Slack: settings.RetrySlack}
}

// retryCounts returns the numbers of gateways that this one knows.
func (g *Gateway) retryCounts() retrybudget.Counts { return g.roles.Load().retryCounts }

// countForRetries counts the gateways of a view by machine, so that one that was replaced counts once.
func countForRetries(self fleet.NodeID, view *membership.View, roles *membership.Roles) retrybudget.Counts {
	return retrybudget.Counts{
		Members: max(view.Machines(), 1),
		Serving: max(membership.CountMachines(roles.Serving), 1),
		Serves:  roles.IsServing(self),
	}
}

// setSettings replaces the limits. Window and ratio apply only to services that have no budget yet.
func (b *retryBudgets) setSettings(settings Settings) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limits = retryLimits(settings)
	for _, budget := range b.services {
		budget.SetSlack(settings.RetrySlack)
	}
}

// forRequest returns the budget of a service, for the retries of one request.
func (b *retryBudgets) forRequest(service fleet.PoolName, requestID string) attempt.RetryBudget {
	return &requestBudget{owner: b, service: service, requestID: requestID}
}

// budget returns the budget of a service. share is this gateway's part of the slack. The mutex must be held.
func (b *retryBudgets) budget(now time.Duration, service fleet.PoolName, share float64) *retrybudget.Budget {
	budget := b.services[service]
	if budget == nil {
		budget = retrybudget.New(b.limits, b.random)
		if b.isOnly {
			budget.Fill(now, share)
		}
		b.services[service] = budget
	}
	return budget
}

// requestBudget is the budget of a service as one request uses it.
type requestBudget struct {
	owner     *retryBudgets
	service   fleet.PoolName
	requestID string
}

// Deposit implements attempt.RetryBudget.
func (r *requestBudget) Deposit(now time.Duration) {
	counts := r.owner.counts()
	r.owner.mutex.Lock()
	defer r.owner.mutex.Unlock()
	share := r.owner.share.At(now, counts)
	r.owner.budget(now, r.service, share).RecordRequest(now, share)
}

// Withdraw implements attempt.RetryBudget.
func (r *requestBudget) Withdraw(now time.Duration) bool {
	counts := r.owner.counts()
	decision := r.take(now, counts)
	r.owner.onDecision(retryDecision{Decision: decision, service: r.service, requestID: r.requestID, counts: counts})
	return decision.Granted
}

func (r *requestBudget) take(now time.Duration, counts retrybudget.Counts) retrybudget.Decision {
	r.owner.mutex.Lock()
	defer r.owner.mutex.Unlock()
	share := r.owner.share.At(now, counts)
	return r.owner.budget(now, r.service, share).TakeRetry(now, share)
}

// writeReport adds the highest counts of gateways to a report, if this one knows the whole fleet.
func (b *retryBudgets) writeReport(now time.Duration, report *rpc.LoadReport) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if peaks, known := b.share.Peaks(now); known {
		report.FleetMembers, report.FleetServing = uint32(peaks.Members), uint32(peaks.Serving)
	}
}

// applyReport learns the counts of gateways from a report, if it has any.
func (b *retryBudgets) applyReport(now time.Duration, report *rpc.LoadReport) {
	members, serving := report.GetFleetMembers(), report.GetFleetServing()
	if members == 0 || members < serving || members > maxFleetMembers {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.share.Learn(now, retrybudget.Counts{Members: int(members), Serving: int(serving)})
}
