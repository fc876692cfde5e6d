package gateway

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/watchcache"
)

// Updates between gateways must keep each row's epoch, whether compressed or not: a table may hold
// rows of several epochs.
func TestUpdatesKeepEpochs(t *testing.T) {
	for _, size := range []int{1, compressThreshold} {
		update := &watchcache.Update{
			Revision: fleet.StoreEpoch(2).Revision(48), WatchedRevision: fleet.StoreEpoch(1).Revision(57), Complete: true, Sequence: 9,
			Rows: []watchcache.Row{
				{Key: "a", Revision: fleet.StoreEpoch(1).Revision(57), Value: []byte(strings.Repeat("x", size))},
				{Key: "b", Revision: fleet.StoreEpoch(3).Revision(1), Deleted: true},
			},
		}
		message := (&table{name: TableOperator}).encode(0, update, 0)
		assert.Equal(t, size >= compressThreshold, len(message.GetCompressedRows()) > 0)
		received, err := decodeUpdate(message)
		require.NoError(t, err)
		assert.Equal(t, update, received)
	}
}

// A release that doesn't know of epochs counts as epoch 0, and out-of-range values are refused.
func TestEpochsOfOtherReleasesAreDecoded(t *testing.T) {
	received, err := decodeUpdate(&rpc.TableUpdate{Revision: 57, Rows: []*rpc.TableRow{{Key: "a", Revision: 40}}})
	require.NoError(t, err)
	assert.Zero(t, received.Revision.Epoch())
	assert.Zero(t, received.Rows[0].Revision.Epoch())
	for _, message := range []*rpc.TableUpdate{
		{Epoch: 1 << 16}, {Revision: 1 << 48}, {FollowedEpoch: 1 << 20}, {Rows: []*rpc.TableRow{{Epoch: 1 << 16}}}, {Rows: []*rpc.TableRow{{Revision: 1 << 50}}},
	} {
		_, err := decodeUpdate(message)
		assert.Error(t, err, "%v", message)
	}
	_, valid := decodeEvidence(&rpc.DeliveryEvidence{Epoch: 1 << 16})
	assert.False(t, valid)
	_, valid = decodeDirective(0, 0, &rpc.DeliveryDirective{Service: "s", Target: "v2", Stage: 1, Epoch: 1 << 16})
	assert.False(t, valid)
}
