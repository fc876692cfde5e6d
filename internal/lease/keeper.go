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

// A call may take at most the lease's duration divided by callTimeoutDivisor. A later response
// would leave too little of the lease.
const callTimeoutDivisor = 3

// Keeper runs an Election against the table service in real time. It is safe for concurrent use.
type Keeper struct {
	tables platform.Tables
	clock  fleet.Clock
	logger zerolog.Logger
	tomb   tomb.Tomb
	// wake interrupts the wait of the run loop.
	wake chan struct{}

	mutex    sync.Mutex
	election *Election
	wasHeld  bool
}

// NewKeeper returns a keeper, which takes ownership of the election.
func NewKeeper(election *Election, tables platform.Tables, clock fleet.Clock, logger zerolog.Logger) *Keeper {
	return &Keeper{
		tables:   tables,
		clock:    clock,
		logger:   logger.With().Str("lease", election.settings.Key).Logger(),
		wake:     make(chan struct{}, 1),
		election: election,
	}
}

// Start begins to read, acquire and renew the lease.
func (k *Keeper) Start() { k.tomb.Go(k.run) }

// Stop makes Fence fail immediately, releases the lease if possible, and waits for the calls in
// flight, each of which is bounded by callTimeoutDivisor.
func (k *Keeper) Stop() error {
	k.mutex.Lock()
	k.election.Resign()
	k.mutex.Unlock()
	k.tomb.Kill(nil)
	return k.tomb.Wait()
}

// Dead returns a channel that is closed when the keeper has stopped.
func (k *Keeper) Dead() <-chan struct{} { return k.tomb.Dead() }

// Fence returns the token to send with a command and whether the lease is held now. It must be
// called immediately before each command.
func (k *Keeper) Fence() (fleet.FencingToken, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.election.Fence(k.clock.Now())
}

// ObserveEpoch records that the store of the lease is in an epoch now.
func (k *Keeper) ObserveEpoch(epoch fleet.StoreEpoch) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.election.ObserveEpoch(k.clock.Now(), epoch)
}

// Observed returns the lease record as last seen, or false before the first read.
func (k *Keeper) Observed() (Record, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.election.Observed()
}

// Predecessor returns the row's holder when this process last took the lease over.
func (k *Keeper) Predecessor() HolderID {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.election.Predecessor()
}

// IdleAtTakeover returns how long the lease had been unused when its previous holder released it.
func (k *Keeper) IdleAtTakeover() time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.election.IdleAtTakeover()
}

// RecordUse records that the lease is used now.
func (k *Keeper) RecordUse() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.election.RecordUse(k.clock.Now())
}

// SetEligible sets whether this process takes the lease when it is free. Only a change wakes the
// run loop.
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

// SetYielding sets whether this process gives the lease up, without leaving the election.
func (k *Keeper) SetYielding(yielding bool) {
	k.mutex.Lock()
	k.election.SetYielding(k.clock.Now(), yielding)
	k.mutex.Unlock()
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

// callContext returns a context that bounds one call. Stopping the keeper does not cancel it, since
// a canceled commit would have an unknown outcome.
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

// logChange logs when the lease is acquired or lost. The caller holds the mutex.
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

// commitFailureLevel returns the log level of a failed commit: debug for a lost race, which is
// normal among candidates.
func commitFailureLevel(err error) zerolog.Level {
	if errors.Is(err, platform.ErrConflict) {
		return zerolog.DebugLevel
	}
	return zerolog.WarnLevel
}
