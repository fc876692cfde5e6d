package membership

import (
	"net/netip"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/packed"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// ErrMalformed reports a message from another node that cannot be used.
var ErrMalformed = errors.New("malformed membership message")

// maxNameBytes bounds every name in a message.
const maxNameBytes = 256

// minPackedUpdates is the number of updates from which they are packed. Messages with piggybacked
// updates alone are below it, and too short to benefit.
const minPackedUpdates = DefaultMaxUpdates + 1

// maxListBytes bounds an unpacked list of members.
const maxListBytes = 4 << 20

// Encode returns the message in its transmitted form.
func (m *Message) Encode() *rpc.GossipMessage {
	encoded := &rpc.GossipMessage{
		Header:      &rpc.Header{Sender: string(m.Sender.Node), KnownRevision: uint64(m.KnownRevision)},
		Kind:        rpc.GossipKind(m.Kind),
		Sender:      EncodeMember(m.Sender),
		Target:      string(m.Target),
		TakesPacked: true,
	}
	for _, update := range m.Updates {
		encoded.Updates = append(encoded.Updates, EncodeMember(update))
	}
	for _, change := range m.Changes {
		encoded.Changes = append(encoded.Changes, &rpc.ConfigChange{Revision: uint64(change.Revision), Patch: change.Patch})
	}
	return encoded
}

// EncodePacked is like Encode but packs long lists of members. A receiver that does not support
// packed lists ignores them and learns of the members from the answers to its own messages.
func (m *Message) EncodePacked() (*rpc.GossipMessage, error) {
	encoded := m.Encode()
	if len(encoded.GetUpdates()) < minPackedUpdates {
		return encoded, nil
	}
	content, err := packed.Pack(&rpc.MemberList{Members: encoded.GetUpdates()})
	if err != nil {
		return nil, errors.Wrap(err, "members")
	}
	encoded.Updates, encoded.PackedUpdates = nil, content
	return encoded, nil
}

// DecodeMessage decodes a message. It returns ErrMalformed for a message that no member sends.
func DecodeMessage(encoded *rpc.GossipMessage) (Message, error) {
	sender, err := DecodeMember(encoded.GetSender())
	if err != nil {
		return Message{}, errors.Wrap(err, "sender")
	}
	if sender.State != Alive && sender.State != Leaving {
		return Message{}, errors.Wrap(ErrMalformed, "sender is neither alive nor leaving")
	}
	message := Message{
		Kind:          Kind(encoded.GetKind()),
		Sender:        sender,
		Target:        fleet.NodeID(encoded.GetTarget()),
		KnownRevision: fleet.Revision(encoded.GetHeader().GetKnownRevision()),
	}
	if encoded.GetKind() < rpc.GossipKind_GOSSIP_KIND_PROBE || encoded.GetKind() > rpc.GossipKind_GOSSIP_KIND_JOIN {
		return Message{}, errors.Wrapf(ErrMalformed, "kind %d", encoded.GetKind())
	}
	updates := encoded.GetUpdates()
	if content := encoded.GetPackedUpdates(); len(content) > 0 {
		var list rpc.MemberList
		if err := packed.Unpack(content, maxListBytes, &list); err != nil {
			return Message{}, errors.Wrapf(ErrMalformed, "members: %s", err)
		}
		updates = append(updates, list.GetMembers()...)
	}
	for _, update := range updates {
		member, err := DecodeMember(update)
		if err != nil {
			return Message{}, errors.Wrap(err, "update")
		}
		message.Updates = append(message.Updates, member)
	}
	message.Changes = DecodeChanges(encoded.GetChanges())
	return message, nil
}

// DecodeChanges decodes configuration changes.
func DecodeChanges(encoded []*rpc.ConfigChange) []Change {
	var changes []Change
	for _, change := range encoded {
		changes = append(changes, Change{Revision: fleet.Revision(change.GetRevision()), Patch: change.GetPatch()})
	}
	return changes
}

// EncodeMember returns a member in its transmitted form.
func EncodeMember(m Member) *rpc.Member {
	return &rpc.Member{
		Node:        string(m.Node),
		Address:     string(m.Address),
		Region:      string(m.Region),
		Zone:        string(m.Zone),
		Incarnation: uint64(m.Incarnation),
		State:       rpc.MemberState(m.State),
		Capacity:    m.Capacity,
	}
}

// DecodeMember decodes a member. It returns ErrMalformed if its name, address or state is invalid.
func DecodeMember(encoded *rpc.Member) (Member, error) {
	member := Member{
		Node:        fleet.NodeID(encoded.GetNode()),
		Address:     fleet.Address(encoded.GetAddress()),
		Region:      fleet.RegionName(encoded.GetRegion()),
		Zone:        fleet.ZoneName(encoded.GetZone()),
		Incarnation: fleet.Incarnation(encoded.GetIncarnation()),
		State:       State(encoded.GetState()),
		Capacity:    encoded.GetCapacity(),
	}
	if encoded.GetState() < rpc.MemberState_MEMBER_STATE_ALIVE || encoded.GetState() > rpc.MemberState_MEMBER_STATE_DEAD {
		return Member{}, errors.Wrapf(ErrMalformed, "state %d", encoded.GetState())
	}
	if member.Node == "" || len(member.Node) > maxNameBytes || len(member.Region) > maxNameBytes || len(member.Zone) > maxNameBytes {
		return Member{}, errors.Wrap(ErrMalformed, "name")
	}
	if _, err := netip.ParseAddrPort(string(member.Address)); err != nil {
		return Member{}, errors.Wrap(ErrMalformed, "address")
	}
	return member, nil
}
