package engineroom

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Room tracks who uses the engines of one service, and how late its requests are.
type Room struct {
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

// New returns a room in which nothing has been used.
func New() *Room {
	return &Room{
		own:    ledger{tenants: make(map[fleet.TenantName]amounts)},
		peers:  make(map[fleet.NodeID]peerReport),
		totals: make(map[fleet.TenantName]amounts),
	}
}

// Limit returns the longest predicted wait with which a request is placed. Only work of the same or a
// higher priority counts as its wait, so that a limit never leaves an engine to less urgent requests.
func (r *Room) Limit(now time.Duration, request *Request) Limit {
	onTime := request.onTimeWait()
	if request.Deadline <= 0 {
		return Limit{Wait: onTime, Cause: CauseTarget}
	}
	r.updateShare(now)
	used := r.totals[request.Tenant].used
	limit := Limit{
		Wait: deadlineWait(request), Cause: CauseDeadline, Share: rate(r.share), Use: rate(used),
		predictionError: r.predictionErrors.factor(now, request.Priority),
	}
	if request.Tenant != "" && r.isAtShare(used) {
		limit.lower(scale(onTime, atShareFraction), CauseShare)
		limit.liftedIn = timeToDecay(used.Seconds(), r.share.Seconds(), useHalfLife)
	}
	if yieldFor := r.lateness.yieldFor(now, request.Priority); yieldFor > 0 {
		limit.lower(scale(onTime, yieldFraction), CausePriority)
		limit.liftedIn = max(limit.liftedIn, yieldFor)
	}
	limit.Wait = scale(limit.Wait, 1/limit.predictionError)
	return limit
}

// RecordPlaced records the engine time of a placed request. late is set if it is predicted to miss
// its target by its waiting.
func (r *Room) RecordPlaced(now time.Duration, request *Request, cost time.Duration, late bool) {
	amount := amounts{used: cost}
	if late {
		amount.unmet = cost
	}
	r.own.add(now, request.Tenant, amount)
}

// RecordRefused records the engine time of a refused request. A request that yields, or whose tenant is
// at its share, does not make less urgent ones yield in turn: they would pay for another tenant's flood.
func (r *Room) RecordRefused(now time.Duration, request *Request, cost time.Duration, cause Cause) {
	r.own.add(now, request.Tenant, amounts{unmet: cost})
	if cause != CausePriority && cause != CauseShare {
		r.lateness.record(now, request.Priority, true)
	}
}

// RecordFirstToken records the predicted and the measured time from a request's placement to its
// first token, and whether it missed its target. For a request that was cancelled without a first
// token, measured is the time for which it waited.
func (r *Room) RecordFirstToken(now time.Duration, request *Request, predicted, measured time.Duration, late bool) {
	r.predictionErrors.record(now, request.Priority, predicted, measured)
	r.lateness.record(now, request.Priority, late)
}

// Report returns this node's largest uses for its peers, or nothing while no demand is unmet anywhere.
func (r *Room) Report(now time.Duration) []Use {
	r.updateShare(now)
	if !r.isShort {
		return nil
	}
	return r.own.report()
}
