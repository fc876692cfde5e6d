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

// harness drives elections on a virtual clock against a model of the table service.
type harness struct {
	t     *testing.T
	now   time.Duration
	model *platformmodel.Platform
	// unavailable makes every call fail without effect. loseResponses drops commit responses after
	// the commit took effect.
	unavailable, loseResponses bool
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, model: platformmodel.New(platformmodel.Options{})}
}

// step performs the election's next action and reports whether there was one.
func (h *harness) step(election *Election) bool {
	switch action := election.Next(h.now); action.Kind {
	case ActionRead:
		if h.unavailable {
			require.NoError(h.t, election.ReadDone(h.now, platform.Row{}, platform.ErrUnavailable))
			return true
		}
		row, err := h.model.Get(h.now, testSettings.Key)
		require.NoError(h.t, election.ReadDone(h.now, row, err))
	case ActionCommit:
		election.CommitDone(h.now, h.commit(action.Transaction))
	default:
		return false
	}
	return true
}

func (h *harness) commit(transaction platform.Transaction) error {
	if h.unavailable {
		return errors.Wrap(platform.ErrUnavailable, "commit")
	}
	err := h.model.Commit(h.now, transaction)
	if h.loseResponses {
		return errors.Wrap(platform.ErrUnknownOutcome, "commit")
	}
	return err
}

// run advances the clock by duration while the elections act.
func (h *harness) run(duration time.Duration, elections ...*Election) {
	for end := h.now + duration; h.now < end; h.now += 100 * time.Millisecond {
		for _, election := range elections {
			for h.step(election) {
			}
		}
	}
}

func (h *harness) token(election *Election) fleet.FencingToken {
	token, held := election.Fence(h.now)
	require.True(h.t, held)
	return token
}

func TestHolderRenewsAndChallengerWaits(t *testing.T) {
	h := newHarness(t)
	a, b := newElection(t, "a", 1), newElection(t, "b", 2)
	h.run(time.Second, a)
	for range 600 {
		h.run(100*time.Millisecond, a, b)
		require.EqualValues(t, 1, h.token(a))
		require.False(t, b.IsHeld(h.now))
	}
}

func TestChallengerWaitsForDurationAndMargin(t *testing.T) {
	h := newHarness(t)
	h.run(time.Second, newElection(t, "a", 1))
	b := newElection(t, "b", 2)
	require.True(t, h.step(b))
	expiry := h.now + testSettings.Duration + testSettings.Margin
	assert.Equal(t, ActionRead, b.Next(expiry-1).Kind)
	assert.Equal(t, ActionCommit, b.Next(expiry).Kind)
}

func TestFrozenHolderLosesLeaseBeforeTakeover(t *testing.T) {
	h := newHarness(t)
	a, b := newElection(t, "a", 1), newElection(t, "b", 2)
	h.run(time.Second, a, b)
	require.True(t, a.IsHeld(h.now))
	for !b.IsHeld(h.now) {
		h.run(100*time.Millisecond, b)
		require.False(t, a.IsHeld(h.now) && b.IsHeld(h.now))
		require.Less(t, h.now, time.Minute)
	}
	_, held := a.Fence(h.now)
	assert.False(t, held, "the lease has expired when the holder resumes, before any call")
	h.run(time.Second, a, b)
	assert.False(t, a.IsHeld(h.now))
	assert.EqualValues(t, 2, h.token(b))
}

func TestLostCommitResponseIsResolvedByReadAndCountsFromCommitStart(t *testing.T) {
	h := newHarness(t)
	a := newElection(t, "a", 1)
	require.True(t, h.step(a)) // reads: there is no row
	h.loseResponses = true
	start := h.now
	require.True(t, h.step(a))
	require.False(t, a.IsHeld(h.now))
	h.now += 5 * time.Second
	require.True(t, h.step(a)) // reads its own row, which resolves the commit
	assert.EqualValues(t, 1, h.token(a))
	expiry := start + testSettings.Duration - testSettings.Margin
	assert.True(t, a.IsHeld(expiry-1))
	assert.False(t, a.IsHeld(expiry))
}

func TestTwoLostCommitResponsesOnOneRevisionCountFromEarlier(t *testing.T) {
	h := newHarness(t)
	a := newElection(t, "a", 1)
	require.True(t, h.step(a))
	first := a.Next(h.now)
	require.Equal(t, ActionCommit, first.Kind)
	a.CommitDone(h.now, platform.ErrUnknownOutcome)
	h.now += 4 * time.Second
	require.True(t, h.step(a)) // reads: still no row
	require.NoError(t, h.commit(first.Transaction), "the first commit takes effect late")
	h.now += time.Second
	h.loseResponses = true
	require.True(t, h.step(a)) // the second commit conflicts, and its response is lost
	h.now += 2 * time.Second
	require.True(t, h.step(a)) // reads its own row
	assert.True(t, a.IsHeld(9*time.Second-1))
	assert.False(t, a.IsHeld(9*time.Second))
}

func TestSlowRenewalCountsFromCommitStart(t *testing.T) {
	h := newHarness(t)
	a := newElection(t, "a", 1)
	require.True(t, h.step(a))
	action := a.Next(h.now)
	require.Equal(t, ActionCommit, action.Kind)
	require.NoError(t, h.commit(action.Transaction))
	h.now += 9 * time.Second
	a.CommitDone(h.now, nil)
	assert.False(t, a.IsHeld(h.now), "the response arrived after the lease had expired")
}

func TestStoreOutageEndsLeaseAndKeepsTokenOnRecovery(t *testing.T) {
	h := newHarness(t)
	a, b := newElection(t, "a", 1), newElection(t, "b", 2)
	h.run(time.Second, a, b)
	h.unavailable = true
	h.run(9*time.Second, a, b)
	assert.False(t, a.IsHeld(h.now))
	h.run(time.Hour, a, b)
	h.unavailable = false
	h.run(time.Minute, a, b)
	assert.NotEqual(t, a.IsHeld(h.now), b.IsHeld(h.now), "exactly one process must hold the lease again")
	record, _ := a.Observed()
	assert.LessOrEqual(t, record.Token, fleet.FencingToken(2))
}

func TestOneOfTwoRacingChallengersWins(t *testing.T) {
	h := newHarness(t)
	a, b := newElection(t, "a", 1), newElection(t, "b", 2)
	require.True(t, h.step(a))
	require.True(t, h.step(b))
	first, second := a.Next(h.now), b.Next(h.now)
	require.Equal(t, ActionCommit, first.Kind)
	require.Equal(t, ActionCommit, second.Kind)
	a.CommitDone(h.now, h.commit(first.Transaction))
	b.CommitDone(h.now, h.commit(second.Transaction))
	h.run(time.Second, b)
	assert.EqualValues(t, 1, h.token(a))
	assert.False(t, b.IsHeld(h.now))
}

func TestRestartedProcessIsANewHolder(t *testing.T) {
	h := newHarness(t)
	before, after := newElection(t, "a", 1), newElection(t, "a", 2)
	h.run(time.Second, before)
	h.run(5*time.Second, after)
	assert.False(t, after.IsHeld(h.now))
	h.run(15*time.Second, after)
	assert.EqualValues(t, 2, h.token(after))
}

func TestReleasedLeaseIsTakenOverImmediately(t *testing.T) {
	h := newHarness(t)
	a, b := newElection(t, "a", 1), newElection(t, "b", 2)
	h.run(time.Second, a, b)
	a.Resign()
	require.False(t, a.IsHeld(h.now))
	h.run(5*time.Second, a, b)
	assert.Equal(t, ActionDone, a.Next(h.now).Kind)
	assert.EqualValues(t, 2, h.token(b))
}

// TestYieldedLeaseIsTakenOverAndBack guards against a holder that keeps the lease although it can't use
// it, and against one that never takes it again.
func TestYieldedLeaseIsTakenOverAndBack(t *testing.T) {
	h := newHarness(t)
	a, b := newElection(t, "a", 1), newElection(t, "b", 2)
	h.run(time.Second, a, b)
	require.True(t, a.IsHeld(h.now))
	a.SetYielding(h.now, true)
	require.False(t, a.IsHeld(h.now))
	h.run(5*time.Second, a, b)
	assert.EqualValues(t, 2, h.token(b))
	a.SetYielding(h.now, false)
	b.SetYielding(h.now, true)
	h.run(5*time.Second, a, b)
	assert.EqualValues(t, 3, h.token(a))
}

func TestIneligibleProcessMakesNoCalls(t *testing.T) {
	h := newHarness(t)
	a := newElection(t, "a", 1)
	a.SetEligible(false)
	h.run(time.Minute, a)
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
			assert.Empty(t, record.Holder, "took over a lease that has not expired")
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

// TestExclusiveRestartTakesOverImmediately guards against a restarted process, even an ineligible
// one, waiting for its earlier run's lease on an exclusive machine, and other machines not waiting.
func TestExclusiveRestartTakesOverImmediately(t *testing.T) {
	h := newHarness(t)
	settings := testSettings
	settings.Exclusive = true
	elect := func(name string, seed uint64) *Election {
		election, err := NewElection(settings, NewHolderID(fleet.NodeID(name), seed), rand.New(rand.NewPCG(seed, 1)))
		require.NoError(t, err)
		return election
	}
	before, other, after := elect("a", 1), elect("b", 2), elect("a", 3)
	h.run(time.Second, before)
	after.SetEligible(false)
	h.run(500*time.Millisecond, other)
	require.True(t, h.step(after))
	require.True(t, h.step(after))
	assert.EqualValues(t, 2, h.token(after))
	assert.Equal(t, "a", after.Predecessor().Machine())
	h.run(5*time.Second, other, after)
	assert.False(t, other.IsHeld(h.now))
}

func TestReleaseRecordsIdleTime(t *testing.T) {
	h := newHarness(t)
	a, b := newElection(t, "a", 1), newElection(t, "b", 2)
	h.run(time.Second, a)
	a.RecordUse(h.now)
	h.run(2*time.Second, a)
	a.Resign()
	h.run(time.Second, a, b)
	require.True(t, b.IsHeld(h.now))
	assert.Empty(t, b.Predecessor())
	assert.InDelta(t, 2*time.Second, b.IdleAtTakeover(), float64(200*time.Millisecond))
}

// reportRead reads the row and reports it to the election with the given store time.
func (h *harness) reportRead(election *Election, storeTime time.Duration) {
	row, err := h.model.Get(h.now, testSettings.Key)
	row.StoreTime = storeTime
	require.NoError(h.t, election.ReadDone(h.now, row, err))
}

// TestExpiredLeaseIsTakenOnFirstReadByStoreTime guards against a new process waiting for a whole
// duration when the store's time shows that the lease has already expired.
func TestExpiredLeaseIsTakenOnFirstReadByStoreTime(t *testing.T) {
	const epoch = time.Hour
	h := newHarness(t)
	holder := newElection(t, "holder", 1)
	require.Equal(t, ActionRead, holder.Next(h.now).Kind)
	h.reportRead(holder, epoch+h.now)
	require.True(t, h.step(holder))
	require.True(t, holder.IsHeld(h.now))

	challenger := newElection(t, "late", 2)
	expiry := testSettings.Duration + testSettings.Margin
	h.now = expiry - time.Second
	require.Equal(t, ActionRead, challenger.Next(h.now).Kind)
	h.reportRead(challenger, epoch+h.now)
	assert.NotEqual(t, ActionCommit, challenger.Next(h.now).Kind, "the lease may still be held")
	h.now = expiry + time.Millisecond
	action := challenger.Next(h.now)
	require.Equal(t, ActionCommit, action.Kind, "the lease has expired by the store's time, though the row was first seen a second ago")
	challenger.CommitDone(h.now, h.commit(action.Transaction))
	assert.True(t, challenger.IsHeld(h.now))
}

// TestChallengerWaitsWithoutStoreTime guards against an early takeover when the store reports no
// time: the wait then counts from the first read of the row.
func TestChallengerWaitsWithoutStoreTime(t *testing.T) {
	h := newHarness(t)
	holder := newElection(t, "holder", 1)
	for h.step(holder) {
	}
	h.now = time.Minute
	challenger := newElection(t, "late", 2)
	require.True(t, h.step(challenger))
	assert.Equal(t, ActionWait, challenger.Next(h.now).Kind)
}

// TestHolderResamplesStoreTime guards against drift between the holder's clock and the store's: the
// holder must read the store's time regularly, and write a close upper bound of it.
func TestHolderResamplesStoreTime(t *testing.T) {
	const epoch = time.Hour
	h := newHarness(t)
	holder := newElection(t, "holder", 1)
	reads := 0
	for h.now < 10*testSettings.Duration {
		switch action := holder.Next(h.now); action.Kind {
		case ActionRead:
			reads++
			h.reportRead(holder, epoch+h.now)
		case ActionCommit:
			holder.CommitDone(h.now, h.commit(action.Transaction))
			record, _ := holder.Observed()
			written := time.Duration(record.WrittenMillis) * time.Millisecond
			assert.GreaterOrEqual(t, written, epoch+h.now)
			assert.Less(t, written, epoch+h.now+testSettings.Duration/2)
		default:
			h.now = action.Until
		}
	}
	assert.GreaterOrEqual(t, reads, 4)
}
