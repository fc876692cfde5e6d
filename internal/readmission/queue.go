package readmission

import (
	"slices"
	"time"
)

// queue holds the tickets of one tenant.
type queue struct {
	// tickets is ordered by due time. It includes used tickets.
	tickets []*ticket
	// bookedUntil is, by priority, when the units of all tickets that this node has given have become
	// free.
	bookedUntil [PriorityCount]time.Duration
	// postponedUntil is the same for requests that returned in time and were refused.
	postponedUntil time.Duration
	newcomers      newcomers
}

// insert adds a ticket.
func (q *queue) insert(added *ticket) {
	position, _ := slices.BinarySearchFunc(q.tickets, added.due, func(t *ticket, due time.Duration) int {
		if t.due <= due {
			return -1
		}
		return 1
	})
	q.tickets = slices.Insert(q.tickets, position, added)
}

// free returns when the first unit is free that nobody takes. rate is that of the whole limit.
func (q *queue) free(now time.Duration, capacity Capacity, rate float64) time.Duration {
	return now + capacity.FreeAfter + serviceTime(q.newcomers.elsewhere(now), rate)
}

// serviceTime returns the time in which units become free at a rate.
func serviceTime(units, rate float64) time.Duration {
	if rate <= 0 {
		return maxReturn
	}
	return time.Duration(min(units/rate, maxReturn.Seconds()) * float64(time.Second))
}

// isIdle reports whether nothing is known of the tenant that matters later.
func (q *queue) isIdle(now time.Duration) bool {
	return len(q.tickets) == 0 && now > max(q.postponedUntil, slices.Max(q.bookedUntil[:])) && now > q.newcomers.at+newcomersPeriod
}

// held returns the units that a newcomer leaves: those of tickets as urgent as itself or more urgent
// that are due before soon. Less urgent ones have what the urgent leave, also once they are due.
func (q *queue) held(soon time.Duration, priority int) float64 {
	units := 0.0
	for _, ticket := range q.tickets {
		if ticket.due > soon {
			break
		}
		if !ticket.used && ticket.priority <= priority {
			units += ticket.units
		}
	}
	return units
}
