package membership

import "github.com/tillerfall/tillerfall/internal/fleet"

// Kind tells what a message asks or answers.
type Kind uint8

// Kinds of messages.
const (
	// Probe asks the target to answer with an Ack.
	Probe Kind = iota + 1
	// Ack says that Target answered; from another node than Target it is relayed.
	Ack
	// IndirectProbe asks the receiver to probe Target on the sender's behalf.
	IndirectProbe
	// Nack says that the node at the probed address isn't Target.
	Nack
	// Join carries the sender's whole membership and asks for the receiver's.
	Join
)

// Message goes one way from one member to another. A transport may carry the
// message that answers it back on the same connection.
type Message struct {
	Kind Kind
	// To is the receiver's address.
	To fleet.Address
	// Sender is the sender's own record, at its present incarnation.
	Sender Member
	// Target is the node that is probed; empty probes whoever has the address.
	Target fleet.NodeID
	// Updates are piggybacked records, or the whole membership with Join and
	// the Ack that answers it.
	Updates []Member
	// KnownRevision is the sender's configuration revision.
	KnownRevision fleet.Revision
	// Changes are fresh configuration changes, in order of revision.
	Changes []Change
	// Complete marks Updates as the whole membership. It isn't transmitted: a
	// Join and the Ack that answers one are complete.
	Complete bool
}

// Change is one configuration change as it travels; Patch is opaque here.
type Change struct {
	Revision fleet.Revision
	Patch    []byte
}
