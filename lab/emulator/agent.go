package emulator

import (
	"math/rand/v2"

	"github.com/tillerfall/tillerfall/internal/agent"
	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/placement"
)

// agentHost emulates the agent of one zone.
type agentHost struct {
	emulator *Emulator
	zone     fleet.ZoneName
	budget   *attempt.Budget
	random   *rand.Rand
	policy   attempt.Policy
	ranking  ranking
	// reports holds the unsent reports, by router index.
	reports []reportQueue
}

type reportQueue struct {
	pending   []placement.AttemptReport
	scheduled bool
}

func newAgentHost(e *Emulator, zone fleet.ZoneName) *agentHost {
	settings := agent.DefaultSettings().Requests
	return &agentHost{
		emulator: e,
		zone:     zone,
		budget: attempt.NewBudget(attempt.BudgetOptions{
			Ratio:          settings.RetryRatio,
			FloorPerSecond: settings.RetryFloor,
			Burst:          settings.RetryBurst,
		}),
		random:  e.newRandom(),
		ranking: newRanking(e, zone, e.newRandom()),
		policy: attempt.Policy{
			MaxDispatches: settings.MaxDispatches,
			MaxPlacements: settings.MaxPlacements,
			MaxResumes:    settings.MaxResumes,
		},
		reports: make([]reportQueue, len(e.routers)),
	}
}

// report queues a report for a router. A final report is sent immediately with all pending ones;
// others are sent after the report interval.
func (a *agentHost) report(to *routerHost, report placement.AttemptReport) {
	if to == nil {
		return
	}
	queue := &a.reports[to.index]
	queue.pending = append(queue.pending, report)
	final := report.Phase >= placement.PhaseFinished
	switch {
	case final || to.central:
		a.sendReports(to)
	case !queue.scheduled:
		queue.scheduled = true
		a.emulator.queue.After(reportInterval, func() { a.sendReports(to) })
	}
}

func (a *agentHost) sendReports(to *routerHost) {
	queue := &a.reports[to.index]
	batch := queue.pending
	queue.pending = nil
	queue.scheduled = false
	if len(batch) == 0 {
		return
	}
	a.emulator.queue.After(to.latency(a.zone), func() { to.receiveReports(batch) })
}
