package overload

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Controller tracks who uses the engines of one service, and how late its requests are.
type Controller struct {
	own              ledger
	peers            map[fleet.NodeID]peerReport
	lateness         lateness
	predictionErrors predictionErrors
	// totals holds the engine time over all nodes by tenant, and share the fair share; 0 while nothing
	// is short. Both are computed anew at nextShareAt.
	totals map[fleet.TenantName]amounts
	share  time.Duration
	// isShort is set if any demand is unmet.
	isShort     bool
	nextShareAt time.Duration
	// demands is a buffer.
	demands []time.Duration
}

// New returns a controller of engines that nothing has used.
func New() *Controller {
	return &Controller{
		own:    ledger{tenants: make(map[fleet.TenantName]amounts)},
		peers:  make(map[fleet.NodeID]peerReport),
		totals: make(map[fleet.TenantName]amounts),
	}
}

// Limit returns the longest predicted wait with which a request is placed. Only work of the same or a
// higher priority counts as its wait, so that a limit never leaves an engine to less urgent requests.
func (c *Controller) Limit(now time.Duration, request *Request) Limit {
	onTime := request.onTimeWait()
	if request.Deadline <= 0 {
		return Limit{Wait: onTime, Cause: CauseTarget}
	}
	c.updateShare(now)
	used := c.totals[request.Tenant].used
	limit := Limit{
		Wait: deadlineWait(request), Cause: CauseDeadline, Share: rate(c.share), Use: rate(used),
		predictionError: c.predictionErrors.factor(now, request.Priority),
	}
	if request.Tenant != "" && c.isAtShare(used) {
		limit.lower(scale(onTime, atShareFraction), CauseShare)
		limit.liftedIn = timeToDecay(used.Seconds(), c.share.Seconds(), useHalfLife)
	}
	if yieldFor := c.lateness.yieldFor(now, request.Priority); yieldFor > 0 {
		limit.lower(scale(onTime, yieldFraction), CausePriority)
		limit.liftedIn = max(limit.liftedIn, yieldFor)
	}
	limit.Wait = scale(limit.Wait, 1/limit.predictionError)
	return limit
}

// RecordPlaced records the engine time of a placed request. late is set if it is predicted to miss
// its target by its waiting.
func (c *Controller) RecordPlaced(now time.Duration, request *Request, cost time.Duration, late bool) {
	amount := amounts{used: cost}
	if late {
		amount.unmet = cost
	}
	c.own.add(now, request.Tenant, amount)
}

// RecordRefused records the engine time of a refused request. A request that yields, or whose tenant is
// at its share, does not make less urgent ones yield in turn: they would pay for another tenant's flood.
func (c *Controller) RecordRefused(now time.Duration, request *Request, cost time.Duration, cause Cause) {
	c.own.add(now, request.Tenant, amounts{unmet: cost})
	if cause != CausePriority && cause != CauseShare {
		c.lateness.record(now, request.Priority, true)
	}
}

// RecordFirstToken records the predicted and the measured time from a request's placement to its
// first token, and whether it missed its target. For a request that was cancelled without a first
// token, measured is the time for which it waited.
func (c *Controller) RecordFirstToken(now time.Duration, request *Request, predicted, measured time.Duration, late bool) {
	c.predictionErrors.record(now, request.Priority, predicted, measured)
	c.lateness.record(now, request.Priority, late)
}

// Report returns this node's largest uses for its peers, or nothing while no demand is unmet anywhere.
func (c *Controller) Report(now time.Duration) []Use {
	c.updateShare(now)
	if !c.isShort {
		return nil
	}
	return c.own.report()
}
