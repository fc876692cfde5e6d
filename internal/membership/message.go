package membership

import "github.com/tillerfall/tillerfall/internal/fleet"

// Kind is the kind of a Message.
type Kind uint8

// Kinds of messages.
const (
	// Probe asks the target to answer with an Ack.
	Probe Kind = iota + 1
	// Ack reports that Target answered. It is relayed if the sender is not Target.
	Ack
	// IndirectProbe asks the receiver to probe Target on the sender's behalf.
	IndirectProbe
	// Nack reports that the node at the probed address is not Target.
	Nack
	// Join carries the sender's full membership and asks for the receiver's.
	Join
)

// Message is a one-way message between two members. A transport may return the answer on the same
// connection.
type Message struct {
	Kind Kind
	// To is the receiver's address.
	To fleet.Address
	// Sender is the sender's own record with its current incarnation.
	Sender Member
	// Target is the probed node. If it is empty, any node at the address may answer.
	Target fleet.NodeID
	// Updates are piggybacked records, or the full membership in a Join and in the Ack that answers
	// it.
	Updates []Member
	// KnownRevision is the sender's configuration revision.
	KnownRevision fleet.Revision
	// Changes are recent configuration changes, in order of revision.
	Changes []Change
	// Complete marks Updates as the full membership. It is not transmitted: receivers set it for
	// the Ack that answers a Join.
	Complete bool
}

// Change is a configuration change in its transmitted form. Patch is opaque to this package.
type Change struct {
	Revision fleet.Revision
	Patch    []byte
}
