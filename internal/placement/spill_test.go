package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// newPartialOwnerBench has two engines, of which the router owns the first.
func newPartialOwnerBench(t *testing.T) *bench {
	b := newBench(t, 2)
	b.core.SetOwned(func(id fleet.EngineID) bool { return id == "engine0" })
	return b
}

// fillOwnedEngine fills the owned engine's queue to its bound with prompts of 1,600 tokens, 160 ms
// each.
func (b *bench) fillOwnedEngine() {
	for number := range 3 {
		attempt := request(fmt.Sprintf("fill%d", number), urgent, fmt.Sprintf("filler%d", number), 100)
		attempt = withSpills(attempt, DefaultMaxSpills)
		b.submit(attempt)
	}
}

func withSpills(attempt Request, spills int) Request {
	attempt.Hops, attempt.Spills = spills, spills
	return attempt
}

func handedBack(name string, reason HandBackReason) []Outcome {
	return []Outcome{HandBack{Key: keyOf(name), Reason: reason}}
}

// fillQueue queues as many requests as SpillQueue allows.
func (b *bench) fillQueue() {
	for number := range DefaultSpillQueue {
		attempt := request(fmt.Sprintf("queued%d", number), urgent, fmt.Sprintf("queue%d", number), 100)
		require.Empty(b.t, b.submit(withSpills(attempt, DefaultMaxSpills)))
	}
}

func TestSaturatedPartialOwnerHandsBackAtOnce(t *testing.T) {
	b := newPartialOwnerBench(t)
	b.fillOwnedEngine()
	b.fillQueue()
	for spills := range DefaultMaxSpills {
		name := fmt.Sprintf("spills%d", spills)
		assert.Equal(t, handedBack(name, HandBackSaturated), b.submit(withSpills(request(name, urgent, "new", 1), spills)))
	}
	waiting := b.core.Snapshot(b.now).WaitingRequests
	last := withSpills(request("last", urgent, "new", 1), DefaultMaxSpills)
	assert.Empty(t, b.submit(last), "the last router queues it")
	assert.Equal(t, waiting+1, b.core.Snapshot(b.now).WaitingRequests)
}

func TestSoleOwnerNeverSpills(t *testing.T) {
	b := newBench(t, 1)
	b.fillOwnedEngine()
	b.fillQueue()
	assert.Empty(t, b.submit(request("first", urgent, "new", 1)))

	partial := newPartialOwnerBench(t)
	partial.fillOwnedEngine()
	partial.fillQueue()
	leaving := machine("engine1", 1)
	leaving.State = platform.MachineLeaving
	partial.core.ObserveMachine(partial.now, leaving)
	assert.Empty(t, partial.submit(request("first", urgent, "new", 1)), "the last engine of other routers is leaving")
	partial.core.ForgetMachine(partial.now, "engine1")
	assert.Empty(t, partial.core.foreign)
}

// TestTightDeadlineSpillsBeforeRefusal guards against refusing a request that another router may
// answer before its deadline.
func TestTightDeadlineSpillsBeforeRefusal(t *testing.T) {
	b := newPartialOwnerBench(t)
	b.fillOwnedEngine()
	urgentSoon := request("soon", urgent, "new", 100)
	urgentSoon.Deadline = 100 * time.Millisecond
	assert.Equal(t, handedBack("soon", HandBackSaturated), b.submit(urgentSoon))

	b.now += 200 * time.Millisecond
	b.core.Tick(b.now)
	b.core.TakeOutcomes()
	outcomes := b.submit(withSpills(urgentSoon, DefaultMaxSpills))
	outcomes = append(outcomes, b.advance(300*time.Millisecond)...)
	position := len(outcomes) - 1
	require.GreaterOrEqual(t, position, 0)
	refusal, refused := outcomes[position].(Refusal)
	require.True(t, refused)
	assert.Equal(t, resultcode.DeadlineTooShort, refusal.Code)
	assert.Positive(t, refusal.RetryAfter)
}

// TestWarmPrefixRaisesTolerableWait guards against spilling a request whose cached prefix saves
// more than the wait. The queue exceeds its bound by 400 ms; the cached prefix has 6,400 tokens.
func TestWarmPrefixRaisesTolerableWait(t *testing.T) {
	b := newPartialOwnerBench(t)
	warm := request("warm", urgent, "circular", 400)
	b.core.ObserveCacheSnapshot(b.now, "engine0", engine.CacheSnapshot{Incarnation: 1, Sequence: 1, Hashes: warm.Blocks})
	status := b.status("engine0", 1)
	status.Load.WaitingPrefillTokens = 6500
	b.core.ObserveStatus(b.now, status)
	assert.Equal(t, handedBack("cold", HandBackSaturated), b.submit(request("cold", urgent, "other", 400)))
	assert.Empty(t, b.submit(warm))
}

func TestPartialOwnerWithoutReadyEngineHandsBack(t *testing.T) {
	b := newPartialOwnerBench(t)
	b.core.ObserveUnreachable(b.now, "engine0")
	spilled := withSpills(request("spilled", urgent, "p", 1), DefaultMaxSpills)
	assert.Equal(t, handedBack("spilled", HandBackNoEngine), b.submit(spilled), "spills don't count towards MaxHops")
	last := request("last", urgent, "p", 1)
	last.Hops = DefaultMaxHops
	assert.Empty(t, b.submit(last))
}

// TestPoolWithoutOwnerIsRefusedAfterMaxHops guards against endless hand-backs of a request whose
// pool has no owner.
func TestPoolWithoutOwnerIsRefusedAfterMaxHops(t *testing.T) {
	b := newPartialOwnerBench(t)
	b.core.SetOwned(func(fleet.EngineID) bool { return false })
	attempt := request("r", urgent, "p", 1)
	for attempt.Hops = 0; attempt.Hops < DefaultMaxForeignHops; attempt.Hops++ {
		require.Equal(t, handedBack("r", HandBackNoEngine), b.submit(attempt))
	}
	outcomes := b.submit(attempt)
	require.Len(t, outcomes, 1)
	refusal := outcomes[0].(Refusal)
	assert.Equal(t, resultcode.NoEngine, refusal.Code)
	assert.Positive(t, refusal.RetryAfter)
}
