package quota

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// account is this node's view of one tenant's use.
type account struct {
	limit Limit
	// fleet is this node's copy of the bucket of the whole fleet.
	fleet bucket
	// own is this node's part of it while it is joining.
	own bucket
	// total is the units that this node has admitted, recent those since it last began to join.
	total  float64
	recent float64
	// lastTakenAt is when it last admitted units.
	lastTakenAt time.Duration
	// demand is what callers ask for.
	demand demandMeter
	// sizes is the sizes of the requests of each priority.
	sizes [PriorityCount]sizeMeter
	// minimum is what each class of a priority may use of its minimum share, pace what it may use of
	// the units that more urgent requests leave.
	minimum [PriorityCount][sizeClassCount]credit
	pace    [PriorityCount][sizeClassCount]credit
	// promised is the units of refused requests that were given a time to retry, by priority. It
	// staggers the retries.
	promised [PriorityCount]bucket
	// peerTotals is the total that each peer last reported.
	peerTotals map[fleet.NodeID]uint64
	// nearLimit is set while the tenant is near its limit, since nearLimitSince. Only peers with a
	// recent report count as reachable then.
	nearLimit      bool
	nearLimitSince time.Duration
}

// newAccount returns the account of a tenant with initial units left.
func newAccount(now time.Duration, limit Limit, initial float64) *account {
	missing := max(limit.Burst-initial, 0)
	return &account{
		limit:      limit,
		fleet:      bucket{deficit: missing, drainedAt: now},
		own:        bucket{deficit: missing / assumedJoiningNodes, drainedAt: now},
		demand:     newDemandMeter(now),
		peerTotals: make(map[fleet.NodeID]uint64),
	}
}

// drain drains the buckets for the time since the last call.
func (a *account) drain(now time.Duration, shares shares) {
	share := shares.forAccount(a)
	a.fleet.drain(now, a.limit.Rate*share)
	a.own.drain(now, a.limit.Rate*shares.joining)
}

// drainPause drains the buckets for a time in which this node was paused. share is the share of the
// limit before the pause.
func (a *account) drainPause(now time.Duration, share float64) {
	a.fleet.drainPause(now, a.limit.Rate*share)
}

// updateNearLimit updates nearLimit and returns the share of the limit that applies. Units that are
// kept for more urgent requests count as used, since their reserve needs recent reports.
func (a *account) updateNearLimit(now time.Duration, shares shares, slack float64) float64 {
	kept := a.reserve(a.leastUrgent(), false, a.limit.Burst*shares.reachable)
	near := a.fleet.deficit+kept > a.limit.Burst*shares.reachable*(1-nearLimitFraction)+slack*nearLimitSlackFraction
	if near && !a.nearLimit {
		a.nearLimitSince = now
	}
	a.nearLimit = near
	return shares.forAccount(a)
}

// available returns the units left of a share of the limit.
func (a *account) available(share float64, joining bool) float64 {
	left := a.limit.Burst*share - a.fleet.deficit
	if joining {
		return min(left, a.limit.Burst/assumedJoiningNodes-a.own.deficit)
	}
	return left
}

// fits reports whether a request may be admitted with available units left. A request may leave a
// debt, which keeps large requests from starving. One that is larger than the whole bucket needs a
// full bucket.
func (a *account) fits(amount, available, debt float64) bool {
	if available <= 0 {
		return false
	}
	return available+debt >= amount || a.fleet.deficit == 0
}

func (a *account) take(now time.Duration, amount float64) {
	a.lastTakenAt = now
	a.fleet.take(amount)
	a.own.take(amount)
	a.total += amount
	a.recent += amount
}

func (a *account) refund(amount float64) {
	a.fleet.refund(amount)
	a.own.refund(amount)
	a.total = max(a.total-amount, 0)
	a.recent = max(a.recent-amount, 0)
}

// setLimit replaces the limit. A tenant that has used more than a lower burst starts with an empty
// bucket, without a debt.
func (a *account) setLimit(limit Limit) {
	a.limit = limit
	a.fleet.deficit = min(a.fleet.deficit, limit.Burst)
	a.own.deficit = min(a.own.deficit, limit.Burst/assumedJoiningNodes)
}

// synchronize replaces the deficit that a joining node assumed by a peer's, plus what this node has
// admitted and the peer hasn't acknowledged. The peer's deficit already contains the acknowledged
// part; counting it twice would spread to all nodes through reports.
func (a *account) synchronize(usage Usage) {
	unacknowledged := max(a.total-float64(usage.Acknowledged), 0)
	a.fleet.deficit = float64(usage.Deficit) + min(unacknowledged, a.recent)
}

// observe applies a peer's report. For a peer that has reported before, it takes out what the peer
// has admitted since, less the units reserved for it meanwhile. For a joining peer that reports for
// the first time, it takes out all that the peer has admitted while joining. Any other peer has
// tracked the bucket for longer, so its deficit applies if it is larger.
func (a *account) observe(now time.Duration, report Report, usage Usage, reserved float64) {
	before, known := a.peerTotals[report.Node]
	switch {
	case known:
		a.fleet.takeDelayed(now, max(float64(usage.Total)-float64(before)-reserved, 0))
	case report.Joining:
		a.fleet.take(float64(usage.Recent))
	default:
		a.fleet.deficit = max(a.fleet.deficit, float64(usage.Deficit))
	}
	a.peerTotals[report.Node] = max(before, usage.Total)
	if !report.Joining {
		a.converge(float64(usage.Deficit))
	}
}

// converge raises the deficit towards that of a peer which is far larger, as after a partition. It
// never lowers it: the peer may not have received this node's use yet, and following it would let
// a flood exceed the limit with every report. An overestimate drains over time.
func (a *account) converge(deficit float64) {
	beyond := deficit - a.fleet.deficit - convergenceThreshold*a.limit.Burst
	if beyond > 0 {
		a.fleet.deficit += beyond * convergenceFraction
	}
}
