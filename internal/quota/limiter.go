package quota

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Limiter admits tenants' requests at one node.
type Limiter struct {
	options Options
	started time.Duration
	joining bool
	// joinTimedOut is set if this node's time as a newcomer has ended without a peer that
	// knew more.
	joinTimedOut bool
	accounts     map[fleet.TenantName]*account
	peers        map[fleet.NodeID]*peer
	// departed holds peers that report to others, and when they were forgotten.
	departed map[fleet.NodeID]departedPeer
	// reportRounds is the number of reportRounds in which all peers report once.
	reportRounds int
	// ownRate is this node's requests a second.
	ownRate float64
	// lastUpdateAt is when this node last looked at its accounts, and touch the part of the
	// limits that it and those in touch had then.
	lastUpdateAt   time.Duration
	reachableShare float64
}

// NewLimiter returns a limiter without limits.
func NewLimiter(now time.Duration, options Options) *Limiter {
	return &Limiter{
		options:        options,
		started:        now,
		joining:        !options.Standalone && !options.FirstStart,
		accounts:       make(map[fleet.TenantName]*account),
		peers:          make(map[fleet.NodeID]*peer),
		departed:       make(map[fleet.NodeID]departedPeer),
		reportRounds:   1,
		lastUpdateAt:   now,
		reachableShare: 1,
	}
}

// SetLimits puts the limits of all tenants in force; a tenant that isn't named, or
// whose rate is 0, has none.
func (l *Limiter) SetLimits(now time.Duration, limits map[fleet.TenantName]Limit) {
	l.drainAll(now)
	for tenant, known := range l.accounts {
		if limits[tenant].Rate <= 0 {
			delete(l.accounts, tenant)
			continue
		}
		known.setLimit(limits[tenant])
	}
	for tenant, limit := range limits {
		if limit.Rate <= 0 || l.accounts[tenant] != nil {
			continue
		}
		l.accounts[tenant] = newAccount(now, limit, l.initialUnits(limit))
	}
}

// IsUnlimited tells whether no tenant has a limit.
func (l *Limiter) IsUnlimited() bool { return len(l.accounts) == 0 }

// initialUnits returns what is left of a bucket whose use so far isn't known.
func (l *Limiter) initialUnits(limit Limit) float64 {
	if !l.joining {
		return limit.Burst
	}
	return l.options.tolerance(limit) * initialToleranceFraction
}

// Admit decides on a request of a tenant and takes its units if it is admitted. A
// tenant without a limit is always admitted.
func (l *Limiter) Admit(now time.Duration, tenant fleet.TenantName, amount float64) Decision {
	known := l.accounts[tenant]
	if known == nil {
		return Decision{Admitted: true, Share: 1}
	}
	shares := l.shares(now)
	known.drain(now, shares)
	share := known.updateNearLimit(now, shares, l.options.Slack)
	available, debt := known.available(share, l.joining), l.debt(share)
	decision := Decision{Limit: known.limit, Share: share, Available: available, NearLimit: known.nearLimit}
	if !known.fits(amount, available, debt) {
		decision.RetryAfter = min(known.retryAfter(amount, available, debt, share), l.options.Window)
		known.promised.take(amount)
		return decision
	}
	known.take(now, amount)
	decision.Admitted = true
	return decision
}

// debt returns by how many units one request may exceed what is left. Newcomers
// share it, since they don't hear of each other.
func (l *Limiter) debt(share float64) float64 {
	if l.joining {
		share /= assumedJoiningNodes
	}
	return l.options.Slack * debtFraction * share
}

// Charge takes the units of a further run of an admitted request.
func (l *Limiter) Charge(now time.Duration, tenant fleet.TenantName, amount float64) {
	if known := l.accounts[tenant]; known != nil {
		known.drain(now, l.shares(now))
		known.take(now, amount)
	}
}

// Refund returns the units of an admitted request that certainly didn't run.
func (l *Limiter) Refund(now time.Duration, tenant fleet.TenantName, amount float64) {
	if known := l.accounts[tenant]; known != nil {
		known.drain(now, l.shares(now))
		known.refund(amount)
	}
}

// Usages returns what this node says of tenants: all but those of which it has admitted
// nothing for quietAfter, and whose bucket is full by its belief. The report goes to one
// peer.
func (l *Limiter) Usages(now time.Duration, to fleet.NodeID) []Usage {
	l.drainAll(now)
	uses := make([]Usage, 0, len(l.accounts))
	for tenant, known := range l.accounts {
		if known.fleet.deficit > 0 || (known.total > 0 && now < known.lastTakenAt+idleReportPeriod) {
			uses = append(uses, Usage{
				Tenant: tenant, Total: uint64(known.total), Recent: uint64(known.recent),
				Deficit: uint64(known.fleet.deficit), Acknowledged: known.peerTotals[to],
			})
		}
	}
	return uses
}

// IsNearLimit tells whether any tenant is near its limit, so that peers are to be asked.
func (l *Limiter) IsNearLimit(now time.Duration) bool {
	shares, near := l.shares(now), false
	for _, known := range l.accounts {
		known.drain(now, shares)
		known.updateNearLimit(now, shares, l.options.Slack)
		near = near || known.nearLimit
	}
	return near
}

// IsJoining tells whether this node doesn't know yet what was used before its start.
func (l *Limiter) IsJoining(now time.Duration) bool {
	l.updateJoining(now)
	return l.joining
}

// updateJoining ends the time as a newcomer of a node whose peers are newcomers too.
func (l *Limiter) updateJoining(now time.Duration) {
	if l.joining && l.hasPeerReport() && now >= l.started+joinTimeout {
		l.joining, l.joinTimedOut = false, true
	}
}

func (l *Limiter) hasPeerReport() bool {
	for _, known := range l.peers {
		if known.reported {
			return true
		}
	}
	return false
}
