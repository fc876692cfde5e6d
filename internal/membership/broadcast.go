package membership

import "github.com/tillerfall/tillerfall/internal/fleet"

// broadcast is one record that is still passed on.
type broadcast struct {
	node      fleet.NodeID
	transmits int
}

// broadcastQueue holds the records to piggyback, least often sent first.
type broadcastQueue struct {
	entries []broadcast
}

// push puts a changed record first and starts its count anew.
func (q *broadcastQueue) push(node fleet.NodeID) {
	kept := make([]broadcast, 1, len(q.entries)+1)
	kept[0] = broadcast{node: node}
	for _, entry := range q.entries {
		if entry.node != node {
			kept = append(kept, entry)
		}
	}
	q.entries = kept
}

// take returns up to count nodes and counts a transmission of each; a node
// sent limit times is dropped.
func (q *broadcastQueue) take(count, limit int) []fleet.NodeID {
	count = min(count, len(q.entries))
	if count <= 0 {
		return nil
	}
	taken := make([]fleet.NodeID, count)
	rest := make([]broadcast, 0, len(q.entries))
	rest = append(rest, q.entries[count:]...)
	for i, entry := range q.entries[:count] {
		taken[i] = entry.node
		entry.transmits++
		if entry.transmits < limit {
			rest = append(rest, entry)
		}
	}
	q.entries = rest
	return taken
}
