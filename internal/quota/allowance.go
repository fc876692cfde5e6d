package quota

import "time"

// allowance is what is left of a tenant's limit for one request.
type allowance struct {
	account  *account
	request  *Request
	priority int
	class    sizeClass
	// share is the share of the limit that applies, burst the units of a full bucket with it.
	share float64
	burst float64
	// available is the units left, of which reserve are kept for more urgent requests and holdBack
	// for returning callers.
	available float64
	reserve   float64
	holdBack  float64
	// debt is the units by which one request may exceed what is available.
	debt float64
}

// kept returns the units kept from the request.
func (a *allowance) kept() float64 { return a.reserve + a.holdBack }

// debtBeside returns the units by which one request may exceed what is available while kept units
// are kept for others. Most of these must remain.
func (a *allowance) debtBeside(kept float64) float64 {
	if kept <= 0 {
		return a.debt
	}
	return min(a.debt, kept*reserveDebtFraction)
}

func (a *allowance) fitsBeside(kept float64) bool {
	return a.account.fits(a.request.Amount, a.available-kept, a.debtBeside(kept))
}

// decide returns whether the request is admitted, and why.
func (a *allowance) decide(now time.Duration) Cause {
	paced, first := true, false
	if a.reserve > 0 {
		a.earnMinimum(now)
		withinPace := a.spendPace(now)
		paced = withinPace || a.isPaceless()
		first = withinPace && a.class == cheapSize
	}
	switch {
	case paced && a.fitsBeside(a.kept()):
		return a.admissionCause()
	case first && a.fitsBeside(a.keptFromCheap()):
		return AsCheap
	case a.fitsMinimum():
		return ByMinimumShare
	case a.fitsBeside(0):
		return KeptForOthers
	default:
		return LimitUsed
	}
}

// spendPace reports whether this node may admit the request by its part of what all nodes may admit
// of its class. Otherwise each node would admit the same units before it hears of the others. Cheap
// requests have no margin, since they may use units that are kept from the others of their priority.
func (a *allowance) spendPace(now time.Duration) bool {
	account, amount := a.account, a.request.Amount
	rate, limit := account.classRate(a.priority, a.class, account.freeRate(a.priority, a.share)), amount
	if a.class == cheapSize {
		// One of the largest cheap requests mustn't hold up smaller ones after it.
		limit = cheapFraction * account.sizes[a.priority].usual()
	} else {
		rate *= paceMargin
	}
	pace := &account.pace[a.priority][a.class]
	pace.earn(now, amount, rate, account.classDemand(a.priority, a.class), limit)
	return pace.spend(amount)
}

// isPaceless reports whether the request needs no pace.
func (a *allowance) isPaceless() bool {
	return a.request.Returning || a.available-a.kept() > a.account.unknownUse(a.priority)
}

// keptFromCheap returns the part of the units kept for others that is kept from a cheap request: as its
// size to the usual one, and more the more of the free rate cheap requests take, since these together
// use what the urgent need.
func (a *allowance) keptFromCheap() float64 {
	usual, free := a.account.sizes[a.priority].usual(), a.account.freeRate(a.priority, a.share)
	if usual <= 0 || free <= 0 {
		return a.kept()
	}
	taken := a.account.cheapUse(a.priority, free) / free
	return a.kept() * min(max(a.request.Amount/usual, taken), 1)
}

// admissionCause returns why a request that fits is admitted.
func (a *allowance) admissionCause() Cause {
	other := *a.request
	other.Returning = false
	holdBack := other.holdBack(a.account.holdBackLimit(a.priority, a.share, a.burst))
	least := max(a.account.leastUrgent(), a.priority)
	switch {
	case a.fitsBeside(a.account.reserve(least, false, a.burst) + holdBack):
		return WithinLimit
	case !a.fitsBeside(a.account.reserve(a.priority, false, a.burst) + holdBack):
		return AsReturning
	default:
		return FromReserve
	}
}

// earnMinimum adds what the request brings to the minimum share of its priority.
func (a *allowance) earnMinimum(now time.Duration) {
	rate := a.account.classRate(a.priority, a.class, minimumShare*a.account.limit.Rate*a.share)
	limit := rate * minimumSharePeriod.Seconds() * a.account.ownFraction(a.priority)
	a.account.minimum[a.priority][a.class].earn(now, a.request.Amount, rate, a.account.classDemand(a.priority, a.class), limit)
}

// fitsMinimum reports whether the minimum share admits the request. It applies only while a reserve
// does, and may leave the same debt as any request.
func (a *allowance) fitsMinimum() bool {
	return a.reserve > 0 && a.account.minimum[a.priority][a.class].units > 0 && a.available+a.debt >= a.request.Amount
}

// take takes the units of the admitted request.
func (a *allowance) take(now time.Duration) {
	a.account.take(now, a.request.Amount)
	a.account.minimum[a.priority][a.class].spend(a.request.Amount)
}

// promise returns the time until the refused request fits after those refused before it, at most
// window, and records that it was told so.
func (a *allowance) promise(now, window time.Duration) time.Duration {
	rate := a.account.freeRate(a.priority, a.share)
	// Other nodes promise their part of what is free.
	ownRate := rate * a.account.ownFraction(a.priority)
	if ownRate <= 0 {
		// Only requests of no units come to this node.
		return 0
	}
	promised := &a.account.promised[a.priority]
	promised.drain(now, ownRate)
	amount := a.request.Amount
	seconds := a.missing(a.kept())/rate + promised.deficit/ownRate
	promised.deficit = min(promised.deficit+amount, ownRate*window.Seconds())
	return time.Duration(min(seconds, window.Seconds()) * float64(time.Second))
}

// free returns the rate at which units become free for the request's priority and the time until they
// are for the request when it returns, at most window. The rate is 0 if nothing is left beside the
// minimum shares: which of their callers get those can't be said before.
func (a *allowance) free(window time.Duration) (rate float64, after time.Duration) {
	rate = a.account.freeBesideMinimum(a.priority, a.share)
	if rate <= 0 {
		return 0, 0
	}
	seconds := a.missing(a.account.reserve(a.priority, true, a.burst)) / rate
	return rate, time.Duration(min(seconds, window.Seconds()) * float64(time.Second))
}

// missing returns the units that must become free before the request fits beside kept ones.
func (a *allowance) missing(kept float64) float64 {
	missing := max(a.request.Amount-a.debtBeside(kept), 0) - (a.available - kept)
	return max(min(missing, a.account.fleet.deficit), 0)
}
