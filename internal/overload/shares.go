package overload

import (
	"math"
	"slices"
	"time"
)

const (
	// shareInterval is the time between two computations of the share: that between two reports.
	shareInterval = 50 * time.Millisecond
	// minUnmetFraction is the fraction of the demand above which unmet demand counts as shortage. Single
	// late requests are none.
	minUnmetFraction = 0.02
	// nearShare is the fraction of the share from which on a tenant counts as at its share. If only one
	// tenant wants more, its use is the share itself, so that an exact comparison would depend on
	// rounding.
	nearShare = 0.95
)

// fairShare returns the max-min fair share of a capacity: the amount to which each demand is limited
// so that their sum is the capacity. It returns 0 if the capacity meets all demands. It sorts the
// demands.
func fairShare(demands []time.Duration, capacity time.Duration) time.Duration {
	slices.Sort(demands)
	for index, demand := range demands {
		equal := capacity / time.Duration(len(demands)-index)
		if demand > equal {
			return equal
		}
		capacity -= demand
	}
	return 0
}

// updateShare computes the totals over all nodes and the share, at most once each shareInterval.
// While engine time is short, the capacity is what is used.
func (c *Controller) updateShare(now time.Duration) {
	if now < c.nextShareAt {
		return
	}
	c.nextShareAt = now + shareInterval
	c.own.advance(now)
	clear(c.totals)
	for tenant, amount := range c.own.tenants {
		c.totals[tenant] = amount
	}
	c.addPeers(now)
	c.demands = c.demands[:0]
	var sum amounts
	for _, amount := range c.totals {
		c.demands = append(c.demands, amount.demand())
		sum = sum.plus(amount)
	}
	c.share, c.isShort = 0, sum.unmet > 0
	if sum.unmet > scale(sum.demand(), minUnmetFraction) {
		c.share = fairShare(c.demands, sum.used)
	}
}

// isAtShare reports whether a tenant has used its share while engine time is short.
func (c *Controller) isAtShare(used time.Duration) bool {
	return c.share > 0 && used >= scale(c.share, nearShare)
}

// TenantsAtShare returns the number of tenants that want more than their share while engine time is short.
func (c *Controller) TenantsAtShare(now time.Duration) int {
	c.updateShare(now)
	count := 0
	for _, amount := range c.totals {
		if c.isAtShare(amount.used) && amount.demand() > c.share {
			count++
		}
	}
	return count
}

// rate converts recent engine time to engine seconds a second. Use at a constant rate adds up to the
// rate times the mean lifetime, which is the half-life over ln 2.
func rate(amount time.Duration) float64 {
	return amount.Seconds() * math.Ln2 / useHalfLife.Seconds()
}
