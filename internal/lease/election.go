package lease

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
)

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	// ActionWait means that Next must be called again at Until.
	ActionWait ActionKind = iota
	// ActionRead means that the caller must read Settings.Key and then call ReadDone.
	ActionRead
	// ActionCommit means that the caller must commit Transaction and then call CommitDone.
	ActionCommit
	// ActionDone means that the election has ended after Resign.
	ActionDone
)

// Action is the next step that an Election requires of its caller.
type Action struct {
	Kind        ActionKind
	Until       time.Duration
	Transaction platform.Transaction
}

// observation is the row as last seen.
type observation struct {
	record   Record
	revision uint64
	// epoch is the epoch of the table service in which the row was read or written.
	epoch fleet.StoreEpoch
	// firstSeenAt is the end of the call that first returned this revision. The write happened no
	// later.
	firstSeenAt time.Duration
}

// commit is a write that was sent.
type commit struct {
	record           Record
	expectedRevision uint64
	startedAt        time.Duration
}

// Election is one process's participation in a lease. It performs no I/O and reads no clock; now is
// the process's elapsed time. At most one read or commit is in flight: after such an action the
// caller reports its result before it calls Next again. An Election is not safe for concurrent use.
type Election struct {
	settings Settings
	holder   HolderID
	random   *rand.Rand

	row          observation
	highestToken fleet.FencingToken
	// heldToken is the token of the last lease that this process held.
	heldToken fleet.FencingToken
	// epoch is the highest epoch of the table service that was observed, epochSeenAt when. sawRestore
	// is set once a second one was observed.
	epoch         fleet.StoreEpoch
	epochSeenAt   time.Duration
	epochObserved bool
	sawRestore    bool
	// mustRead is set while the state of the row is unknown.
	mustRead bool
	// pendingCommit is the commit in flight.
	pendingCommit *commit
	// unresolvedCommit is the earliest commit on its revision whose outcome is unknown. It may
	// still take effect while the row is at that revision.
	unresolvedCommit *commit

	// predecessor is the row's holder when this process last took the lease over.
	predecessor HolderID
	// idleAtTakeover is how long the lease had been unused when its previous holder released it.
	idleAtTakeover time.Duration
	lastUsedAt     time.Duration

	// readStartedAt is the start of the last read. storeClock is the last sample of the store's
	// time.
	readStartedAt time.Duration
	storeClock    storeClockSample

	nextActionAt time.Duration
	validUntil   time.Duration
	ineligible   bool
	yielding     bool
	resigning    bool
	resigned     bool
}

// NewElection returns an election that has not read its row yet. The holder must be unique to this
// run of the process; random jitters retries and polls.
func NewElection(settings Settings, holder HolderID, random *rand.Rand) (*Election, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	if holder == "" {
		return nil, errors.New("lease holder is empty")
	}
	return &Election{settings: settings, holder: holder, random: random, mustRead: true}, nil
}

// Fence returns the token to send with a command and whether the lease is held at now. It must be
// called immediately before each command.
func (e *Election) Fence(now time.Duration) (fleet.FencingToken, bool) {
	if !e.IsHeld(now) {
		return 0, false
	}
	return e.heldToken, true
}

// IsHeld reports whether this process holds the lease at now.
func (e *Election) IsHeld(now time.Duration) bool {
	return !e.resigning && !e.yielding && now < e.validUntil
}

// Observed returns the lease record as last seen, or false before the first read.
func (e *Election) Observed() (Record, bool) { return e.row.record, e.row.revision != 0 }

// Predecessor returns the row's holder when this process last took the lease over. It is empty if
// the lease had been released or never held. An expired lease has been without a holder for at
// least twice the margin when it is taken over; a released lease can be taken over immediately.
func (e *Election) Predecessor() HolderID { return e.predecessor }

// IdleAtTakeover returns how long the lease had been unused when its previous holder released it.
func (e *Election) IdleAtTakeover() time.Duration { return e.idleAtTakeover }

// RecordUse records that the lease was used at now, for example for a command.
func (e *Election) RecordUse(now time.Duration) { e.lastUsedAt = max(e.lastUsedAt, now) }

// SetEligible sets whether the process takes the lease when it is free. In a large fleet only a few
// processes need to poll. It does not affect a current holder.
func (e *Election) SetEligible(eligible bool) { e.ineligible = !eligible }

// IsEligible reports whether the process takes the lease when it is free. The default is true.
func (e *Election) IsEligible() bool { return !e.ineligible }

// Resign ends the process's participation: the lease is no longer held locally, and Next returns a
// commit that releases it if the process is certain to hold it. Otherwise the lease expires.
func (e *Election) Resign() { e.resigning = true }

// SetYielding sets whether the process gives the lease up: it no longer holds it locally and releases
// it if it is certain to hold it. Unlike after Resign, it may take the lease again once it stops yielding.
func (e *Election) SetYielding(now time.Duration, yielding bool) {
	if yielding && !e.yielding {
		e.nextActionAt = now
	}
	e.yielding = yielding
}

// Next returns the action to perform at now.
func (e *Election) Next(now time.Duration) Action {
	if e.resigning {
		return e.nextRelease(now)
	}
	if now < e.nextActionAt {
		return Action{Kind: ActionWait, Until: e.nextActionAt}
	}
	if e.yielding {
		return e.nextYield(now)
	}
	if e.ineligible && !e.mustRead && !e.mayContinue(now) {
		e.nextActionAt = now + e.pollInterval()
		return Action{Kind: ActionWait, Until: e.nextActionAt}
	}
	if e.mustRead || e.row.epoch < e.epoch || !e.canWrite(now) || e.isStoreClockStale(now) {
		e.readStartedAt = now
		return Action{Kind: ActionRead}
	}
	return e.startCommit(now, e.claim(now))
}

func (e *Election) nextRelease(now time.Duration) Action {
	if e.resigned || e.mustRead || !e.isCurrent() || !e.isRecordedHolder() {
		return Action{Kind: ActionDone}
	}
	e.resigned = true
	return e.startCommit(now, e.released(now))
}

// nextYield returns the action of a process that yields: to release the lease if it holds it.
func (e *Election) nextYield(now time.Duration) Action {
	switch {
	case e.mustRead || e.row.epoch < e.epoch:
		e.readStartedAt = now
		return Action{Kind: ActionRead}
	case e.isCurrent() && e.isRecordedHolder():
		// The release may take effect late, after this process has ceased to yield.
		e.validUntil = 0
		return e.startCommit(now, e.released(now))
	default:
		e.nextActionAt = now + e.pollInterval()
		return Action{Kind: ActionWait, Until: e.nextActionAt}
	}
}

// released returns the record by which this process releases the lease.
func (e *Election) released(now time.Duration) Record {
	released := e.row.record
	released.Holder = ""
	released.IdleMillis = max(now-e.lastUsedAt, 0).Milliseconds()
	return released
}

// isRecordedHolder reports whether the row as last seen names this process.
func (e *Election) isRecordedHolder() bool { return e.row.record.Holder == e.holder }

// mayContinue reports whether the lease is this process's or that of an earlier run on this machine.
func (e *Election) mayContinue(now time.Duration) bool {
	if !e.isCurrent() {
		return e.IsHeld(now)
	}
	return e.isRecordedHolder() || e.isHeldByEarlierRun()
}

// canWrite reports whether the row is held by this process, free or expired.
func (e *Election) canWrite(now time.Duration) bool {
	if !e.isCurrent() {
		return e.IsHeld(now) || e.isUnused() || now >= e.expiresAt()
	}
	if e.isRecordedHolder() || e.row.record.Holder == "" || e.isHeldByEarlierRun() {
		return true
	}
	return now >= e.expiresAt()
}

// isHeldByEarlierRun reports whether the row names an earlier run on this machine, which has ended.
func (e *Election) isHeldByEarlierRun() bool {
	return e.settings.Exclusive && !e.isRecordedHolder() && e.row.record.Holder.Machine() == e.holder.Machine()
}

// claim returns the record that makes or keeps this process the holder.
func (e *Election) claim(now time.Duration) Record {
	claimed := Record{Holder: e.holder, DurationMillis: e.settings.Duration.Milliseconds(), Epoch: e.row.epoch}
	switch {
	case e.isCurrent() && e.isRecordedHolder():
		claimed.Token = e.row.record.Token
	case !e.isCurrent() && e.IsHeld(now):
		claimed.Token = e.heldToken
	default:
		claimed.Token = e.nextToken()
		e.predecessor = e.row.record.Holder
		e.idleAtTakeover = e.idleTime()
	}
	return claimed
}

func (e *Election) startCommit(now time.Duration, record Record) Action {
	record.WrittenMillis = e.storeTimeMillis(now)
	e.pendingCommit = &commit{record: record, expectedRevision: e.row.revision, startedAt: now}
	return Action{
		Kind: ActionCommit,
		Transaction: platform.Transaction{
			Compares: []platform.Compare{{Key: e.settings.Key, Revision: e.row.revision}},
			Writes:   []platform.Write{{Key: e.settings.Key, Value: encodeRecord(record)}},
		},
	}
}

// pollInterval returns the jittered time between two reads by a challenger.
func (e *Election) pollInterval() time.Duration {
	return e.jitter(e.settings.Duration / pollsPerDuration)
}

// retryInterval returns the jittered time after which a failed call is retried.
func (e *Election) retryInterval() time.Duration {
	if !e.isRecordedHolder() {
		return e.pollInterval()
	}
	return e.jitter(e.settings.Duration / retriesPerDuration)
}

// jitter returns a random duration between 0.5 and 1.5 times mean.
func (e *Election) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(e.random.Int64N(int64(mean)+1))
}
