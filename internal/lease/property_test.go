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

// storeEpoch is the store's clock when a history begins.
const storeEpoch = 3 * time.Hour

// process is an election on its own clock, whose call travels with delays.
type process struct {
	election *Election
	offset   time.Duration
	// ratePercent is the clock's speed; the margin covers 91 to 109.
	ratePercent   int64
	resumesAt     time.Duration
	pendingAction *Action // in progress
}

func (p *process) clock(now time.Duration) time.Duration {
	return p.offset + now*time.Duration(p.ratePercent)/100
}

// order is on its way to the engine.
type order struct {
	holder HolderID
	token  fleet.FencingToken
}

// simulation is a random run: calls, lost answers, late effects, freezes and
// delayed orders, with the checks made on the way.
type simulation struct {
	t *rapid.T
	// random is uniform, where rapid's own numbers lean to the small ones.
	random         *rand.Rand
	now            time.Duration
	model          *platformmodel.Platform
	processes      []*process
	delayedCommits []platform.Transaction // whose sender has given up
	orders         []order

	last Record
	// holders is who was given each token.
	holders     map[fleet.FencingToken]HolderID
	engineToken fleet.FencingToken
	// newestExecuted is the token of the newestExecuted holder of which an order was executed.
	newestExecuted fleet.FencingToken
	restarts       uint64
}

func (h *simulation) chance(percent int) bool {
	return h.random.IntN(100) < percent
}

func (h *simulation) upTo(limit time.Duration) time.Duration {
	return time.Duration(h.random.Int64N(int64(limit)))
}

func (h *simulation) commit(transaction platform.Transaction) error {
	err := h.model.Commit(h.now, transaction)
	if err == nil {
		h.checkRecord()
	}
	return err
}

// checkRecord holds each written record against the one before.
func (h *simulation) checkRecord() {
	row, err := h.model.Get(h.now, testSettings.Key)
	require.NoError(h.t, err)
	record, err := decodeRecord(row.Value)
	require.NoError(h.t, err)
	if record.Holder == h.last.Holder || record.Holder == "" {
		require.Equal(h.t, h.last.Token, record.Token)
	} else {
		require.Equal(h.t, h.last.Token+1, record.Token, "a change of holder raises the token by one")
		h.holders[record.Token] = record.Holder
	}
	h.last = record
}

func (h *simulation) step(p *process) {
	if h.now < p.resumesAt {
		return
	}
	if p.pendingAction == nil {
		h.begin(p)
		return
	}
	if h.chance(70) {
		h.finish(p)
	}
}

func (h *simulation) begin(p *process) {
	action := p.election.Next(p.clock(h.now))
	if action.Kind == ActionRead || action.Kind == ActionCommit {
		p.pendingAction = &action
	}
	if action.Kind == ActionDone || h.chance(1) {
		h.restart(p)
		return
	}
	if token, held := p.election.Fence(p.clock(h.now)); held && h.chance(50) {
		require.Equal(h.t, h.holders[token], p.election.holder, "holder of token %d", token)
		h.orders = append(h.orders, order{p.election.holder, token})
	}
	if h.chance(1) {
		p.election.Resign()
	}
}

// restart replaces a process by a new run, which knows nothing. Its commit in
// progress may still take effect.
func (h *simulation) restart(p *process) {
	if p.pendingAction != nil && p.pendingAction.Kind == ActionCommit {
		h.delayedCommits = append(h.delayedCommits, p.pendingAction.Transaction)
	}
	h.restarts++
	p.pendingAction = nil
	p.election = newElection(h.t, "restarted", 100+h.restarts)
}

func (h *simulation) finish(p *process) {
	call := p.pendingAction
	p.pendingAction = nil
	if call.Kind == ActionRead {
		row, err := h.model.Get(h.now, testSettings.Key)
		row.StoreTime = storeEpoch + h.now
		h.freezeSometimes(p)
		require.NoError(h.t, p.election.ReadDone(p.clock(max(h.now, p.resumesAt)), row, err))
		return
	}
	var err error
	switch {
	case h.chance(10): // not applied yet, and the sender gives up
		h.delayedCommits = append(h.delayedCommits, call.Transaction)
		err = platform.ErrUnknownOutcome
	case h.chance(10):
		err = platform.ErrUnavailable
	default:
		err = h.commit(call.Transaction)
		if h.chance(15) {
			err = platform.ErrUnknownOutcome
		}
	}
	h.freezeSometimes(p)
	p.election.CommitDone(p.clock(max(h.now, p.resumesAt)), err)
}

func (h *simulation) freezeSometimes(p *process) {
	if h.chance(8) {
		p.resumesAt = h.now + h.upTo(40*time.Second)
	}
}

// deliverDelayed lets one delayed commit and one delayed order arrive, in any order.
func (h *simulation) deliverDelayed() {
	if len(h.delayedCommits) > 0 && h.chance(20) {
		index := h.random.IntN(len(h.delayedCommits))
		_ = h.commit(h.delayedCommits[index])
		h.delayedCommits = slices.Delete(h.delayedCommits, index, index+1)
	}
	if len(h.orders) == 0 || !h.chance(50) {
		return
	}
	index := h.random.IntN(len(h.orders))
	arrived := h.orders[index]
	h.orders = slices.Delete(h.orders, index, index+1)
	if arrived.token >= h.engineToken {
		h.engineToken = arrived.token
		generation := h.generation(arrived.holder)
		require.GreaterOrEqual(h.t, generation, h.newestExecuted, "order of %s after one of a newer holder", arrived.holder)
		h.newestExecuted = generation
	}
}

// generation returns the last token that a holder was given.
func (h *simulation) generation(holder HolderID) fleet.FencingToken {
	var generation fleet.FencingToken
	for token, given := range h.holders {
		if given == holder {
			generation = max(generation, token)
		}
	}
	return generation
}

func (h *simulation) checkHolders() {
	var holders []HolderID
	for _, p := range h.processes {
		if p.election.IsHeld(p.clock(h.now)) {
			holders = append(holders, p.election.holder)
		}
	}
	require.LessOrEqual(h.t, len(holders), 1, "holders at %s: %v", h.now, holders)
}

func TestAtMostOneHolderAndTokensIncrease(t *testing.T) {
	changes := 0
	rapid.Check(t, func(t *rapid.T) {
		h := &simulation{
			t:       t,
			random:  rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
			model:   platformmodel.New(platformmodel.Options{}),
			holders: make(map[fleet.FencingToken]HolderID),
		}
		for index, name := range []string{"a", "b", "c"} {
			h.processes = append(h.processes, &process{
				election:    newElection(t, name, uint64(index)+1),
				offset:      time.Duration(index) * time.Hour,
				ratePercent: 91 + h.random.Int64N(19),
			})
		}
		for range 250 {
			h.now += h.upTo(1500 * time.Millisecond)
			for _, p := range h.processes {
				h.step(p)
				h.checkHolders()
			}
			h.deliverDelayed()
		}
		changes += len(h.holders)
	})
	t.Logf("changes of holder: %d", changes)
	require.Greater(t, changes, 300, "the histories must contain changes of holder")
}
