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
	ratePercent int64
	thawsAt     time.Duration
	call        *Action // in progress
}

func (p *process) clock(now time.Duration) time.Duration {
	return p.offset + now*time.Duration(p.ratePercent)/100
}

// order is on its way to the engine.
type order struct {
	holder HolderID
	token  fleet.FencingToken
}

// history is a random run: calls, lost answers, late effects, freezes and
// delayed orders, with the checks made on the way.
type history struct {
	t *rapid.T
	// random is uniform, where rapid's own numbers lean to the small ones.
	random    *rand.Rand
	now       time.Duration
	model     *platformmodel.Platform
	processes []*process
	late      []platform.Transaction // whose sender has given up
	orders    []order

	last Record
	// holders is who was given each token.
	holders map[fleet.FencingToken]HolderID
	engine  fleet.FencingToken
	// newest is the token of the newest holder of which an order was executed.
	newest   fleet.FencingToken
	restarts uint64
}

func (h *history) chance(percent int) bool {
	return h.random.IntN(100) < percent
}

func (h *history) upTo(limit time.Duration) time.Duration {
	return time.Duration(h.random.Int64N(int64(limit)))
}

func (h *history) commit(transaction platform.Transaction) error {
	err := h.model.Commit(h.now, transaction)
	if err == nil {
		h.checkRecord()
	}
	return err
}

// checkRecord holds each written record against the one before.
func (h *history) checkRecord() {
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

func (h *history) step(p *process) {
	if h.now < p.thawsAt {
		return
	}
	if p.call == nil {
		h.begin(p)
		return
	}
	if h.chance(70) {
		h.finish(p)
	}
}

func (h *history) begin(p *process) {
	action := p.election.Next(p.clock(h.now))
	if action.Kind == ActionRead || action.Kind == ActionCommit {
		p.call = &action
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
func (h *history) restart(p *process) {
	if p.call != nil && p.call.Kind == ActionCommit {
		h.late = append(h.late, p.call.Transaction)
	}
	h.restarts++
	p.call = nil
	p.election = newElection(h.t, "restarted", 100+h.restarts)
}

func (h *history) finish(p *process) {
	call := p.call
	p.call = nil
	if call.Kind == ActionRead {
		row, err := h.model.Get(h.now, testSettings.Key)
		row.StoreTime = storeEpoch + h.now
		h.freezeSometimes(p)
		require.NoError(h.t, p.election.ReadDone(p.clock(max(h.now, p.thawsAt)), row, err))
		return
	}
	var err error
	switch {
	case h.chance(10): // not applied yet, and the sender gives up
		h.late = append(h.late, call.Transaction)
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
	p.election.CommitDone(p.clock(max(h.now, p.thawsAt)), err)
}

func (h *history) freezeSometimes(p *process) {
	if h.chance(8) {
		p.thawsAt = h.now + h.upTo(40*time.Second)
	}
}

// deliver lets one delayed commit and one delayed order arrive, in any order.
func (h *history) deliver() {
	if len(h.late) > 0 && h.chance(20) {
		index := h.random.IntN(len(h.late))
		_ = h.commit(h.late[index])
		h.late = slices.Delete(h.late, index, index+1)
	}
	if len(h.orders) == 0 || !h.chance(50) {
		return
	}
	index := h.random.IntN(len(h.orders))
	arrived := h.orders[index]
	h.orders = slices.Delete(h.orders, index, index+1)
	if arrived.token >= h.engine {
		h.engine = arrived.token
		generation := h.generation(arrived.holder)
		require.GreaterOrEqual(h.t, generation, h.newest, "order of %s after one of a newer holder", arrived.holder)
		h.newest = generation
	}
}

// generation returns the last token that a holder was given.
func (h *history) generation(holder HolderID) fleet.FencingToken {
	var generation fleet.FencingToken
	for token, given := range h.holders {
		if given == holder {
			generation = max(generation, token)
		}
	}
	return generation
}

func (h *history) checkHolders() {
	var holders []HolderID
	for _, p := range h.processes {
		if p.election.Valid(p.clock(h.now)) {
			holders = append(holders, p.election.holder)
		}
	}
	require.LessOrEqual(h.t, len(holders), 1, "holders at %s: %v", h.now, holders)
}

func TestNoTwoHoldersAndTokensRise(t *testing.T) {
	changes := 0
	rapid.Check(t, func(t *rapid.T) {
		h := &history{
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
			h.deliver()
		}
		changes += len(h.holders)
	})
	t.Logf("changes of holder: %d", changes)
	require.Greater(t, changes, 300, "the histories must contain changes of holder")
}
