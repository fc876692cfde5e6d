// Package membership tells a router which other routers are alive, where they
// are and which of them owns an engine. Its core is the SWIM protocol (Das,
// Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
// Group Membership Protocol", DSN 2002) with suspicion, incarnations and
// indirect probes, extended by regions that lose and regain contact.
//
// The package does no I/O, starts no goroutine and reads no clock: a caller
// passes the elapsed time in and sends the messages that come out.
package membership

import (
	"cmp"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// State is what a node believes of a member. Of two claims with the same
// incarnation the higher state wins.
type State uint8

// States of a member, in order of precedence.
const (
	Alive State = iota + 1
	// Suspect members have missed a probe; they count as live until confirmed dead.
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

// Member is one router as its peers know it.
type Member struct {
	Node    fleet.NodeID
	Address fleet.Address
	Region  fleet.RegionName
	Zone    fleet.ZoneName
	// Capacity is the node's processor, in thousandths of a core; 0 if unknown.
	Capacity uint32
	// Incarnation is raised by the member alone, to refute a claim about it.
	Incarnation fleet.Incarnation
	State       State
}

// IsRoutable tells whether new work may go to the member.
func (m Member) IsRoutable() bool { return m.State == Alive || m.State == Suspect }

// supersedes tells whether claim m replaces claim other about the same node.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.State > other.State
}

func compareNodes(a, b Member) int { return cmp.Compare(a.Node, b.Node) }
