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

// A gateway that starts after a restore must wait like its peers, whether they have seen the epoch
// begin or don't know it yet, and whoever answers first.
func TestProofOfStartingGatewayWaitsLikeItsPeers(t *testing.T) {
	const epoch, restoredAt, startedAt = 4, 700 * time.Millisecond, time.Second
	seenByPeer := peerEpoch{highest: epoch, restored: true, restoredAt: restoredAt}
	unknownToPeer := peerEpoch{highest: epoch - 1}
	for name, test := range map[string]struct {
		learn     func(known *storeEpoch)
		settledAt time.Duration
	}{
		"peer has seen it, store first": {func(known *storeEpoch) { known.observe(startedAt, epoch); known.observePeer(seenByPeer) }, restoredAt},
		"peer has seen it, peer first":  {func(known *storeEpoch) { known.observePeer(seenByPeer); known.observe(startedAt, epoch) }, restoredAt},
		"unknown to peer, store first":  {func(known *storeEpoch) { known.observe(startedAt, epoch); known.observePeer(unknownToPeer) }, startedAt},
		"unknown to peer, peer first":   {func(known *storeEpoch) { known.observePeer(unknownToPeer); known.observe(startedAt, epoch) }, startedAt},
		"a second restore": {func(known *storeEpoch) {
			known.observePeer(peerEpoch{highest: epoch - 1, restored: true})
			known.observe(startedAt, epoch)
		}, startedAt},
	} {
		t.Run(name, func(t *testing.T) {
			known := &storeEpoch{}
			test.learn(known)
			assert.True(t, known.isSettling(test.settledAt+restoreSettleTime-1))
			assert.False(t, known.isSettling(test.settledAt+restoreSettleTime))
			report, isKnown := known.report(startedAt)
			assert.True(t, isKnown)
			assert.Equal(t, peerEpoch{highest: epoch, restored: true, restoredAt: test.settledAt}, report)
		})
	}
}

// Reports that pass between gateways, or come from one that was suspended for long, must not withhold
// proofs for longer.
func TestKnownRestoreIsNotProlongedByPeers(t *testing.T) {
	known := &storeEpoch{}
	known.observe(0, 3)
	known.observe(10*time.Second, 4)
	known.observePeer(peerEpoch{highest: 4, restored: true, restoredAt: 15 * time.Second})
	known.observePeer(peerEpoch{highest: 3})
	assert.False(t, known.isSettling(10*time.Second+restoreSettleTime))
	started := &storeEpoch{}
	started.observe(time.Second, 4)
	started.observePeer(peerEpoch{highest: 4})
	assert.False(t, started.isSettling(time.Second), "no restore of late")
	started.observePeer(peerEpoch{highest: 3})
	assert.False(t, started.isSettling(time.Minute), "a peer that was suspended for long")
}
