package membership

import (
	"slices"
	"sync"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// View is an immutable snapshot of the membership. It is safe for concurrent use.
type View struct {
	// Version is the version of the Core when the snapshot was taken.
	Version uint64
	// Self is the node that took the snapshot.
	Self Member

	members  []Member
	routable []Member

	// machines is the result of Machines, counted once.
	countMachines sync.Once
	machines      int
}

// NewView returns a view of the given members, which need not be sorted.
func NewView(version uint64, self Member, members []Member) *View {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, compareNodes)
	return newSortedView(version, self, sorted)
}

// newSortedView returns a view of the given sorted members. It keeps the slice.
func newSortedView(version uint64, self Member, members []Member) *View {
	view := &View{Version: version, Self: self, members: members, routable: make([]Member, 0, len(members))}
	for _, member := range view.members {
		if member.IsRoutable() {
			view.routable = append(view.routable, member)
		}
	}
	return view
}

// Members returns all members that are not dead, including self, sorted by node. Callers must not
// modify the slice.
func (v *View) Members() []Member { return v.members }

// Routable returns the members that may receive new work, sorted by node. Callers must not modify
// the slice.
func (v *View) Routable() []Member { return v.routable }

// Machines returns the number of machines with a routable member. A process that has replaced another one
// is a member of its own at the same address.
func (v *View) Machines() int {
	v.countMachines.Do(func() { v.machines = CountMachines(v.routable) })
	return v.machines
}

// CountMachines returns the number of addresses of members.
func CountMachines(members []Member) int {
	addresses := make(map[fleet.Address]bool, len(members))
	for index := range members {
		addresses[members[index].Address] = true
	}
	return len(addresses)
}

// Find returns the member with the given node identifier.
func (v *View) Find(node fleet.NodeID) (Member, bool) {
	index, found := slices.BinarySearchFunc(v.members, Member{Node: node}, compareNodes)
	if !found {
		return Member{}, false
	}
	return v.members[index], true
}

// Difference returns the members whose state differs between two views, sorted by node: those of
// the second view with their new state, and those that it no longer contains as dead.
func Difference(before, after *View) []Member {
	var changed []Member
	old, current := before.members, after.members
	for len(old) > 0 || len(current) > 0 {
		switch {
		case len(current) == 0 || (len(old) > 0 && old[0].Node < current[0].Node):
			gone := old[0]
			gone.State = Dead
			changed = append(changed, gone)
			old = old[1:]
		case len(old) == 0 || current[0].Node < old[0].Node:
			changed = append(changed, current[0])
			current = current[1:]
		default:
			if old[0].State != current[0].State {
				changed = append(changed, current[0])
			}
			old, current = old[1:], current[1:]
		}
	}
	return changed
}
