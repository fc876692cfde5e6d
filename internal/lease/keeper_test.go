package lease

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/lab/standin/platformmodel"
)

// tables serves the platform model in process.
type tables struct {
	mutex sync.Mutex
	clock fleet.Clock
	model *platformmodel.Platform
	// hang makes calls block until their context ends.
	hang atomic.Bool
}

func (s *tables) enter(ctx context.Context) error {
	if s.hang.Load() {
		<-ctx.Done()
		return platform.ErrUnknownOutcome
	}
	return nil
}

func (s *tables) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := s.enter(ctx); err != nil {
		return platform.Row{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.model.Get(s.clock.Now(), key)
}

func (s *tables) List(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, platform.ErrUnavailable
}

func (s *tables) Commit(ctx context.Context, transaction platform.Transaction) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.model.Commit(s.clock.Now(), transaction)
}

func TestKeeperHoldsRenewsAndReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := fleet.NewRuntimeClock()
		service := &tables{clock: clock, model: platformmodel.New(platformmodel.Options{})}
		first := NewKeeper(newElection(t, "a", 1), service, clock, zerolog.Nop())
		second := NewKeeper(newElection(t, "b", 2), service, clock, zerolog.Nop())
		first.Start()
		synctest.Wait()
		second.Start()
		time.Sleep(time.Minute)
		token, held := first.Fence()
		assert.True(t, held)
		assert.EqualValues(t, 1, token)

		require.NoError(t, first.Stop())
		_, held = first.Fence()
		assert.False(t, held)
		time.Sleep(testSettings.Duration)
		token, held = second.Fence()
		assert.True(t, held)
		assert.EqualValues(t, 2, token)
		require.NoError(t, second.Stop())
	})
}

func TestKeeperStopsWhileStoreHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := fleet.NewRuntimeClock()
		service := &tables{clock: clock, model: platformmodel.New(platformmodel.Options{})}
		keeper := NewKeeper(newElection(t, "a", 1), service, clock, zerolog.Nop())
		keeper.Start()
		time.Sleep(time.Second)
		service.hang.Store(true)
		time.Sleep(testSettings.Duration)
		_, held := keeper.Fence()
		assert.False(t, held, "no renewal got a response")
		before := clock.Now()
		require.NoError(t, keeper.Stop())
		assert.LessOrEqual(t, clock.Now()-before, 2*testSettings.Duration/callTimeoutDivisor)
	})
}

func TestLostRaceIsLoggedAtDebugLevel(t *testing.T) {
	lost := errors.Wrap(platform.ErrConflict, "commit")
	assert.Equal(t, zerolog.DebugLevel, commitFailureLevel(lost))
	assert.Equal(t, zerolog.WarnLevel, commitFailureLevel(errors.Wrap(platform.ErrUnknownOutcome, "commit")))
}
