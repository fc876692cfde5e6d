package quota

import "time"

// room is what is left of a tenant's limit for one request.
type room struct {
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
func (r *room) kept() float64 { return r.reserve + r.holdBack }

// debtBeside returns the units by which one request may exceed what is available while kept units
// are kept for others. Most of these must remain.
func (r *room) debtBeside(kept float64) float64 {
	if kept <= 0 {
		return r.debt
	}
	return min(r.debt, kept*reserveDebtFraction)
}

func (r *room) fitsBeside(kept float64) bool {
	return r.account.fits(r.request.Amount, r.available-kept, r.debtBeside(kept))
}

// decide returns whether the request is admitted, and why.
func (r *room) decide(now time.Duration) Cause {
	paced, first := true, false
	if r.reserve > 0 {
		r.earnMinimum(now)
		withinPace := r.spendPace(now)
		paced = withinPace || r.isPaceless()
		first = withinPace && r.class == cheapSize
	}
	switch {
	case paced && r.fitsBeside(r.kept()):
		return r.admissionCause()
	case first && r.fitsBeside(r.keptFromCheap()):
		return AsCheap
	case r.fitsMinimum():
		return ByMinimumShare
	case r.fitsBeside(0):
		return KeptForOthers
	default:
		return LimitUsed
	}
}

// spendPace reports whether this node may admit the request by its part of what all nodes may admit
// of its class. Otherwise each node would admit the same units before it hears of the others. Cheap
// requests have no margin, since they may use units that are kept from the others of their priority.
func (r *room) spendPace(now time.Duration) bool {
	account, amount := r.account, r.request.Amount
	rate, limit := account.classRate(r.priority, r.class, account.freeRate(r.priority, r.share)), amount
	if r.class == cheapSize {
		// One of the largest cheap requests mustn't hold up smaller ones after it.
		limit = cheapFraction * account.sizes[r.priority].usual()
	} else {
		rate *= paceMargin
	}
	pace := &account.pace[r.priority][r.class]
	pace.earn(now, amount, rate, account.classDemand(r.priority, r.class), limit)
	return pace.spend(amount)
}

// isPaceless reports whether the request needs no pace.
func (r *room) isPaceless() bool {
	return r.request.Returning || r.available-r.kept() > r.account.unknownUse(r.priority)
}

// keptFromCheap returns the part of the units kept for others that is kept from a cheap request: as its
// size to the usual one, and more the more of the free rate cheap requests take, since these together
// use what the urgent need.
func (r *room) keptFromCheap() float64 {
	usual, free := r.account.sizes[r.priority].usual(), r.account.freeRate(r.priority, r.share)
	if usual <= 0 || free <= 0 {
		return r.kept()
	}
	taken := r.account.cheapUse(r.priority, free) / free
	return r.kept() * min(max(r.request.Amount/usual, taken), 1)
}

// admissionCause returns why a request that fits is admitted.
func (r *room) admissionCause() Cause {
	other := *r.request
	other.Returning = false
	holdBack := other.holdBack(r.account.holdBackLimit(r.priority, r.share, r.burst))
	least := max(r.account.leastUrgent(), r.priority)
	switch {
	case r.fitsBeside(r.account.reserve(least, false, r.burst) + holdBack):
		return WithinLimit
	case !r.fitsBeside(r.account.reserve(r.priority, false, r.burst) + holdBack):
		return AsReturning
	default:
		return FromReserve
	}
}

// earnMinimum adds what the request brings to the minimum share of its priority.
func (r *room) earnMinimum(now time.Duration) {
	rate := r.account.classRate(r.priority, r.class, minimumShare*r.account.limit.Rate*r.share)
	limit := rate * minimumSharePeriod.Seconds() * r.account.ownFraction(r.priority)
	r.account.minimum[r.priority][r.class].earn(now, r.request.Amount, rate, r.account.classDemand(r.priority, r.class), limit)
}

// fitsMinimum reports whether the minimum share admits the request. It applies only while a reserve
// does, and may leave the same debt as any request.
func (r *room) fitsMinimum() bool {
	return r.reserve > 0 && r.account.minimum[r.priority][r.class].units > 0 && r.available+r.debt >= r.request.Amount
}

// take takes the units of the admitted request.
func (r *room) take(now time.Duration) {
	r.account.take(now, r.request.Amount)
	r.account.minimum[r.priority][r.class].spend(r.request.Amount)
}

// promise returns the time until the refused request fits after those refused before it, at most
// window, and records that it was told so.
func (r *room) promise(now, window time.Duration) time.Duration {
	rate := r.account.freeRate(r.priority, r.share)
	// Other nodes promise their part of what is free.
	ownRate := rate * r.account.ownFraction(r.priority)
	if ownRate <= 0 {
		// Only requests of no units come to this node.
		return 0
	}
	promised := &r.account.promised[r.priority]
	promised.drain(now, ownRate)
	amount := r.request.Amount
	seconds := r.missing(r.kept())/rate + promised.deficit/ownRate
	promised.deficit = min(promised.deficit+amount, ownRate*window.Seconds())
	return time.Duration(min(seconds, window.Seconds()) * float64(time.Second))
}

// free returns the rate at which units become free for the request's priority and the time until they
// are for the request when it returns, at most window. The rate is 0 if nothing is left beside the
// minimum shares: which of their callers get those can't be said before.
func (r *room) free(window time.Duration) (rate float64, after time.Duration) {
	rate = r.account.freeBesideMinimum(r.priority, r.share)
	if rate <= 0 {
		return 0, 0
	}
	seconds := r.missing(r.account.reserve(r.priority, true, r.burst)) / rate
	return rate, time.Duration(min(seconds, window.Seconds()) * float64(time.Second))
}

// missing returns the units that must become free before the request fits beside kept ones.
func (r *room) missing(kept float64) float64 {
	missing := max(r.request.Amount-r.debtBeside(kept), 0) - (r.available - kept)
	return max(min(missing, r.account.fleet.deficit), 0)
}
