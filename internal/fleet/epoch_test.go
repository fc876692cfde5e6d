package fleet

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRevisionsAreOrderedByEpochFirst(t *testing.T) {
	assert.Less(t, StoreEpoch(0).Revision(MaxRevisionNumber), StoreEpoch(1).Revision(0))
	assert.Less(t, StoreEpoch(1).Revision(57), StoreEpoch(2).Revision(52))
	assert.Less(t, StoreEpoch(2).Revision(52), StoreEpoch(2).Revision(53))
	for _, epoch := range []StoreEpoch{0, 1, MaxStoreEpoch} {
		for _, number := range []uint64{0, 57, MaxRevisionNumber} {
			assert.Equal(t, epoch, epoch.Revision(number).Epoch())
			assert.Equal(t, number, epoch.Revision(number).Number())
		}
	}
}
