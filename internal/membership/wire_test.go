package membership

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

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

func TestMessageSurvivesTheWire(t *testing.T) {
	sent := sampleMessage()
	received, err := DecodeMessage(sent.Encode())
	require.NoError(t, err)
	assert.Equal(t, sent, received)
}

func TestMalformedMessagesAreRefused(t *testing.T) {
	for name, spoil := range map[string]func(*rpc.GossipMessage){
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
		spoil(encoded)
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
		core := newNetwork(t, 1, 2).run(members(1, 2)[0]).core
		for _, answer := range core.Receive(1, message) {
			assert.NotEmpty(t, answer.To)
		}
	})
}
