package membership

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// record is a member with this node's local state about it.
type record struct {
	Member
	// stateSince is when the current state was entered.
	stateSince time.Duration
	// suspicionDeadline is when a suspect is declared dead.
	suspicionDeadline time.Duration
}

// table holds the records sorted by node and the tombstones of expired ones.
type table struct {
	byNode map[fleet.NodeID]*record
	sorted []*record
	// tombstones holds the last incarnation of expired members, which keeps stale claims from
	// resurrecting them. tombstoneOrder lists them from the oldest.
	tombstones     map[fleet.NodeID]fleet.Incarnation
	tombstoneOrder []fleet.NodeID
	maxTombstones  int
}

func newTable(maxTombstones int) table {
	return table{
		byNode:        make(map[fleet.NodeID]*record),
		tombstones:    make(map[fleet.NodeID]fleet.Incarnation),
		maxTombstones: maxTombstones,
	}
}

func compareRecordToNode(r *record, node fleet.NodeID) int {
	return compareNodes(r.Member, Member{Node: node})
}

func (t *table) insert(member Member, now time.Duration) *record {
	added := &record{Member: member, stateSince: now}
	index, _ := slices.BinarySearchFunc(t.sorted, member.Node, compareRecordToNode)
	t.sorted = slices.Insert(t.sorted, index, added)
	t.byNode[member.Node] = added
	return added
}

// expireDead replaces the records that died before the given time by tombstones.
func (t *table) expireDead(before time.Duration) {
	t.sorted = slices.DeleteFunc(t.sorted, func(r *record) bool {
		if r.State != Dead || r.stateSince >= before {
			return false
		}
		delete(t.byNode, r.Node)
		t.addTombstone(r.Member)
		return true
	})
}

func (t *table) addTombstone(member Member) {
	if _, known := t.tombstones[member.Node]; !known {
		t.tombstoneOrder = append(t.tombstoneOrder, member.Node)
	}
	t.tombstones[member.Node] = member.Incarnation
	if len(t.tombstoneOrder) > t.maxTombstones {
		delete(t.tombstones, t.tombstoneOrder[0])
		t.tombstoneOrder = t.tombstoneOrder[1:]
	}
}

// removeTombstone removes the tombstone of a member that returned with a higher incarnation.
func (t *table) removeTombstone(node fleet.NodeID) {
	if _, known := t.tombstones[node]; !known {
		return
	}
	delete(t.tombstones, node)
	t.tombstoneOrder = slices.DeleteFunc(t.tombstoneOrder, func(other fleet.NodeID) bool { return other == node })
}
