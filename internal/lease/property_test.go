package lease

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/lab/standin/platformmodel"
)

// storeEpoch is the store's time at the start of a simulation.
const storeEpoch = 3 * time.Hour

// process is an election with its own clock and at most one delayed call in flight.
type process struct {
	election *Election
	offset   time.Duration
	// ratePercent is the clock's rate; the margin covers 91 to 109.
	ratePercent   int64
	resumesAt     time.Duration
	pendingAction *Action
}

func (p *process) clock(now time.Duration) time.Duration {
	return p.offset + now*time.Duration(p.ratePercent)/100
}

// command is a command in flight to the engine.
type command struct {
	holder HolderID
	token  fleet.FencingToken
}

// simulation is a random run with lost responses, late commits, pauses and delayed commands. It
// checks the lease's invariants at each step.
type simulation struct {
	t *rapid.T
	// random is uniform, whereas rapid's generators favour small numbers.
	random          *rand.Rand
	now             time.Duration
	model           *platformmodel.Platform
	processes       []*process
	delayedCommits  []platform.Transaction // of senders that have timed out
	pendingCommands []command

	last Record
	// holders maps each token to the holder that received it.
	holders     map[fleet.FencingToken]HolderID
	engineToken fleet.FencingToken
	// newestExecuted is the last token of the newest holder whose command was executed.
	newestExecuted fleet.FencingToken
	restarts       uint64
}

func (s *simulation) chance(percent int) bool {
	return s.random.IntN(100) < percent
}

func (s *simulation) randomBelow(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

func (s *simulation) commit(transaction platform.Transaction) error {
	err := s.model.Commit(s.now, transaction)
	if err == nil {
		s.checkRecord()
	}
	return err
}

// checkRecord checks the written record against the previous one.
func (s *simulation) checkRecord() {
	row, err := s.model.Get(s.now, testSettings.Key)
	require.NoError(s.t, err)
	record, err := decodeRecord(row.Value)
	require.NoError(s.t, err)
	if record.Holder == s.last.Holder || record.Holder == "" {
		require.Equal(s.t, s.last.Token, record.Token)
	} else {
		require.Equal(s.t, s.last.Token+1, record.Token, "a change of holder must increment the token")
		s.holders[record.Token] = record.Holder
	}
	s.last = record
}

func (s *simulation) step(p *process) {
	if s.now < p.resumesAt {
		return
	}
	if p.pendingAction == nil {
		s.startCall(p)
		return
	}
	if s.chance(70) {
		s.finishCall(p)
	}
}

func (s *simulation) startCall(p *process) {
	action := p.election.Next(p.clock(s.now))
	if action.Kind == ActionRead || action.Kind == ActionCommit {
		p.pendingAction = &action
	}
	if action.Kind == ActionDone || s.chance(1) {
		s.restart(p)
		return
	}
	if token, held := p.election.Fence(p.clock(s.now)); held && s.chance(50) {
		require.Equal(s.t, s.holders[token], p.election.holder, "holder of token %d", token)
		s.pendingCommands = append(s.pendingCommands, command{p.election.holder, token})
	}
	if s.chance(1) {
		p.election.Resign()
	}
}

// restart replaces a process by a new run without state. Its commit in flight may still take
// effect.
func (s *simulation) restart(p *process) {
	if p.pendingAction != nil && p.pendingAction.Kind == ActionCommit {
		s.delayedCommits = append(s.delayedCommits, p.pendingAction.Transaction)
	}
	s.restarts++
	p.pendingAction = nil
	p.election = newElection(s.t, "restarted", 100+s.restarts)
}

func (s *simulation) finishCall(p *process) {
	call := p.pendingAction
	p.pendingAction = nil
	if call.Kind == ActionRead {
		row, err := s.model.Get(s.now, testSettings.Key)
		row.StoreTime = storeEpoch + s.now
		s.pauseSometimes(p)
		require.NoError(s.t, p.election.ReadDone(p.clock(max(s.now, p.resumesAt)), row, err))
		return
	}
	var err error
	switch {
	case s.chance(10): // applied later, after the sender has timed out
		s.delayedCommits = append(s.delayedCommits, call.Transaction)
		err = platform.ErrUnknownOutcome
	case s.chance(10):
		err = platform.ErrUnavailable
	default:
		err = s.commit(call.Transaction)
		if s.chance(15) {
			err = platform.ErrUnknownOutcome
		}
	}
	s.pauseSometimes(p)
	p.election.CommitDone(p.clock(max(s.now, p.resumesAt)), err)
}

func (s *simulation) pauseSometimes(p *process) {
	if s.chance(8) {
		p.resumesAt = s.now + s.randomBelow(40*time.Second)
	}
}

// deliverDelayed delivers at most one delayed commit and one delayed command, each picked at
// random.
func (s *simulation) deliverDelayed() {
	if len(s.delayedCommits) > 0 && s.chance(20) {
		index := s.random.IntN(len(s.delayedCommits))
		_ = s.commit(s.delayedCommits[index])
		s.delayedCommits = slices.Delete(s.delayedCommits, index, index+1)
	}
	if len(s.pendingCommands) == 0 || !s.chance(50) {
		return
	}
	index := s.random.IntN(len(s.pendingCommands))
	delivered := s.pendingCommands[index]
	s.pendingCommands = slices.Delete(s.pendingCommands, index, index+1)
	if delivered.token >= s.engineToken {
		s.engineToken = delivered.token
		generation := s.generation(delivered.holder)
		require.GreaterOrEqual(s.t, generation, s.newestExecuted, "executed a command of %s after one of a newer holder", delivered.holder)
		s.newestExecuted = generation
	}
}

// generation returns the last token of a holder.
func (s *simulation) generation(holder HolderID) fleet.FencingToken {
	var generation fleet.FencingToken
	for token, given := range s.holders {
		if given == holder {
			generation = max(generation, token)
		}
	}
	return generation
}

func (s *simulation) checkHolders() {
	var holders []HolderID
	for _, p := range s.processes {
		if p.election.IsHeld(p.clock(s.now)) {
			holders = append(holders, p.election.holder)
		}
	}
	require.LessOrEqual(s.t, len(holders), 1, "holders at %s: %v", s.now, holders)
}

func TestAtMostOneHolderAndTokensIncrease(t *testing.T) {
	changes := 0
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			t:       t,
			random:  rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
			model:   platformmodel.New(platformmodel.Options{}),
			holders: make(map[fleet.FencingToken]HolderID),
		}
		for index, name := range []string{"a", "b", "c"} {
			s.processes = append(s.processes, &process{
				election:    newElection(t, name, uint64(index)+1),
				offset:      time.Duration(index) * time.Hour,
				ratePercent: 91 + s.random.Int64N(19),
			})
		}
		for range 250 {
			s.now += s.randomBelow(1500 * time.Millisecond)
			for _, p := range s.processes {
				s.step(p)
				s.checkHolders()
			}
			s.deliverDelayed()
		}
		changes += len(s.holders)
	})
	t.Logf("holder changes: %d", changes)
	require.Greater(t, changes, 300, "the simulations must contain holder changes")
}
