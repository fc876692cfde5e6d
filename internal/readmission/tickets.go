package readmission

import (
	"maps"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// queue returns the tickets of a tenant.
func (b *Book) queue(tenant fleet.TenantName) *queue {
	found := b.queues[tenant]
	if found == nil {
		found = &queue{}
		b.queues[tenant] = found
	}
	return found
}

// hasRoom reports whether a further ticket is within the bounds.
func (b *Book) hasRoom(tenant *queue, signature uint64) bool {
	if len(tenant.tickets) >= maxTicketsPerTenant || b.held >= maxTickets {
		return false
	}
	equal := 0
	for ticket := b.tickets[signature]; ticket != nil; ticket = ticket.next {
		equal++
	}
	return equal < maxTicketsPerSignature
}

// add adds a ticket to its queue.
func (b *Book) add(added *ticket) {
	b.queue(added.tenant).insert(added)
	added.next = b.tickets[added.signature]
	b.tickets[added.signature] = added
	b.held++
	b.waiting++
}

// unlink removes a ticket that has left its queue.
func (b *Book) unlink(removed *ticket) {
	b.held--
	if !removed.used {
		b.markUsed(removed)
	}
	first := b.tickets[removed.signature]
	if first == removed {
		if removed.next == nil {
			delete(b.tickets, removed.signature)
			return
		}
		b.tickets[removed.signature] = removed.next
		return
	}
	for ticket := first; ticket != nil; ticket = ticket.next {
		if ticket.next == removed {
			ticket.next = removed.next
			return
		}
	}
}

// expire removes a tenant's tickets that have lapsed.
func (b *Book) expire(now time.Duration, tenant fleet.TenantName) {
	queue := b.queues[tenant]
	if queue == nil {
		return
	}
	lapsed := 0
	for lapsed < len(queue.tickets) && queue.tickets[lapsed].hasLapsed(now) {
		if ticket := queue.tickets[lapsed]; !ticket.used {
			b.counts.Lapsed++
			b.lapses[tenant]++
		}
		b.unlink(queue.tickets[lapsed])
		lapsed++
	}
	queue.tickets = slices.Delete(queue.tickets, 0, lapsed)
	if queue.isIdle(now) {
		delete(b.queues, tenant)
	}
}

// Expire removes all that is out of date. It returns the number of tickets that have lapsed since the
// last call, by tenant. It is to be called some times a second.
func (b *Book) Expire(now time.Duration) map[fleet.TenantName]int {
	for tenant := range b.queues {
		b.expire(now, tenant)
	}
	b.expireNews(now)
	maps.DeleteFunc(b.receivedUses, func(_ fleet.NodeID, received receivedUses) bool { return now > received.expires })
	lapses := b.lapses
	if len(lapses) > 0 {
		b.lapses = make(map[fleet.TenantName]int)
	}
	return lapses
}
