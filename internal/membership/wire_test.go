package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

func sampleMessage() Message {
	list := members(3, 2)
	list[1].State, list[1].Incarnation = Dead, 4
	return Message{
		Kind: IndirectProbe, Sender: list[0], Target: list[2].Node, Updates: list[1:],
		KnownRevision: 7, Changes: []Change{{Revision: 7, Patch: []byte("{}")}},
	}
}

func TestMessageRoundTrip(t *testing.T) {
	sent := sampleMessage()
	received, err := DecodeMessage(sent.Encode())
	require.NoError(t, err)
	assert.Equal(t, sent, received)
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	for name, corrupt := range map[string]func(*rpc.GossipMessage){
		"no sender":    func(m *rpc.GossipMessage) { m.Sender = nil },
		"dead sender":  func(m *rpc.GossipMessage) { m.Sender.State = rpc.MemberState_MEMBER_STATE_DEAD },
		"no kind":      func(m *rpc.GossipMessage) { m.Kind = 0 },
		"unknown kind": func(m *rpc.GossipMessage) { m.Kind = 99 },
		"no address":   func(m *rpc.GossipMessage) { m.Updates[0].Address = "localhost:1" },
		"no state":     func(m *rpc.GossipMessage) { m.Updates[0].State = 0 },
		"long name":    func(m *rpc.GossipMessage) { m.Updates[0].Zone = string(make([]byte, maxNameBytes+1)) },
	} {
		sample := sampleMessage()
		encoded := sample.Encode()
		corrupt(encoded)
		_, err := DecodeMessage(encoded)
		assert.ErrorIs(t, err, ErrMalformed, name)
	}
}

func FuzzDecodeMessage(f *testing.F) {
	sample := sampleMessage()
	seed, err := proto.Marshal(sample.Encode())
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var encoded rpc.GossipMessage
		if proto.Unmarshal(data, &encoded) != nil {
			return
		}
		message, err := DecodeMessage(&encoded)
		if err != nil {
			return
		}
		core := newNetwork(t, 1, 2).startNode(members(1, 2)[0]).core
		for _, answer := range core.Receive(1, message) {
			assert.NotEmpty(t, answer.To)
		}
	})
}

// TestLongMemberListsArePacked guards against long member lists being sent unpacked, and short ones
// packed.
func TestLongMemberListsArePacked(t *testing.T) {
	message := Message{Kind: Join, Sender: Member{Node: "n", Address: "127.0.0.1:1", State: Alive}}
	for number := range 1000 {
		message.Updates = append(message.Updates, Member{
			Node:    fleet.NodeID(fmt.Sprintf("front-some-zone-%d/%016x", number, uint64(number)*0x9e3779b97f4a7c15)),
			Address: fleet.Address(fmt.Sprintf("10.1.%d.%d:7340", number/250, number%250)), Region: "some-region",
			Zone: fleet.ZoneName(fmt.Sprint("some-zone-", number%5)), State: Alive, Incarnation: 3, Capacity: 192,
		})
	}
	packed, err := message.EncodePacked()
	require.NoError(t, err)
	assert.Empty(t, packed.GetUpdates())
	t.Logf("%d bytes, packed %d", proto.Size(message.Encode()), proto.Size(packed))
	assert.Less(t, 2*proto.Size(packed), proto.Size(message.Encode()))
	received, err := DecodeMessage(packed)
	require.NoError(t, err)
	assert.Equal(t, message.Updates, received.Updates)
	message.Updates = message.Updates[:DefaultMaxUpdates]
	short, err := message.EncodePacked()
	require.NoError(t, err)
	assert.True(t, proto.Equal(message.Encode(), short))
	packed.PackedUpdates = packed.PackedUpdates[:len(packed.PackedUpdates)/2]
	_, err = DecodeMessage(packed)
	assert.ErrorIs(t, err, ErrMalformed)
}
