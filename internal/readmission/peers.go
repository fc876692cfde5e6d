package readmission

import (
	"math"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Ticket is a ticket as it is reported to other nodes.
type Ticket struct {
	Signature uint64
	Tenant    fleet.TenantName
	Priority  int
	Units     float64
	// DueIn is the time until the ticket is due, negative once it is.
	DueIn time.Duration
}

// receivedUses are the uses that another node's last report told for the first time, by signature, and
// when they are forgotten. A node tells each use in two reports that follow each other.
type receivedUses struct {
	counts  map[uint64]int
	expires time.Duration
}

// Observe applies another node's report. It returns the number of tickets that were left out since
// they are invalid, of a tenant without a limit, or above a bound.
func (b *Book) Observe(now time.Duration, node fleet.NodeID, tickets []Ticket, used []uint64) int {
	b.reports++
	dropped := max(len(tickets)-maxReportSize, 0) + max(len(used)-maxReportSize, 0)
	for index := range tickets[:min(len(tickets), maxReportSize)] {
		if !b.receive(now, node, &tickets[index]) {
			dropped++
		}
	}
	b.receiveUses(now, node, used[:min(len(used), maxReportSize)])
	b.counts.Dropped += uint64(dropped)
	return dropped
}

// isValid reports whether a received ticket is within the bounds.
func (t *Ticket) isValid() bool {
	return t.Units > 0 && !math.IsInf(t.Units, 1) && t.Priority >= 0 && t.Priority < PriorityCount &&
		t.DueIn >= -grace && t.DueIn <= maxReturn
}

// receive adds another node's ticket unless it was received before.
func (b *Book) receive(now time.Duration, node fleet.NodeID, received *Ticket) bool {
	if !received.isValid() || b.rates[received.Tenant] <= 0 {
		return false
	}
	b.expire(now, received.Tenant)
	due := now + received.DueIn
	for known := b.tickets[received.Signature]; known != nil; known = known.next {
		if known.origin == node && known.report != b.reports && (known.due-due).Abs() <= earlyTolerance {
			known.report = b.reports
			return true
		}
	}
	if !b.hasRoom(b.queue(received.Tenant), received.Signature) {
		return false
	}
	b.add(&ticket{
		signature: received.Signature, tenant: received.Tenant, priority: received.Priority, units: received.Units,
		due: due, known: now, origin: node, report: b.reports,
	})
	return true
}

// receiveUses marks the tickets that were used at another node. A use is reported twice and counts once.
func (b *Book) receiveUses(now time.Duration, node fleet.NodeID, used []uint64) {
	before := b.receivedUses[node].counts
	if len(used) == 0 {
		delete(b.receivedUses, node)
		return
	}
	counts := make(map[uint64]int, len(used))
	for _, signature := range used {
		counts[signature]++
	}
	for signature, count := range counts {
		counts[signature] = max(count-before[signature], 0)
		for range counts[signature] {
			b.markFirst(signature)
		}
	}
	b.receivedUses[node] = receivedUses{counts: counts, expires: now + 2*maxUseAge}
}

// markFirst marks the ticket with a signature that is due first as used.
func (b *Book) markFirst(signature uint64) {
	if first := b.find(signature, func(t *ticket) bool { return !t.used }); first != nil {
		b.markUsed(first)
	}
}
