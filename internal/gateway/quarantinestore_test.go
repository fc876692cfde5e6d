package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/quarantine"
)

// TestRowsAreNotRetriedWithoutAPause guards against the writes of many gateways that use up the rates of a store
// which has just come back: each report of a peer and each answer to a suspected request had all due rows
// written again while the store was away.
func TestRowsAreNotRetriedWithoutAPause(t *testing.T) {
	for _, failed := range []error{platform.ErrUnavailable, platform.ErrRateLimited, platform.ErrUnknownOutcome, platform.ErrInvalid} {
		t.Run(failed.Error(), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { testStoreAway(t, failed) }) })
	}
}

// testStoreAway has a gateway write two rows and remove one while each call to the store fails, and again once
// the store is back.
func testStoreAway(t *testing.T, failed error) {
	const away = 10 * time.Second
	store := newQuarantineStore()
	g, err := New(testSettings(), Dependencies{Store: store, Clock: fleet.NewRuntimeClock()}, zerolog.Nop(), prometheus.NewRegistry())
	require.NoError(t, err)
	g.life.Go(g.syncQuarantineStore)
	defer func() { assert.NoError(t, g.life.Wait()) }()
	defer g.life.Kill(nil)
	crash := func(number byte) {
		for _, worker := range []fleet.EngineID{"v", "w"} {
			g.recordWorkerCrash(worker, quarantine.ConnectionRefused, []quarantine.Subject{{Request: quarantine.Fingerprint{number}}})
		}
	}
	crash(9)
	synctest.Wait()
	store.mutex.Lock()
	assert.Len(t, store.rows, 1)
	store.failed, store.calls = failed, 0
	store.mutex.Unlock()
	g.recordCompleteResponse(&callerRequest{fingerprint: quarantine.Fingerprint{9}})
	for start := time.Now(); time.Since(start) < away; time.Sleep(10 * time.Millisecond) {
		crash(1)
		crash(2)
	}
	store.mutex.Lock()
	passes := store.calls
	if failed == platform.ErrInvalid {
		passes /= 3 // the others don't fail with it
	}
	assert.InDelta(t, 15, passes, 8, "passes while the store was away")
	store.failed = nil
	store.mutex.Unlock()
	time.Sleep(2 * quarantineRetryMax)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	assert.Len(t, store.rows, 2)
	assert.NotContains(t, store.rows, quarantine.Fingerprint{9})
}
