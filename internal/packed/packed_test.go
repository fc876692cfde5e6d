package packed_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/tillerfall/tillerfall/internal/packed"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

func TestUnpackRestoresPackedMessage(t *testing.T) {
	for _, text := range []string{"", "a", strings.Repeat("zone", 10_000)} {
		sent, received := &rpc.Member{Node: text, Capacity: 3}, &rpc.Member{}
		content, err := packed.Pack(sent)
		require.NoError(t, err)
		require.NoError(t, packed.Unpack(content, 1<<20, received))
		assert.True(t, proto.Equal(sent, received))
	}
}

// Guards against decompression bombs and corrupt messages.
func TestUnpackRejectsLargeOrCorruptMessage(t *testing.T) {
	content, err := packed.Pack(&rpc.Member{Node: strings.Repeat("x", 1<<20)})
	require.NoError(t, err)
	assert.ErrorIs(t, packed.Unpack(content, 1<<10, &rpc.Member{}), packed.ErrTooLarge)
	assert.Error(t, packed.Unpack(content[:len(content)/2], 1<<22, &rpc.Member{}))
	assert.Error(t, packed.Unpack([]byte("\x01\xff"), 1<<10, &rpc.Member{}))
}
