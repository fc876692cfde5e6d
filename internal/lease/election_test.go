package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/lab/standin/platformmodel"
)

var testSettings = Settings{Key: "lease/rollout", Duration: 10 * time.Second, Margin: time.Second}

func newElection(t require.TestingT, name string, seed uint64) *Election {
	election, err := NewElection(testSettings, NewHolderID(fleet.NodeID(name), seed), rand.New(rand.NewPCG(seed, 1)))
	require.NoError(t, err)
	return election
}

// harness drives elections on one virtual clock against a model of the platform.
type harness struct {
	t     *testing.T
	now   time.Duration
	model *platformmodel.Platform
	// unavailable makes each call fail without effect; loseAnswers loses commit answers after
	// their effect.
	unavailable, loseAnswers bool
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, model: platformmodel.New(platformmodel.Options{})}
}

// step performs the election's next action at once; false if it waits.
func (w *harness) step(election *Election) bool {
	switch action := election.Next(w.now); action.Kind {
	case ActionRead:
		if w.unavailable {
			require.NoError(w.t, election.ReadDone(w.now, platform.Row{}, platform.ErrUnavailable))
			return true
		}
		row, err := w.model.Get(w.now, testSettings.Key)
		require.NoError(w.t, election.ReadDone(w.now, row, err))
	case ActionCommit:
		election.CommitDone(w.now, w.commit(action.Transaction))
	default:
		return false
	}
	return true
}

func (w *harness) commit(transaction platform.Transaction) error {
	if w.unavailable {
		return errors.Wrap(platform.ErrUnavailable, "commit")
	}
	err := w.model.Commit(w.now, transaction)
	if w.loseAnswers {
		return errors.Wrap(platform.ErrUnknownOutcome, "commit")
	}
	return err
}

// run advances the clock by duration, with the elections awake.
func (w *harness) run(duration time.Duration, elections ...*Election) {
	for end := w.now + duration; w.now < end; w.now += 100 * time.Millisecond {
		for _, election := range elections {
			for w.step(election) {
			}
		}
	}
}

func (w *harness) token(election *Election) fleet.FencingToken {
	token, held := election.Fence(w.now)
	require.True(w.t, held)
	return token
}

func TestHolderRenewsAndChallengerWaits(t *testing.T) {
	w := newHarness(t)
	a, b := newElection(t, "a", 1), newElection(t, "b", 2)
	w.run(time.Second, a)
	for range 600 {
		w.run(100*time.Millisecond, a, b)
		require.EqualValues(t, 1, w.token(a))
		require.False(t, b.IsHeld(w.now))
	}
}

func TestChallengerWaitsForDurationAndMargin(t *testing.T) {
	w := newHarness(t)
	w.run(time.Second, newElection(t, "a", 1))
	b := newElection(t, "b", 2)
	require.True(t, w.step(b))
	runsOut := w.now + testSettings.Duration + testSettings.Margin
	assert.Equal(t, ActionRead, b.Next(runsOut-1).Kind)
	assert.Equal(t, ActionCommit, b.Next(runsOut).Kind)
}

func TestFrozenHolderLosesLeaseBeforeTakeover(t *testing.T) {
	w := newHarness(t)
	a, b := newElection(t, "a", 1), newElection(t, "b", 2)
	w.run(time.Second, a, b)
	require.True(t, a.IsHeld(w.now))
	for !b.IsHeld(w.now) {
		w.run(100*time.Millisecond, b)
		require.False(t, a.IsHeld(w.now) && b.IsHeld(w.now))
		require.Less(t, w.now, time.Minute)
	}
	_, held := a.Fence(w.now)
	assert.False(t, held, "the thawed holder's first check fails, before any call")
	w.run(time.Second, a, b)
	assert.False(t, a.IsHeld(w.now))
	assert.EqualValues(t, 2, w.token(b))
}

func TestLostCommitAnswerIsResolvedByReadAndCountsFromCommitStart(t *testing.T) {
	w := newHarness(t)
	a := newElection(t, "a", 1)
	require.True(t, w.step(a)) // reads: the row doesn't exist
	w.loseAnswers = true
	start := w.now
	require.True(t, w.step(a))
	require.False(t, a.IsHeld(w.now))
	w.now += 5 * time.Second
	require.True(t, w.step(a)) // reads back
	assert.EqualValues(t, 1, w.token(a))
	lapse := start + testSettings.Duration - testSettings.Margin
	assert.True(t, a.IsHeld(lapse-1))
	assert.False(t, a.IsHeld(lapse))
}

func TestTwoLostCommitAnswersOnOneRevisionCountFromEarlier(t *testing.T) {
	w := newHarness(t)
	a := newElection(t, "a", 1)
	require.True(t, w.step(a))
	first := a.Next(w.now)
	require.Equal(t, ActionCommit, first.Kind)
	a.CommitDone(w.now, platform.ErrUnknownOutcome)
	w.now += 4 * time.Second
	require.True(t, w.step(a)) // reads: still no row
	require.NoError(t, w.commit(first.Transaction), "the first arrives late")
	w.now += time.Second
	w.loseAnswers = true
	require.True(t, w.step(a)) // the second commit conflicts, unseen
	w.now += 2 * time.Second
	require.True(t, w.step(a)) // reads its own row
	assert.True(t, a.IsHeld(9*time.Second-1))
	assert.False(t, a.IsHeld(9*time.Second))
}

func TestSlowRenewalCountsFromCommitStart(t *testing.T) {
	w := newHarness(t)
	a := newElection(t, "a", 1)
	require.True(t, w.step(a))
	action := a.Next(w.now)
	require.Equal(t, ActionCommit, action.Kind)
	require.NoError(t, w.commit(action.Transaction))
	w.now += 9 * time.Second
	a.CommitDone(w.now, nil)
	assert.False(t, a.IsHeld(w.now), "the answer came when the lease had run out")
}

func TestStoreOutageEndsLeaseAndKeepsTokenOnRecovery(t *testing.T) {
	w := newHarness(t)
	a, b := newElection(t, "a", 1), newElection(t, "b", 2)
	w.run(time.Second, a, b)
	w.unavailable = true
	w.run(9*time.Second, a, b)
	assert.False(t, a.IsHeld(w.now))
	w.run(time.Hour, a, b)
	w.unavailable = false
	w.run(time.Minute, a, b)
	assert.NotEqual(t, a.IsHeld(w.now), b.IsHeld(w.now), "exactly one holds it again")
	record, _ := a.Observed()
	assert.LessOrEqual(t, record.Token, fleet.FencingToken(2))
}

func TestOneOfTwoRacingChallengersWins(t *testing.T) {
	w := newHarness(t)
	a, b := newElection(t, "a", 1), newElection(t, "b", 2)
	require.True(t, w.step(a))
	require.True(t, w.step(b))
	first, second := a.Next(w.now), b.Next(w.now)
	require.Equal(t, ActionCommit, first.Kind)
	require.Equal(t, ActionCommit, second.Kind)
	a.CommitDone(w.now, w.commit(first.Transaction))
	b.CommitDone(w.now, w.commit(second.Transaction))
	w.run(time.Second, b)
	assert.EqualValues(t, 1, w.token(a))
	assert.False(t, b.IsHeld(w.now))
}

func TestRestartedProcessIsANewHolder(t *testing.T) {
	w := newHarness(t)
	before, after := newElection(t, "a", 1), newElection(t, "a", 2)
	w.run(time.Second, before)
	w.run(5*time.Second, after)
	assert.False(t, after.IsHeld(w.now))
	w.run(15*time.Second, after)
	assert.EqualValues(t, 2, w.token(after))
}

func TestReleasedLeaseIsTakenOverImmediately(t *testing.T) {
	w := newHarness(t)
	a, b := newElection(t, "a", 1), newElection(t, "b", 2)
	w.run(time.Second, a, b)
	a.Resign()
	require.False(t, a.IsHeld(w.now))
	w.run(5*time.Second, a, b)
	assert.Equal(t, ActionDone, a.Next(w.now).Kind)
	assert.EqualValues(t, 2, w.token(b))
}

func TestIneligibleProcessMakesNoCalls(t *testing.T) {
	w := newHarness(t)
	a := newElection(t, "a", 1)
	a.SetEligible(false)
	w.run(time.Minute, a)
	_, observed := a.Observed()
	assert.False(t, observed)
}

func TestMalformedRowIsNeverOverwritten(t *testing.T) {
	a := newElection(t, "a", 1)
	for _, value := range []string{"", "{}", `{"token":1}`, `{"token":-1,"duration_ms":1}`, `{"token":1,"duration_ms":9223372036854775807}`} {
		err := a.ReadDone(0, platform.Row{Key: testSettings.Key, Value: []byte(value), Revision: 3}, nil)
		require.ErrorIs(t, err, ErrMalformedRecord, value)
		assert.NotEqual(t, ActionCommit, a.Next(time.Hour).Kind)
	}
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add(encodeRecord(Record{Holder: "a/1", Token: 1, DurationMillis: 6000}))
	f.Add([]byte(`{"holder":"","token":18446744073709551615,"duration_ms":9223372036854775807}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		a := newElection(t, "a", 1)
		if a.ReadDone(0, platform.Row{Value: value, Revision: 1}, nil) != nil {
			return
		}
		action := a.Next(0)
		record, _ := a.Observed()
		if action.Kind == ActionCommit {
			assert.Empty(t, record.Holder, "a lease that hasn't run out is taken over")
			written, err := decodeRecord(action.Transaction.Writes[0].Value)
			require.NoError(t, err)
			assert.Greater(t, written.Token, record.Token)
		}
	})
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for _, settings := range []Settings{
		{Duration: time.Second, Margin: time.Millisecond},
		{Key: "k", Duration: time.Second},
		{Key: "k", Duration: time.Second, Margin: time.Second / 2},
		{Key: "k", Duration: time.Microsecond, Margin: 1},
		{Key: "k", Duration: 2 * MaxDuration, Margin: time.Second},
	} {
		assert.Error(t, settings.Validate(), "%+v", settings)
	}
	assert.NoError(t, Settings{Key: "k", Duration: DefaultDuration, Margin: DefaultMargin}.Validate())
}

// TestExclusiveRestartTakesOverImmediately where a machine runs one process at
// a time, also if it isn't eligible; others wait.
func TestExclusiveRestartTakesOverImmediately(t *testing.T) {
	w := newHarness(t)
	settings := testSettings
	settings.Exclusive = true
	elect := func(name string, seed uint64) *Election {
		election, err := NewElection(settings, NewHolderID(fleet.NodeID(name), seed), rand.New(rand.NewPCG(seed, 1)))
		require.NoError(t, err)
		return election
	}
	before, other, after := elect("a", 1), elect("b", 2), elect("a", 3)
	w.run(time.Second, before)
	after.SetEligible(false)
	w.run(500*time.Millisecond, other)
	require.True(t, w.step(after))
	require.True(t, w.step(after))
	assert.EqualValues(t, 2, w.token(after))
	assert.Equal(t, "a", after.Predecessor().Machine())
	w.run(5*time.Second, other, after)
	assert.False(t, other.IsHeld(w.now))
}

// TestReleaseRecordsIdleTime.
func TestReleaseRecordsIdleTime(t *testing.T) {
	w := newHarness(t)
	a, b := newElection(t, "a", 1), newElection(t, "b", 2)
	w.run(time.Second, a)
	a.RecordUse(w.now)
	w.run(2*time.Second, a)
	a.Resign()
	w.run(time.Second, a, b)
	require.True(t, b.IsHeld(w.now))
	assert.Empty(t, b.Predecessor())
	assert.InDelta(t, 2*time.Second, b.IdleAtTakeover(), float64(200*time.Millisecond))
}

// reportRead reports a read of the row at now, which began as long ago as the read took.
func (w *harness) reportRead(election *Election, storeTime time.Duration) {
	row, err := w.model.Get(w.now, testSettings.Key)
	row.StoreTime = storeTime
	require.NoError(w.t, election.ReadDone(w.now, row, err))
}

// TestExpiredLeaseIsTakenOnFirstReadByStoreTime has a process look for the first time when the
// holder, which renewed unseen, has been gone for longer than its lease.
func TestExpiredLeaseIsTakenOnFirstReadByStoreTime(t *testing.T) {
	const epoch = time.Hour
	w := newHarness(t)
	holder := newElection(t, "holder", 1)
	require.Equal(t, ActionRead, holder.Next(w.now).Kind)
	w.reportRead(holder, epoch+w.now)
	require.True(t, w.step(holder))
	require.True(t, holder.IsHeld(w.now))

	late := newElection(t, "late", 2)
	runOut := testSettings.Duration + testSettings.Margin
	w.now = runOut - time.Second
	require.Equal(t, ActionRead, late.Next(w.now).Kind)
	w.reportRead(late, epoch+w.now)
	assert.NotEqual(t, ActionCommit, late.Next(w.now).Kind, "it may still be believed in")
	w.now = runOut + time.Millisecond
	action := late.Next(w.now)
	require.Equal(t, ActionCommit, action.Kind, "nothing more to wait for, though the row was first seen a second ago")
	late.CommitDone(w.now, w.commit(action.Transaction))
	assert.True(t, late.IsHeld(w.now))
}

// TestChallengerWaitsWithoutStoreTime falls back to the time since the row
// was first seen.
func TestChallengerWaitsWithoutStoreTime(t *testing.T) {
	w := newHarness(t)
	holder := newElection(t, "holder", 1)
	for w.step(holder) {
	}
	w.now = time.Minute
	late := newElection(t, "late", 2)
	require.True(t, w.step(late))
	assert.Equal(t, ActionWait, late.Next(w.now).Kind)
}

// TestHolderResamplesStoreTime has a holder read now and then, since its clock
// may run at another speed than the store's.
func TestHolderResamplesStoreTime(t *testing.T) {
	const epoch = time.Hour
	w := newHarness(t)
	holder := newElection(t, "holder", 1)
	reads := 0
	for w.now < 10*testSettings.Duration {
		switch action := holder.Next(w.now); action.Kind {
		case ActionRead:
			reads++
			w.reportRead(holder, epoch+w.now)
		case ActionCommit:
			holder.CommitDone(w.now, w.commit(action.Transaction))
			record, _ := holder.Observed()
			written := time.Duration(record.WrittenMillis) * time.Millisecond
			assert.GreaterOrEqual(t, written, epoch+w.now)
			assert.Less(t, written, epoch+w.now+testSettings.Duration/2)
		default:
			w.now = action.Until
		}
	}
	assert.GreaterOrEqual(t, reads, 4)
}
