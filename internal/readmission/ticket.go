package readmission

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// ticket is a time to return that was given to the caller of a refused request.
type ticket struct {
	signature uint64
	tenant    fleet.TenantName
	priority  int
	units     float64
	due       time.Duration
	// known is when this node gave or received the ticket.
	known time.Duration
	// deadline is when the caller gives up, 0 if unknown.
	deadline time.Duration
	// origin is the node that gave the ticket, empty for this one.
	origin fleet.NodeID
	// used is set once the ticket has been used or moved, at any node. It is kept until it lapses so
	// that a late report doesn't bring it back.
	used bool
	// report is the number of the last report that contained the ticket.
	report uint64
	// next is the next ticket with the same signature.
	next *ticket
}

// isDue reports whether the caller may return.
func (t *ticket) isDue(now time.Duration) bool { return t.isDueWithin(now, earlyTolerance) }

// isDueWithin reports whether the ticket is due or will be within a tolerance.
func (t *ticket) isDueWithin(now, tolerance time.Duration) bool {
	return !t.used && now >= t.due-tolerance && !t.hasLapsed(now)
}

// mayBeUsedBy reports whether a request may return by the ticket now. A shared request for which the
// caller's deadline isn't known gets no tolerance, or newcomers would use it before its caller comes.
func (t *ticket) mayBeUsedBy(now time.Duration, request *Request) bool {
	if t.deadline == 0 && request.Shared {
		return t.isDueWithin(now, 0)
	}
	return t.isDue(now) && (!request.Shared || t.isOf(now, request))
}

func (t *ticket) hasLapsed(now time.Duration) bool { return now > t.due+grace }

// isOf reports whether a request may be of the ticket's caller. Equal requests of different callers
// differ in their deadlines, which only the node that gave the ticket knows.
func (t *ticket) isOf(now time.Duration, request *Request) bool {
	deadline := request.deadline(now)
	if t.deadline == 0 || deadline == 0 {
		return !request.Shared || deadline == 0
	}
	return (t.deadline - deadline).Abs() <= deadlineTolerance
}
