package quota

import (
	"math/rand/v2"
	"time"
)

const (
	// reserveHorizon is the time for which the demand of more urgent requests is kept. For so long
	// a node may not know what a peer has admitted before the peer counts as out of reach.
	reserveHorizon = nearLimitPeerTimeout
	// reserveStep bounds the reserve, as a fraction of the burst for each more urgent priority. Two
	// steps leave the least urgent requests 0.4 of a burst to use at once.
	reserveStep = 0.3
	// holdBackFraction bounds what is kept for returning callers, as a fraction of the burst.
	holdBackFraction = 0.3
	// negligibleDemand is the fraction of the rate below which a demand is taken to have ended.
	negligibleDemand = 0.001
	// reserveDebtFraction is the fraction of the reserve that one less urgent request may use.
	reserveDebtFraction = 0.5
	// minimumShare is the fraction of the rate that each priority gets while it has demand. Two less
	// urgent priorities then leave nine tenths to the most urgent one.
	minimumShare = 0.05
	// minimumSharePeriod bounds what a priority can save of its minimum share.
	minimumSharePeriod = time.Second
	// paceMargin is the multiple of the free rate to which nodes together pace a less urgent
	// priority. Above 1 it leaves no units unused if some nodes can't admit their part.
	paceMargin = 2
)

// leastUrgent returns the least urgent priority that has demand, 0 if none has.
func (a *account) leastUrgent() int {
	for priority := PriorityCount - 1; priority > 0; priority-- {
		if a.demand.of(priority) >= negligibleDemand*a.limit.Rate {
			return priority
		}
	}
	return 0
}

// reserve returns the units of a burst that are kept from requests of a priority. Returning callers
// come before others of their priority.
func (a *account) reserve(priority int, returning bool, burst float64) float64 {
	kept := 0.0
	for before := range priority {
		kept += a.stepReserve(before, before+1, burst, returning && before+1 == priority)
	}
	return kept
}

// stepReserve returns the units kept for requests of the priority urgent from those of the next one.
// They cover the urgent demand within reserveHorizon and what peers may admit of the next priority
// before this node hears of it. The first step also covers how much less peers may believe to be left.
func (a *account) stepReserve(urgent, next int, burst float64, returning bool) float64 {
	negligible := negligibleDemand * a.limit.Rate
	if a.demand.moreUrgent(next) < negligible {
		return 0
	}
	kept := a.demand.of(urgent) * reserveHorizon.Seconds()
	if !returning {
		kept += min(a.unknownUse(next), paceMargin*a.limit.Rate*NearLimitInterval.Seconds())
	}
	if a.demand.moreUrgent(urgent) < negligible {
		kept += a.demand.divergence
	}
	return min(kept, reserveStep*burst)
}

// reportedDemand returns the demand at this node while the tenant is near its limit.
func (a *account) reportedDemand(now time.Duration) Demand {
	if !a.nearLimit {
		return Demand{}
	}
	a.demand.decay(now)
	return a.demand.own
}

// freeRate returns the units per second that more urgent requests leave to a priority.
func (a *account) freeRate(priority int, share float64) float64 {
	rate := a.limit.Rate * share
	if priority == 0 {
		return rate
	}
	return max(rate-a.demand.moreUrgent(priority), minimumShare*rate)
}

// freeBesideMinimum returns what more urgent requests and the minimum shares leave to a priority.
func (a *account) freeBesideMinimum(priority int, share float64) float64 {
	rate, negligible := a.freeRate(priority, share), negligibleDemand*a.limit.Rate
	for other := max(priority, 1); other < PriorityCount; other++ {
		if a.demand.of(other) >= negligible && a.demand.moreUrgent(other) >= negligible {
			rate -= minimumShare * a.limit.Rate * share
		}
	}
	return max(rate, 0)
}

// holdBackLimit returns the units of a burst that newcomers of a priority leave for returning callers at
// most: none while the priority asks for less than is free for it, since then nobody need wait.
func (a *account) holdBackLimit(priority int, share, burst float64) float64 {
	if a.demand.of(priority) <= a.freeRate(priority, share) {
		return 0
	}
	return holdBackFraction * burst
}

// ownFraction returns this node's part of the demand of a priority.
func (a *account) ownFraction(priority int) float64 {
	total := a.demand.of(priority)
	if total <= 0 {
		return 1
	}
	return a.demand.own[priority] / total
}

// unknownUse returns the units of a priority that peers may admit before this node hears of it.
func (a *account) unknownUse(priority int) float64 {
	return a.demand.peerTotal[priority] * NearLimitInterval.Seconds()
}

// credit spreads what a priority may use over the nodes: callers earn a fraction of the units that
// they ask for, at whichever node they ask. It admits a request while any units are left and may
// then be negative.
type credit struct {
	units   float64
	started bool
}

// earn adds the part of rate that a request brings while callers ask for demand units per second at
// all nodes. The first request begins at a random debt, so that not all nodes admit one at once.
// What exceeds limit lapses by whole requests, which leaves the nodes apart.
func (c *credit) earn(now time.Duration, amount, rate, demand, limit float64) {
	if !c.started {
		c.started = true
		random := rand.NewPCG(uint64(now), 0)
		c.units = -amount * float64(random.Uint64()>>11) / (1 << 53)
	}
	earned := amount
	if demand > rate {
		earned *= rate / demand
	}
	c.units += earned
	if c.units > limit {
		c.units -= amount
	}
}

// spend takes the units of a request if any are left, and reports whether there were.
func (c *credit) spend(amount float64) bool {
	if c.units <= 0 {
		return false
	}
	c.units -= amount
	return true
}
