package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A proof of the time just after a restore must not count, however late the process reads it: a
// process that was suspended meanwhile finds it when the settle time is over.
func TestProofOfRestoredStoreIsJudgedByItsOwnTime(t *testing.T) {
	epoch := &storeEpoch{}
	_, first, restored := epoch.observe(time.Second, 3)
	assert.True(t, first)
	assert.False(t, restored, "the first epoch that a process hears of")
	assert.False(t, epoch.isSettling(time.Second))
	previous, _, restored := epoch.observe(10*time.Second, 4)
	assert.True(t, restored)
	assert.EqualValues(t, 3, previous)
	epoch.observe(20*time.Second, 3)
	assert.EqualValues(t, 4, epoch.current())
	assert.True(t, epoch.isSettling(10*time.Second+restoreSettleTime/2), "also when asked later")
	assert.False(t, epoch.isSettling(10*time.Second+restoreSettleTime))
}
