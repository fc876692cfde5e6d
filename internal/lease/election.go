package lease

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
)

// ActionKind tells what an election needs next.
type ActionKind int

// Kinds of actions.
const (
	// ActionWait asks for Next again at Until.
	ActionWait ActionKind = iota
	// ActionRead asks for a read of Settings.Key, then ReadDone.
	ActionRead
	// ActionCommit asks for a commit of Transaction, then CommitDone.
	ActionCommit
	// ActionDone means that the election has ended after Resign.
	ActionDone
)

// Action is what an election needs next.
type Action struct {
	Kind        ActionKind
	Until       time.Duration
	Transaction platform.Transaction
}

// observation is the row as last seen.
type observation struct {
	record   Record
	revision uint64
	// firstSeenAt is when this revision was first seen, at the end of the call that
	// showed it: the write can't have been later.
	firstSeenAt time.Duration
}

// commit is a write that was sent.
type commit struct {
	record           Record
	expectedRevision uint64
	startedAt        time.Duration
}

// Election is one process's part in a lease. It has no I/O and no clock; now is
// the process's elapsed time. At most one read or commit is in progress: after
// such an action the caller reports its end before it calls Next again. It
// isn't safe for concurrent use.
type Election struct {
	settings Settings
	holder   HolderID
	random   *rand.Rand

	row          observation
	highestToken fleet.FencingToken
	// mustRead is set while the row's state isn't known.
	mustRead bool
	// pendingCommit is the commit in progress.
	pendingCommit *commit
	// unresolvedCommit is the earliest commit on its revision whose outcome is
	// unknown. It may still take effect while the row is at that revision.
	unresolvedCommit *commit

	// predecessor is whom the row named when this process last took it over.
	predecessor HolderID
	// idleAtTakeover is how long the lease had not been used when it was released
	// to this process.
	idleAtTakeover time.Duration
	lastUsedAt     time.Duration

	// readStartedAt is when the last read began, reference the last answer that told the
	// store's time.
	readStartedAt time.Duration
	storeClock    storeClockSample

	nextActionAt time.Duration
	validUntil   time.Duration
	ineligible   bool
	resigning    bool
	resigned     bool
}

// NewElection returns an election that hasn't read its row. The holder must be
// unique to the process's run; random spreads retries and polls.
func NewElection(settings Settings, holder HolderID, random *rand.Rand) (*Election, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	if holder == "" {
		return nil, errors.New("lease needs a holder")
	}
	return &Election{settings: settings, holder: holder, random: random, mustRead: true}, nil
}

// Fence returns the token to send with an order, and whether the lease is held
// at now. It must be called right before each order.
func (e *Election) Fence(now time.Duration) (fleet.FencingToken, bool) {
	if !e.IsHeld(now) {
		return 0, false
	}
	return e.row.record.Token, true
}

// IsHeld tells whether the lease is held at now.
func (e *Election) IsHeld(now time.Duration) bool { return !e.resigning && now < e.validUntil }

// Observed returns the lease's record as last seen; false before the first read.
func (e *Election) Observed() (Record, bool) { return e.row.record, e.row.revision != 0 }

// Predecessor returns whom the row named when this process last took it over:
// nobody, if the lease had been released or never held. A lease that ran out
// has been without a holder for twice the margin when it is taken over; a
// released one may be taken over at once.
func (e *Election) Predecessor() HolderID { return e.predecessor }

// IdleAtTakeover returns how long the lease had not been used when it was
// released to this process.
func (e *Election) IdleAtTakeover() time.Duration { return e.idleAtTakeover }

// RecordUse notes that the lease was used, such as for an order.
func (e *Election) RecordUse(now time.Duration) { e.lastUsedAt = max(e.lastUsedAt, now) }

// SetEligible tells whether the process takes the lease when it is free. In a
// large fleet only a few processes need to poll. A holder stays one.
func (e *Election) SetEligible(eligible bool) { e.ineligible = !eligible }

// IsEligible tells what SetEligible was last told; true before.
func (e *Election) IsEligible() bool { return !e.ineligible }

// Resign ends the process's part: it stops believing at once, and Next asks for
// the lease's release if it is held for certain. Else the lease runs out.
func (e *Election) Resign() { e.resigning = true }

// Next returns what to do at now.
func (e *Election) Next(now time.Duration) Action {
	if e.resigning {
		return e.nextRelease(now)
	}
	if now < e.nextActionAt {
		return Action{Kind: ActionWait, Until: e.nextActionAt}
	}
	if e.ineligible && !e.mustRead && !e.isRecordedHolder() && !e.isHeldByEarlierRun() {
		e.nextActionAt = now + e.pollInterval()
		return Action{Kind: ActionWait, Until: e.nextActionAt}
	}
	if e.mustRead || !e.canWrite(now) || e.isStoreClockStale(now) {
		e.readStartedAt = now
		return Action{Kind: ActionRead}
	}
	return e.startCommit(now, e.claim())
}

func (e *Election) nextRelease(now time.Duration) Action {
	if e.resigned || e.mustRead || !e.isRecordedHolder() {
		return Action{Kind: ActionDone}
	}
	e.resigned = true
	released := e.row.record
	released.Holder = ""
	released.IdleMillis = max(now-e.lastUsedAt, 0).Milliseconds()
	return e.startCommit(now, released)
}

// isRecordedHolder tells whether the row as last seen names this process.
func (e *Election) isRecordedHolder() bool { return e.row.record.Holder == e.holder }

// canWrite tells whether the row is this process's, free or run out.
func (e *Election) canWrite(now time.Duration) bool {
	if e.isRecordedHolder() || e.row.record.Holder == "" || e.isHeldByEarlierRun() {
		return true
	}
	return now >= e.expiresAt()
}

// isHeldByEarlierRun tells whether the row names an earlier run on this machine, which
// has ended.
func (e *Election) isHeldByEarlierRun() bool {
	return e.settings.Exclusive && !e.isRecordedHolder() && e.row.record.Holder.Machine() == e.holder.Machine()
}

// claim returns the record that makes or keeps this process the holder.
func (e *Election) claim() Record {
	token := e.highestToken
	if !e.isRecordedHolder() {
		token++
		e.predecessor = e.row.record.Holder
		e.idleAtTakeover = time.Duration(e.row.record.IdleMillis) * time.Millisecond
	}
	return Record{Holder: e.holder, Token: token, DurationMillis: e.settings.Duration.Milliseconds()}
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

// pollInterval is the time between a challenger's reads.
func (e *Election) pollInterval() time.Duration {
	return e.jitter(e.settings.Duration / pollsPerDuration)
}

// retryInterval is the time until a holder repeats what failed.
func (e *Election) retryInterval() time.Duration {
	if !e.isRecordedHolder() {
		return e.pollInterval()
	}
	return e.jitter(e.settings.Duration / retriesPerDuration)
}

// jitter returns a time between half of mean and one and a half of it.
func (e *Election) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(e.random.Int64N(int64(mean)+1))
}
