package quota

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// account is one tenant's use as this node knows it.
type account struct {
	limit Limit
	// fleet is the bucket of all nodes together.
	fleet bucket
	// own is this node's part of it while it is a newcomer.
	own bucket
	// total is the units that this node has admitted, recent those since it last became
	// a newcomer.
	total  float64
	recent float64
	// lastTakenAt is when it last admitted anything.
	lastTakenAt time.Duration
	// promised is the units of refused requests that were told when to come back, so
	// that not all are told the same moment.
	promised bucket
	// peerTotals is what each peer has told last.
	peerTotals map[fleet.NodeID]uint64
	// nearLimit is set while little is left, so that only what peers have just told counts,
	// and nearSince is from when it is.
	nearLimit      bool
	nearLimitSince time.Duration
}

// newAccount returns the account of a tenant of which start units are left.
func newAccount(now time.Duration, limit Limit, start float64) *account {
	missing := max(limit.Burst-start, 0)
	return &account{
		limit:      limit,
		fleet:      bucket{deficit: missing, drainedAt: now},
		own:        bucket{deficit: missing / assumedJoiningNodes, drainedAt: now},
		promised:   bucket{drainedAt: now},
		peerTotals: make(map[fleet.NodeID]uint64),
	}
}

// drain takes the time since the last call into account.
func (a *account) drain(now time.Duration, shares shares) {
	share := shares.forAccount(a)
	a.fleet.drain(now, a.limit.Rate*share)
	a.own.drain(now, a.limit.Rate*shares.joining)
	a.promised.drain(now, a.limit.Rate*share)
}

// drainPause takes a time into account in which this node did nothing, with the share of the
// limit that it had before.
func (a *account) drainPause(now time.Duration, share float64) {
	a.fleet.drainPause(now, a.limit.Rate*share)
	a.promised.drain(now, a.limit.Rate*share)
}

// updateNearLimit sees whether little is left and returns the share that counts then.
func (a *account) updateNearLimit(now time.Duration, shares shares, slack float64) float64 {
	near := a.fleet.deficit > a.limit.Burst*shares.reachable*(1-nearLimitFraction)+slack*nearLimitSlackFraction
	if near && !a.nearLimit {
		a.nearLimitSince = now
	}
	a.nearLimit = near
	return shares.forAccount(a)
}

// available returns the units left of a part of the limit.
func (a *account) available(share float64, newcomer bool) float64 {
	left := a.limit.Burst*share - a.fleet.deficit
	if newcomer {
		return min(left, a.limit.Burst/assumedJoiningNodes-a.own.deficit)
	}
	return left
}

// fits tells whether a request may be admitted when available units are left. A
// request may leave a debt, so that large ones aren't passed over; one that is larger
// than the whole bucket needs a full one.
func (a *account) fits(amount, available, debt float64) bool {
	if available <= 0 {
		return false
	}
	return available+debt >= amount || a.fleet.deficit == 0
}

// retryAfter returns the time until a request fits behind those that were refused before.
func (a *account) retryAfter(amount, available, debt, share float64) time.Duration {
	rate := a.limit.Rate * share
	if rate <= 0 {
		return 0
	}
	missing := min(max(amount-debt, 0)-available, a.fleet.deficit)
	return time.Duration((max(missing, 0) + a.promised.deficit) / rate * float64(time.Second))
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

// setLimit puts another limit in force. A tenant that has used more than a lower
// burst starts with an empty bucket, not with a debt.
func (a *account) setLimit(limit Limit) {
	a.limit = limit
	a.fleet.deficit = min(a.fleet.deficit, limit.Burst)
	a.own.deficit = min(a.own.deficit, limit.Burst/assumedJoiningNodes)
}

// synchronize replaces what a newcomer assumed about the time before by what a peer knows, and
// adds what it has admitted and the peer hasn't heard of. The rest is in the peer's deficit;
// adding that again would have its own reports, and then all nodes, take the tenant for far
// over its limit.
func (a *account) synchronize(use Usage) {
	unheard := max(a.total-float64(use.Acknowledged), 0)
	a.fleet.deficit = float64(use.Deficit) + min(unheard, a.recent)
}

// observe takes in what a peer says. Of a peer that was heard before, what it has
// admitted since is taken out, less what was left to it meanwhile; of a newcomer that
// is heard for the first time, all that it has admitted as such. Any other peer has known the
// bucket for longer, so that its deficit counts if it is larger.
func (a *account) observe(now time.Duration, report Report, use Usage, left float64) {
	before, known := a.peerTotals[report.Node]
	switch {
	case known:
		a.fleet.takeDelayed(now, max(float64(use.Total)-float64(before)-left, 0))
	case report.Joining:
		a.fleet.take(float64(use.Recent))
	default:
		a.fleet.deficit = max(a.fleet.deficit, float64(use.Deficit))
	}
	a.peerTotals[report.Node] = max(before, use.Total)
	if !report.Joining {
		a.converge(float64(use.Deficit))
	}
}

// converge raises what this node believes towards a peer's belief that is far above it, as
// after a partition. A lower belief changes nothing: the peer may not have heard yet what
// this node has, and a node that follows it lets a flood exceed the limit with every
// report. Whatever is believed too much drains by itself.
func (a *account) converge(deficit float64) {
	beyond := deficit - a.fleet.deficit - convergenceThreshold*a.limit.Burst
	if beyond > 0 {
		a.fleet.deficit += beyond * convergenceFraction
	}
}
