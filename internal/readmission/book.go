package readmission

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Book holds the tickets that this node has given and those that it has received.
type Book struct {
	// rates holds the limits of tenants, in units per second.
	rates  map[fleet.TenantName]float64
	queues map[fleet.TenantName]*queue
	// tickets holds, by signature, the first of the tickets linked by next.
	tickets map[uint64]*ticket
	// held is the number of tickets in all queues, waiting that of those which aren't used.
	held    int
	waiting int
	// given and uses are what is to be reported.
	given newsLog
	uses  newsLog
	// receivedUses holds the uses that other nodes have reported lately.
	receivedUses map[fleet.NodeID]receivedUses
	told         toldTimes
	// reports counts the received reports.
	reports uint64
	counts  Counts
	lapses  map[fleet.TenantName]int
}

// Counts are the numbers of events since the start.
type Counts struct {
	// OfferedKept and OfferedWithout count refusals with and without a ticket.
	OfferedKept    uint64
	OfferedWithout uint64
	// Used counts tickets used at this node, Lapsed those that were held here to their end.
	Used   uint64
	Lapsed uint64
	// Dropped counts tickets that were dropped for a changed limit, and received ones that are
	// invalid or above a bound.
	Dropped uint64
}

// NewBook returns a book without tickets.
func NewBook() *Book {
	return &Book{
		rates:        make(map[fleet.TenantName]float64),
		queues:       make(map[fleet.TenantName]*queue),
		tickets:      make(map[uint64]*ticket),
		given:        newNewsLog(),
		uses:         newNewsLog(),
		receivedUses: make(map[fleet.NodeID]receivedUses),
		lapses:       make(map[fleet.TenantName]int),
	}
}

// Counts returns the numbers of events.
func (b *Book) Counts() Counts { return b.counts }

// Waiting returns the number of tickets that may still be used.
func (b *Book) Waiting() int { return b.waiting }

// Offer returns when a refused request is to return. It makes a ticket if the caller waits so long.
// A caller that holds a ticket and comes early is told the rest of its time. One that comes when it
// is due and is refused nevertheless gets another ticket before all others.
func (b *Book) Offer(now time.Duration, request Request, capacity Capacity) Offer {
	b.expire(now, request.Tenant)
	if early := b.earlyTicket(now, &request); early != nil {
		return Offer{RetryAfter: early.due - now, Kept: true}
	}
	if left := b.told.left(now, &request); left > 0 {
		return Offer{RetryAfter: left}
	}
	if b.rates[request.Tenant] <= 0 || capacity.ownRate() <= 0 || request.Units <= 0 {
		b.counts.OfferedWithout++
		return Offer{RetryAfter: min(max(capacity.FreeAfter, capacity.RetryAfter, 0), maxReturn)}
	}
	b.queue(request.Tenant).newcomers.ownFraction = min(capacity.OwnFraction, 1)
	due := b.find(request.Signature, func(t *ticket) bool { return t.isDue(now) && t.isOf(now, &request) })
	if due != nil {
		return b.postpone(now, due, &request, capacity)
	}
	return b.schedule(now, &request, capacity)
}

// schedule finds the next time for a request and makes a ticket if the caller waits so long.
func (b *Book) schedule(now time.Duration, request *Request, capacity Capacity) Offer {
	tenant, priority := b.queue(request.Tenant), request.priority()
	start := max(tenant.free(now, capacity, b.rates[request.Tenant]), tenant.bookedUntil[priority])
	return b.place(now, request, capacity, booking{start, bookedFraction, &tenant.bookedUntil[priority]})
}

// postpone replaces a ticket whose request returned in time and was refused. It goes before others in
// the part of the rate that isn't booked: tickets that are due meanwhile can't be moved.
func (b *Book) postpone(now time.Duration, due *ticket, request *Request, capacity Capacity) Offer {
	tenant := b.queue(request.Tenant)
	b.spend(now, due)
	if request.TargetLeft > 0 {
		request.TargetLeft = max(request.TargetLeft-(now-due.known), 1)
	}
	start := max(tenant.free(now, capacity, b.rates[request.Tenant]), tenant.postponedUntil)
	return b.place(now, request, capacity, booking{start, 1 - bookedFraction, &tenant.postponedUntil})
}

// booking is where a ticket is to be placed: from start on, in a fraction of the node's rate. until
// is when the units booked there become free.
type booking struct {
	start    time.Duration
	fraction float64
	until    *time.Duration
}

// place makes a ticket for a request and books its units. The nodes' tickets are spread over the time in
// which the units become free. A caller that can't be given one is told the limiter's time, which
// staggers such callers, but none before the tickets.
func (b *Book) place(now time.Duration, request *Request, capacity Capacity, at booking) Offer {
	duration := serviceTime(request.Units, capacity.ownRate()*at.fraction)
	due := max(at.start+time.Duration(phase(request.Signature)*float64(duration)), b.knownBy(now))
	if due-now > request.ticketWait() || !b.hasRoom(b.queue(request.Tenant), request.Signature) {
		b.counts.OfferedWithout++
		wait := min(max(capacity.RetryAfter, at.start-now), maxReturn)
		b.told.add(now, request, wait)
		return Offer{RetryAfter: wait}
	}
	*at.until = at.start + duration
	b.give(now, request, due)
	return Offer{RetryAfter: due - now, Kept: true}
}

// phase returns a number in [0, 1) that is evenly distributed over signatures.
func phase(signature uint64) float64 { return float64(signature>>11) / (1 << 53) }

// IsDue reports whether a request may use a ticket.
func (b *Book) IsDue(now time.Duration, request Request) bool {
	return b.dueTicket(now, &request) != nil
}

// Claim returns whether a request returns when it was told, and otherwise the units that it has to leave
// for those that do. One that comes early leaves the units of all tickets, or coming all the time would
// pay.
func (b *Book) Claim(now time.Duration, request Request) (returning bool, holdBack float64) {
	if b.IsDue(now, request) {
		return true, 0
	}
	if b.earlyTicket(now, &request) != nil || b.told.left(now, &request) > 0 {
		return false, b.holdBack(now, request.Tenant, now+maxReturn, PriorityCount)
	}
	return false, b.HoldBack(now, request.Tenant, request.Priority)
}

// Use uses the ticket of a request that was admitted, if it has one. It reports whether the ticket
// was due: a request that came early and found room is no return.
func (b *Book) Use(now time.Duration, request Request) bool {
	if due := b.dueTicket(now, &request); due != nil {
		b.spend(now, due)
		b.counts.Used++
		return true
	}
	tenant := b.queue(request.Tenant)
	tenant.newcomers.add(now, request.Units)
	if early := b.earlyTicket(now, &request); early != nil && early.deadline != 0 && request.TimeLeft > 0 {
		b.spend(now, early)
	}
	return false
}

// HoldBack returns the units that a newcomer of a priority has to leave: those of tickets that are due
// or soon will be and are at least as urgent, and what other nodes have probably admitted
// meanwhile. It is 0 while nobody waits.
func (b *Book) HoldBack(now time.Duration, tenant fleet.TenantName, priority int) float64 {
	return b.holdBack(now, tenant, now+holdAhead, clampPriority(priority))
}

// holdBack is HoldBack for tickets that are due before soon.
func (b *Book) holdBack(now time.Duration, tenant fleet.TenantName, soon time.Duration, priority int) float64 {
	b.expire(now, tenant)
	queue := b.queues[tenant]
	if queue == nil {
		return 0
	}
	held := queue.held(soon, priority)
	if held == 0 {
		return 0
	}
	return held + queue.newcomers.elsewhere(now)
}

// dueTicket returns the ticket that a request may use and that has been due for the longest time.
func (b *Book) dueTicket(now time.Duration, request *Request) *ticket {
	return b.find(request.Signature, func(t *ticket) bool { return t.mayBeUsedBy(now, request) })
}

// earlyTicket returns the ticket of a caller that comes before it is due.
func (b *Book) earlyTicket(now time.Duration, request *Request) *ticket {
	return b.find(request.Signature, func(t *ticket) bool {
		return !t.used && now < t.due-earlyTolerance && t.isOf(now, request)
	})
}

// find returns the soonest due of the tickets with a signature that match.
func (b *Book) find(signature uint64, matches func(*ticket) bool) *ticket {
	var found *ticket
	for ticket := b.tickets[signature]; ticket != nil; ticket = ticket.next {
		if matches(ticket) && (found == nil || ticket.due < found.due) {
			found = ticket
		}
	}
	return found
}

// give makes a ticket of this node.
func (b *Book) give(now time.Duration, request *Request, due time.Duration) {
	given := &ticket{
		signature: request.Signature, tenant: request.Tenant, priority: request.priority(), units: request.Units,
		due: due, known: now, deadline: request.deadline(now),
	}
	b.add(given)
	b.given.add(now, given)
	b.counts.OfferedKept++
}

// spend marks a ticket as used and has the other nodes told.
func (b *Book) spend(now time.Duration, spent *ticket) {
	b.markUsed(spent)
	b.uses.add(now, spent)
}

// markUsed marks a ticket as used.
func (b *Book) markUsed(used *ticket) {
	used.used = true
	b.waiting--
}
