package lease

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
)

// callTimeoutDivisor is the part of a lease's duration that bounds one call: an
// answer that comes later leaves too little time to believe.
const callTimeoutDivisor = 3

// Keeper runs an Election against the table service on real time. Its methods
// are safe for concurrent use.
type Keeper struct {
	tables platform.Tables
	clock  fleet.Clock
	logger zerolog.Logger
	tomb   tomb.Tomb
	// wake wakes the loop.
	wake chan struct{}

	mutex    sync.Mutex
	election *Election
	wasHeld  bool
}

// NewKeeper returns a keeper that owns the election from now on.
func NewKeeper(election *Election, tables platform.Tables, clock fleet.Clock, logger zerolog.Logger) *Keeper {
	return &Keeper{
		tables:   tables,
		clock:    clock,
		logger:   logger.With().Str("lease", election.settings.Key).Logger(),
		wake:     make(chan struct{}, 1),
		election: election,
	}
}

// Start begins to read, take and renew the lease.
func (k *Keeper) Start() { k.tomb.Go(k.run) }

// Stop makes Fence fail at once, releases the lease if it can, and waits for
// the calls in progress, which are bounded by a part of the lease's duration.
func (k *Keeper) Stop() error {
	k.mutex.Lock()
	k.election.Resign()
	k.mutex.Unlock()
	k.tomb.Kill(nil)
	return k.tomb.Wait()
}

// Dead is closed when the keeper has ended.
func (k *Keeper) Dead() <-chan struct{} { return k.tomb.Dead() }

// Fence returns the token to send with an order, and whether the lease is held
// at this moment. It must be called right before each order.
func (k *Keeper) Fence() (fleet.FencingToken, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.election.Fence(k.clock.Now())
}

// Observed returns the lease's record as last seen; false before the first read.
func (k *Keeper) Observed() (Record, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.election.Observed()
}

// Predecessor returns whom the row named when this process last took it over.
func (k *Keeper) Predecessor() HolderID {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.election.Predecessor()
}

// IdleAtTakeover returns how long the lease had not been used when it was
// released to this process.
func (k *Keeper) IdleAtTakeover() time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.election.IdleAtTakeover()
}

// RecordUse notes that the lease is used at this moment.
func (k *Keeper) RecordUse() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.election.RecordUse(k.clock.Now())
}

// SetEligible tells whether this process takes the lease when it is free. Only a
// change wakes the loop.
func (k *Keeper) SetEligible(eligible bool) {
	k.mutex.Lock()
	changed := k.election.IsEligible() != eligible
	k.election.SetEligible(eligible)
	k.mutex.Unlock()
	if !changed {
		return
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *Keeper) run() error {
	for {
		action := k.next()
		switch action.Kind {
		case ActionDone:
			return nil
		case ActionRead:
			k.read()
		case ActionCommit:
			k.commit(action.Transaction)
		case ActionWait:
			k.wait(action.Until)
		}
	}
}

func (k *Keeper) next() Action {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.clock.Now()
	k.logChange(now)
	return k.election.Next(now)
}

func (k *Keeper) read() {
	ctx, cancel := k.callContext()
	defer cancel()
	row, err := k.tables.Get(ctx, k.election.settings.Key)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.clock.Now()
	if malformed := k.election.ReadDone(now, row, err); malformed != nil {
		k.logger.Error().Err(malformed).Msg("lease_row_malformed")
	}
	k.logChange(now)
}

func (k *Keeper) commit(transaction platform.Transaction) {
	ctx, cancel := k.callContext()
	defer cancel()
	err := k.tables.Commit(ctx, transaction)
	if err != nil {
		k.logger.WithLevel(commitFailureLevel(err)).Err(err).Msg("lease_commit_failed")
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.clock.Now()
	k.election.CommitDone(now, err)
	k.logChange(now)
}

// callContext bounds one call. It doesn't end with the keeper: a commit that is
// cut off would only leave its outcome unknown.
func (k *Keeper) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), k.election.settings.Duration/callTimeoutDivisor)
}

func (k *Keeper) wait(until time.Duration) {
	timer := time.NewTimer(until - k.clock.Now())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-k.wake:
	case <-k.tomb.Dying():
	}
}

// logChange logs when the lease is won or lost; the mutex is held.
func (k *Keeper) logChange(now time.Duration) {
	token, held := k.election.Fence(now)
	if held == k.wasHeld {
		return
	}
	k.wasHeld = held
	if held {
		k.logger.Info().Uint64("token", uint64(token)).Msg("lease_acquired")
		return
	}
	record, _ := k.election.Observed()
	k.logger.Warn().Str("holder", string(record.Holder)).Uint64("token", uint64(record.Token)).Msg("lease_lost")
}

// commitFailureLevel is debug for a lost race: some candidate always loses.
func commitFailureLevel(err error) zerolog.Level {
	if errors.Is(err, platform.ErrConflict) {
		return zerolog.DebugLevel
	}
	return zerolog.WarnLevel
}
