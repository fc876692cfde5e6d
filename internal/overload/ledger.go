package overload

import (
	"cmp"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	// useHalfLife is the time in which recorded engine time decays by half: a few exchanges of reports,
	// and short against a caller's deadline.
	useHalfLife = 2 * time.Second
	// unmetHalfLife is the same for unmet demand. It is shorter, so that tenants are not held back for
	// long after the others have stopped asking for more.
	unmetHalfLife = 500 * time.Millisecond
	// decayInterval is the time between two decays: short against both half-lives, so that it is not
	// noticed, and long enough for the cost of a decay of all tenants.
	decayInterval = 50 * time.Millisecond
	// maxTenants bounds the tenants of a ledger, and of the totals over all nodes, so that their memory
	// and the time of a decay are bounded.
	maxTenants = 1024
	// minUse is the engine time below which a tenant is dropped, too little to matter to a share.
	minUse = time.Millisecond
	// MaxReported is the maximum number of tenants of a report. It bounds what nodes send each other.
	MaxReported = 32
)

// Use is the recent engine time of a tenant's requests.
type Use struct {
	Tenant fleet.TenantName
	// Used is the engine time of placed requests. Unmet is that of requests that were refused, or
	// placed although they would be late.
	Used, Unmet time.Duration
}

// amounts are the amounts of a Use.
type amounts struct{ used, unmet time.Duration }

func (a amounts) plus(other amounts) amounts {
	return amounts{used: a.used + other.used, unmet: a.unmet + other.unmet}
}

func (a amounts) demand() time.Duration { return a.used + a.unmet }

// ledger holds the recent engine time of this node's requests by tenant.
type ledger struct {
	tenants   map[fleet.TenantName]amounts
	decayedAt time.Duration
}

// advance decays the amounts to now and drops tenants without use.
func (l *ledger) advance(now time.Duration) {
	elapsed := now - l.decayedAt
	if elapsed < decayInterval {
		return
	}
	l.decayedAt = now
	usedFactor, unmetFactor := halvings(elapsed, useHalfLife), halvings(elapsed, unmetHalfLife)
	for tenant, amount := range l.tenants {
		amount = amounts{used: scale(amount.used, usedFactor), unmet: scale(amount.unmet, unmetFactor)}
		if amount.demand() < minUse {
			delete(l.tenants, tenant)
			continue
		}
		l.tenants[tenant] = amount
	}
}

// add records engine time. Requests without a tenant have no share and are not recorded. With
// maxTenants tenants, those not yet known are not recorded and count as without use.
func (l *ledger) add(now time.Duration, tenant fleet.TenantName, amount amounts) {
	if tenant == "" {
		return
	}
	l.advance(now)
	addBounded(l.tenants, tenant, amount)
}

// addBounded adds an amount to those of at most maxTenants tenants.
func addBounded(tenants map[fleet.TenantName]amounts, tenant fleet.TenantName, amount amounts) {
	previous, known := tenants[tenant]
	if known || len(tenants) < maxTenants {
		tenants[tenant] = previous.plus(amount)
	}
}

// report returns the tenants with at least one part in MaxReported of the demand, the largest first.
// Smaller ones cannot crowd out others.
func (l *ledger) report() []Use {
	total := time.Duration(0)
	for _, amount := range l.tenants {
		total += amount.demand()
	}
	var uses []Use
	for tenant, amount := range l.tenants {
		if amount.demand() >= total/MaxReported {
			uses = append(uses, Use{Tenant: tenant, Used: amount.used, Unmet: amount.unmet})
		}
	}
	slices.SortFunc(uses, func(a, b Use) int {
		return cmp.Or(cmp.Compare(b.Used+b.Unmet, a.Used+a.Unmet), cmp.Compare(a.Tenant, b.Tenant))
	})
	return uses[:min(len(uses), MaxReported)]
}
