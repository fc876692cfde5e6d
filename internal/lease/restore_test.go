package lease

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
)

// storedLease is the lease row of a restorableTable. version is the store's own number.
type storedLease struct {
	value   []byte
	count   uint64
	version uint64
}

// restorableTable is a table service with a single row, which is restored from earlier copies. It
// gives out the versions after the copy again.
type restorableTable struct {
	epoch   fleet.StoreEpoch
	version uint64
	row     storedLease
}

// pendingWrite is a transaction with the version that its sender expects.
type pendingWrite struct {
	transaction platform.Transaction
	expected    uint64
}

func (r *restorableTable) commit(write *pendingWrite) error {
	if write.expected != r.row.version {
		return platform.ErrConflict
	}
	r.version++
	r.row = storedLease{value: write.transaction.Writes[0].Value, count: write.transaction.Compares[0].Revision + 1, version: r.version}
	return nil
}

// restore returns the table from a copy.
func (r *restorableTable) restore(earlier restorableTable) {
	epoch := r.epoch + 1
	*r = earlier
	r.epoch = epoch
}

// restoredProcess is an election with the state of its client of the table service.
type restoredProcess struct {
	election  *Election
	seen      storedLease
	seenEpoch fleet.StoreEpoch
	offset    time.Duration
	resumesAt time.Duration
}

// restoreSimulation is a random run of elections over restores of the table service, with lost
// responses, writes that are applied late, pauses and restarts.
type restoreSimulation struct {
	t         require.TestingT
	random    *rand.Rand
	now       time.Duration
	table     restorableTable
	earlier   restorableTable
	downUntil time.Duration
	processes []*restoredProcess
	delayed   []*pendingWrite
	runs      uint64
	restores  int
	takeovers map[fleet.FencingToken]HolderID
	// highest is the highest token with which a command was sent.
	highest fleet.FencingToken
	// yields draws when processes begin and cease to yield; nil if none does.
	yields *rand.Rand
}

func (s *restoreSimulation) chance(percent int) bool { return s.random.IntN(100) < percent }

// newProcess returns a process that has just started, neverHeld at the first start of all.
func (s *restoreSimulation) newProcess(name string, neverHeld bool) *restoredProcess {
	s.runs++
	started := &restoredProcess{election: newElection(s.t, name, s.runs), offset: time.Duration(s.runs)*time.Hour - s.now}
	started.election.settings.NeverHeld = neverHeld
	started.election.ObserveEpoch(started.clock(s.now), s.table.epoch)
	return started
}

func (p *restoredProcess) clock(now time.Duration) time.Duration { return p.offset + now }

func (s *restoreSimulation) step(p *restoredProcess) {
	if s.now < p.resumesAt {
		return
	}
	if s.chance(3) {
		p.resumesAt = s.now + time.Duration(s.random.Int64N(int64(15*time.Second)))
	}
	if s.yields != nil && s.yields.IntN(100) < 3 {
		p.election.SetYielding(p.clock(s.now), s.yields.IntN(2) == 0)
	}
	action := p.election.Next(p.clock(s.now))
	switch action.Kind {
	case ActionRead:
		s.read(p)
	case ActionCommit:
		s.commit(p, action.Transaction)
	}
	if token, held := p.election.Fence(p.clock(s.now)); held {
		s.command(p.election.holder, token)
	}
}

// command checks that commands of different holders have different tokens, and that they increase.
func (s *restoreSimulation) command(holder HolderID, token fleet.FencingToken) {
	require.GreaterOrEqual(s.t, token, s.highest, "%s sends a lower token at %s", holder, s.now)
	s.highest = token
	if previous, used := s.takeovers[token]; used {
		require.Equal(s.t, previous, holder, "token %d of two holders at %s", token, s.now)
	}
	s.takeovers[token] = holder
}

func (s *restoreSimulation) read(p *restoredProcess) {
	if s.now < s.downUntil {
		require.NoError(s.t, p.election.ReadDone(p.clock(s.now), platform.Row{}, platform.ErrUnavailable))
		return
	}
	p.seen, p.seenEpoch = s.table.row, s.table.epoch
	row := platform.Row{Value: p.seen.value, Revision: p.seen.count, Epoch: p.seenEpoch, StoreTime: storeEpoch + s.now}
	var err error
	if p.seen.count == 0 {
		err = platform.ErrNotFound
	}
	require.NoError(s.t, p.election.ReadDone(p.clock(s.now), row, err))
}

func (s *restoreSimulation) commit(p *restoredProcess, transaction platform.Transaction) {
	write := &pendingWrite{transaction: transaction, expected: p.seen.version}
	err := platform.ErrUnknownOutcome
	switch {
	case s.now < s.downUntil:
		if s.chance(50) {
			s.delayed = append(s.delayed, write)
		}
	case s.chance(10):
		s.delayed = append(s.delayed, write)
	case p.seenEpoch != s.table.epoch:
		err = platform.ErrConflict
	default:
		err = s.table.commit(write)
		if err == nil {
			p.seen = s.table.row
		}
		if s.chance(10) {
			err = platform.ErrUnknownOutcome
		}
	}
	p.election.CommitDone(p.clock(s.now), err)
}

// disturb applies delayed writes, restarts a process, makes a copy, or restores the last one while the
// store is down for a time.
func (s *restoreSimulation) disturb() {
	if len(s.delayed) > 0 && s.now >= s.downUntil && s.chance(10) {
		index := s.random.IntN(len(s.delayed))
		_ = s.table.commit(s.delayed[index])
		s.delayed = slices.Delete(s.delayed, index, index+1)
	}
	if s.chance(1) {
		s.processes[s.random.IntN(len(s.processes))] = s.newProcess("restarted", false)
	}
	if s.chance(5) {
		s.table.version++
	}
	if s.chance(3) {
		s.earlier = s.table
	}
	if s.now >= s.downUntil && s.chance(1) {
		s.downUntil = s.now + time.Duration(s.random.Int64N(int64(12*time.Second)))
		s.table.restore(s.earlier)
		s.restores++
	}
}

func (s *restoreSimulation) checkHolders() {
	var holders []HolderID
	for _, p := range s.processes {
		if p.election.IsHeld(p.clock(s.now)) {
			holders = append(holders, p.election.holder)
		}
	}
	require.LessOrEqual(s.t, len(holders), 1, "holders at %s after %d restores: %v", s.now, s.restores, holders)
}

// A lease that the store has lost must not be given out to a second holder while the first one holds
// it, and no token may be used twice.
func TestAtMostOneHolderOverRestores(t *testing.T) { simulateRestores(t, false) }

// TestAtMostOneHolderWhileSomeYield guards against a lease that is held by two processes, or used
// without being held, after one of them has given it up.
func TestAtMostOneHolderWhileSomeYield(t *testing.T) { simulateRestores(t, true) }

func simulateRestores(t *testing.T, yielding bool) {
	restores, takeovers := 0, 0
	for seed := range uint64(300) {
		s := &restoreSimulation{
			t: t, random: rand.New(rand.NewPCG(seed, 5)), takeovers: make(map[fleet.FencingToken]HolderID),
			table: restorableTable{epoch: fleet.StoreEpoch(seed % 3)},
		}
		if yielding {
			s.yields = rand.New(rand.NewPCG(seed, 6))
		}
		s.earlier = s.table
		for _, name := range []string{"a", "b", "c"} {
			s.processes = append(s.processes, s.newProcess(name, true))
		}
		for range 1500 {
			s.now += 100 * time.Millisecond
			s.disturb()
			for _, p := range s.processes {
				s.step(p)
				s.checkHolders()
			}
		}
		restores += s.restores
		takeovers += len(s.takeovers)
	}
	t.Logf("%d restores, %d takeovers", restores, takeovers)
	assert.Greater(t, restores, 1000)
	assert.Greater(t, takeovers, 600)
}

// A holder whose row was lost writes it again while its lease lasts, with the token that it has.
func TestHolderKeepsLeaseOverRestore(t *testing.T) {
	election := newElection(t, "a", 1)
	var written Record
	commitAt := func(now time.Duration) {
		action := election.Next(now)
		require.Equal(t, ActionCommit, action.Kind)
		record, err := decodeRecord(action.Transaction.Writes[0].Value)
		require.NoError(t, err)
		written = record
		election.CommitDone(now, nil)
	}
	require.NoError(t, election.ReadDone(0, platform.Row{Epoch: 1}, platform.ErrNotFound))
	taken := testSettings.Duration + testSettings.Margin
	require.Equal(t, ActionRead, election.Next(taken-1).Kind, "the epoch may have had a holder")
	commitAt(taken)
	token, held := election.Fence(taken)
	require.True(t, held)
	renewal := taken + testSettings.Duration/2
	require.Equal(t, ActionCommit, election.Next(renewal).Kind)
	election.CommitDone(renewal, platform.ErrConflict)
	other := encodeRecord(Record{Holder: "b/1", Token: token - 1, DurationMillis: 1000, Epoch: 1})
	require.Equal(t, ActionRead, election.Next(renewal).Kind)
	require.NoError(t, election.ReadDone(renewal, platform.Row{Epoch: 2, Revision: 1, Value: other}, nil))
	assert.True(t, election.IsHeld(renewal))
	commitAt(renewal)
	assert.Equal(t, Record{Holder: election.holder, Token: token, DurationMillis: written.DurationMillis, WrittenMillis: written.WrittenMillis, Epoch: 2}, written)
	again, held := election.Fence(renewal + testSettings.Duration/2)
	assert.True(t, held)
	assert.Equal(t, token, again)
}

// A challenger must wait for a whole lease from the moment at which the restored store was first seen,
// whatever its row says: the holder before may be another one.
func TestChallengerWaitsAfterRestore(t *testing.T) {
	wait := testSettings.Duration + testSettings.Margin
	for name, row := range map[string]platform.Row{
		"missing":  {Epoch: 2},
		"released": {Epoch: 2, Revision: 3, Value: encodeRecord(Record{Token: 7, DurationMillis: 1000, Epoch: 1})},
		"expired":  {Epoch: 2, Revision: 3, StoreTime: time.Hour, Value: encodeRecord(Record{Holder: "b/1", Token: 7, DurationMillis: 1000, WrittenMillis: 1, Epoch: 1})},
	} {
		election := newElection(t, "a", 1)
		election.ObserveEpoch(time.Second, 2)
		var err error
		if row.Revision == 0 {
			err = platform.ErrNotFound
		}
		require.NoError(t, election.ReadDone(4*time.Second, row, err), name)
		assert.NotEqual(t, ActionCommit, election.Next(time.Second+wait-1).Kind, name)
		assert.Equal(t, ActionCommit, election.Next(time.Second+wait).Kind, name)
		election.CommitDone(time.Second+wait, nil)
		token, held := election.Fence(time.Second + wait)
		assert.True(t, held, name)
		assert.Greater(t, token, fleet.FencingToken(1<<20), "%s: higher than any token of the former epoch", name)
	}
}

// A row of a former epoch that is read after a later one was observed must be read again after a
// pause, and nothing may be written by it.
func TestLateRowOfFormerEpochIsReadAgain(t *testing.T) {
	election := newElection(t, "a", 1)
	election.ObserveEpoch(time.Second, 2)
	row := platform.Row{Epoch: 1, Revision: 3, Value: encodeRecord(Record{Token: 7, DurationMillis: 1000, Epoch: 1})}
	require.NoError(t, election.ReadDone(2*time.Second, row, nil))
	action := election.Next(2 * time.Second)
	require.Equal(t, ActionWait, action.Kind)
	assert.Equal(t, ActionRead, election.Next(action.Until).Kind)
}
