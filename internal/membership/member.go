// Package membership tracks which routers are alive and where they are, and assigns roles and
// engines to them. Its core is the SWIM protocol (Das, Gupta and Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002) with suspicion,
// incarnations and indirect probes, extended to reconnect partitioned regions.
//
// The package performs no I/O, starts no goroutines and reads no clock: the caller passes the
// elapsed time and sends the messages that are returned.
package membership

import (
	"cmp"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// State is the state of a member as seen by a node. Of two claims with the same incarnation the one
// with the higher state wins.
type State uint8

// States of a member, in order of precedence.
const (
	Alive State = iota + 1
	// Suspect members have failed a probe. They count as live until their suspicion times out.
	Suspect
	// Leaving members have announced a planned stop.
	Leaving
	Dead
)

// String returns the state's lower-case name.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}

// Member is one router as its peers see it.
type Member struct {
	Node    fleet.NodeID
	Address fleet.Address
	Region  fleet.RegionName
	Zone    fleet.ZoneName
	// Capacity is the node's processor capacity in thousandths of a core, or 0 if unknown.
	Capacity uint32
	// Incarnation is incremented only by the member itself, to refute a claim about it.
	Incarnation fleet.Incarnation
	State       State
}

// IsRoutable reports whether new work may be sent to the member.
func (m Member) IsRoutable() bool { return m.State == Alive || m.State == Suspect }

// supersedes reports whether claim m replaces claim other about the same node.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.State > other.State
}

func compareNodes(a, b Member) int { return cmp.Compare(a.Node, b.Node) }
