package membership

import (
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// broadcast is a record that is still being piggybacked.
type broadcast struct {
	node          fleet.NodeID
	transmissions int
}

// broadcastQueue holds the records to piggyback, those sent most often first. The end of the slice
// is sent next.
type broadcastQueue struct {
	entries []broadcast
	queued  map[fleet.NodeID]bool
}

// push makes a changed record the next to be sent and resets its number of transmissions.
func (q *broadcastQueue) push(node fleet.NodeID) {
	if q.queued == nil {
		q.queued = make(map[fleet.NodeID]bool)
	}
	if q.queued[node] {
		q.entries = slices.DeleteFunc(q.entries, func(entry broadcast) bool { return entry.node == node })
	}
	q.queued[node] = true
	q.entries = append(q.entries, broadcast{node: node})
}

// take returns up to count nodes and counts a transmission of each. Nodes sent limit times are
// removed.
func (q *broadcastQueue) take(count, limit int) []fleet.NodeID {
	count = min(count, len(q.entries))
	if count <= 0 {
		return nil
	}
	rest := q.entries[:len(q.entries)-count]
	taken := make([]fleet.NodeID, 0, count)
	var again []broadcast
	for _, entry := range q.entries[len(rest):] {
		taken = append(taken, entry.node)
		entry.transmissions++
		if entry.transmissions < limit {
			again = append(again, entry)
		} else {
			delete(q.queued, entry.node)
		}
	}
	q.entries = slices.Insert(rest, 0, again...)
	return taken
}
