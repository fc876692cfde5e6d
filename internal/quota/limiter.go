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
	// joinTimedOut is set if this node stopped joining without a peer to synchronize with.
	joinTimedOut bool
	accounts     map[fleet.TenantName]*account
	peers        map[fleet.NodeID]*peer
	// departed holds removed peers, which report to other nodes.
	departed map[fleet.NodeID]departedPeer
	// reportRounds is the number of rounds in which each peer reports once.
	reportRounds int
	// ownRate is this node's requests per second.
	ownRate float64
	// lastUpdateAt is when this node last updated its accounts, and reachableShare the share of
	// this node and its reachable peers at that time.
	lastUpdateAt   time.Duration
	reachableShare float64
	// stalePeers is the memory of shares.stale.
	stalePeers []stalePeer
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

// SetLimits replaces the limits of all tenants. A tenant that is missing, or whose rate is 0, has
// no limit.
func (l *Limiter) SetLimits(now time.Duration, limits map[fleet.TenantName]Limit) {
	l.drainAll(now)
	for tenant, account := range l.accounts {
		if limits[tenant].Rate <= 0 {
			delete(l.accounts, tenant)
			continue
		}
		account.setLimit(limits[tenant])
	}
	for tenant, limit := range limits {
		if limit.Rate <= 0 || l.accounts[tenant] != nil {
			continue
		}
		l.accounts[tenant] = newAccount(now, limit, l.initialUnits(limit))
	}
}

// IsUnlimited reports whether no tenant has a limit.
func (l *Limiter) IsUnlimited() bool { return len(l.accounts) == 0 }

// initialUnits returns the units left in a new bucket. While this node is joining, earlier use
// isn't known.
func (l *Limiter) initialUnits(limit Limit) float64 {
	if !l.joining {
		return limit.Burst
	}
	return l.options.tolerance(limit) * initialToleranceFraction
}

// Admit decides on a tenant's request and takes its units if it is admitted. A tenant without a
// limit is always admitted.
func (l *Limiter) Admit(now time.Duration, request Request) Decision {
	account := l.accounts[request.Tenant]
	if account == nil {
		return Decision{Admitted: true, Share: 1}
	}
	account.demand.ask(now, request.priority(), request.Amount)
	class := account.sizes[request.priority()].ask(now, request.Amount, account.limit.Burst)
	share := l.updateAccount(now, account, l.shares(now))
	allowance := l.allowance(account, &request, class, share)
	decision := Decision{
		Limit: account.limit, Share: share, Available: allowance.available, Reserved: allowance.kept(), NearLimit: account.nearLimit,
		Cause: allowance.decide(now),
	}
	decision.Admitted = decision.Cause.admits()
	if decision.Admitted {
		allowance.take(now)
	} else {
		decision.RetryAfter = allowance.promise(now, l.options.Window)
		decision.FreeRate, decision.FreeAfter = allowance.free(l.options.Window)
	}
	return decision
}

// updateAccount updates an account to now and returns the share of the limit that applies.
func (l *Limiter) updateAccount(now time.Duration, account *account, shares shares) float64 {
	account.drain(now, shares)
	account.demand.decay(now)
	account.demand.expire(now, time.Duration(l.reportRounds)*demandLifetime)
	return account.updateNearLimit(now, shares, l.options.Slack)
}

// allowance returns what is left of a tenant's limit for a request.
func (l *Limiter) allowance(account *account, request *Request, class sizeClass, share float64) allowance {
	burst := account.limit.Burst * share
	if l.joining {
		burst = min(burst, account.limit.Burst/assumedJoiningNodes)
	}
	priority := request.priority()
	return allowance{
		account: account, request: request, priority: priority, class: class, share: share,
		available: account.available(share, l.joining),
		debt:      l.debt(share),
		burst:     burst,
		reserve:   account.reserve(priority, request.Returning, burst),
		holdBack:  request.holdBack(account.holdBackLimit(priority, share, burst)),
	}
}

// debt returns the units by which one request may exceed what is available. Joining nodes share it,
// since they don't receive each other's reports.
func (l *Limiter) debt(share float64) float64 {
	if l.joining {
		share /= assumedJoiningNodes
	}
	return l.options.Slack * debtFraction * share
}

// Charge takes the units of a further run of an admitted request.
func (l *Limiter) Charge(now time.Duration, tenant fleet.TenantName, amount float64) {
	if account := l.accounts[tenant]; account != nil {
		account.drain(now, l.shares(now))
		account.take(now, amount)
	}
}

// Refund returns the units of an admitted request that certainly didn't run.
func (l *Limiter) Refund(now time.Duration, tenant fleet.TenantName, amount float64) {
	if account := l.accounts[tenant]; account != nil {
		account.drain(now, l.shares(now))
		account.refund(amount)
	}
}

// Usages returns this node's report to the peer to. It leaves out tenants whose bucket is full and
// of which this node has admitted nothing for idleReportPeriod.
func (l *Limiter) Usages(now time.Duration, to fleet.NodeID) []Usage {
	l.drainAll(now)
	usages := make([]Usage, 0, len(l.accounts))
	for tenant, account := range l.accounts {
		if account.fleet.deficit > 0 || (account.total > 0 && now < account.lastTakenAt+idleReportPeriod) {
			usages = append(usages, Usage{
				Tenant: tenant, Total: uint64(account.total), Recent: uint64(account.recent),
				Deficit: uint64(account.fleet.deficit), Acknowledged: account.peerTotals[to],
				Demand: account.reportedDemand(now),
			})
		}
	}
	return usages
}

// IsNearLimit reports whether any tenant is near its limit, so that peers are to be asked for their
// use.
func (l *Limiter) IsNearLimit(now time.Duration) bool {
	shares, near := l.shares(now), false
	for _, account := range l.accounts {
		l.updateAccount(now, account, shares)
		near = near || account.nearLimit
	}
	return near
}

// IsJoining reports whether this node doesn't know yet what was used before its start.
func (l *Limiter) IsJoining(now time.Duration) bool {
	l.updateJoining(now)
	return l.joining
}

// updateJoining ends the joining state after joinTimeout if peers have reported, all of them
// joining too.
func (l *Limiter) updateJoining(now time.Duration) {
	if l.joining && l.hasPeerReport() && now >= l.started+joinTimeout {
		l.joining, l.joinTimedOut = false, true
	}
}

func (l *Limiter) hasPeerReport() bool {
	for _, peer := range l.peers {
		if peer.reported {
			return true
		}
	}
	return false
}
