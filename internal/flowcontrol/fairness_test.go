package flowcontrol

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

const (
	urgent fleet.ClassName = "urgent"
	batch  fleet.ClassName = "batch"
)

func newController(policy Policy) *Controller {
	controller := New(Options{
		Random:        rand.New(rand.NewPCG(1, 2)),
		UnknownTenant: TenantPolicy{MaxWaiting: 100_000},
	})
	controller.ApplyPolicy(policy)
	return controller
}

func twoClasses(minShare float64) Policy {
	return Policy{Classes: []ClassPolicy{
		{Name: urgent, Rank: 0},
		{Name: batch, Rank: 5, MinShare: minShare},
	}}
}

func item(name string, tenant fleet.TenantName, class fleet.ClassName, cost float64) Item {
	return Item{Key: Key{Request: fleet.RequestID(name), Attempt: 1}, Tenant: tenant, Class: class, Cost: cost}
}

func admitAll(Item) bool { return true }

// meanWait serves one item every 10 ms for 20 s and returns the mean wait of the steady tenant,
// which offers 0.4 of the capacity, while the other tenant offers perTick items every 10 ms.
func meanWait(t *testing.T, perTick int, weight float64) time.Duration {
	policy := twoClasses(0)
	policy.Tenants = []TenantPolicy{
		{Name: "other", Weight: 1, MaxWaiting: 1_000_000},
		{Name: "steady", Weight: weight, MaxWaiting: 1_000_000},
	}
	controller := newController(policy)
	const tick = 10 * time.Millisecond
	var total time.Duration
	served := 0
	enqueued := map[Key]time.Duration{}
	for step := range 2000 {
		now := time.Duration(step+1) * tick
		for extra := range perTick {
			require.Nil(t, controller.Enqueue(now, item(fmt.Sprintf("o%d.%d", step, extra), "other", urgent, 100)))
		}
		if step%20 == 0 {
			// A burst of eight in 200 ms is 0.4 of the capacity.
			for burst := range 8 {
				steady := item(fmt.Sprintf("s%d.%d", step, burst), "steady", urgent, 100)
				enqueued[steady.Key] = now
				require.Nil(t, controller.Enqueue(now, steady))
			}
		}
		next, found := controller.Next(now, admitAll)
		if found && next.Tenant == "steady" {
			total += now - enqueued[next.Key]
			served++
		}
	}
	require.Greater(t, served, 700)
	return total / time.Duration(served)
}

func TestFloodingTenantDoesNotDelayAnother(t *testing.T) {
	calm := meanWait(t, 1, 1)
	flooded := meanWait(t, 40, 1)
	assert.InDelta(t, float64(calm), float64(flooded), float64(calm)/10)
	assert.Less(t, meanWait(t, 40, 3), flooded, "a greater weight must shorten the wait")
}

func TestSharesFollowWeights(t *testing.T) {
	policy := twoClasses(0)
	policy.Tenants = []TenantPolicy{
		{Name: "small", Weight: 1, MaxWaiting: 1000},
		{Name: "large", Weight: 3, MaxWaiting: 1000},
	}
	controller := newController(policy)
	for number := range 400 {
		require.Nil(t, controller.Enqueue(0, item(fmt.Sprintf("s%d", number), "small", urgent, 10)))
		require.Nil(t, controller.Enqueue(0, item(fmt.Sprintf("l%d", number), "large", urgent, 10)))
	}
	counts := map[fleet.TenantName]int{}
	for range 400 {
		next, found := controller.Next(0, admitAll)
		require.True(t, found)
		counts[next.Tenant]++
	}
	assert.InDelta(t, 300, counts["large"], 2)
}

func TestIdleTenantAccumulatesNoShare(t *testing.T) {
	controller := newController(twoClasses(0))
	for number := range 200 {
		require.Nil(t, controller.Enqueue(0, item(fmt.Sprintf("a%d", number), "a", urgent, 10)))
	}
	for range 100 {
		controller.Next(0, admitAll)
	}
	for number := range 100 {
		require.Nil(t, controller.Enqueue(0, item(fmt.Sprintf("b%d", number), "b", urgent, 10)))
	}
	counts := map[fleet.TenantName]int{}
	for range 100 {
		next, _ := controller.Next(0, admitAll)
		counts[next.Tenant]++
	}
	assert.InDelta(t, 50, counts["b"], 1)
}

func TestMinimumShareBoundsStarvation(t *testing.T) {
	controller := newController(twoClasses(0.1))
	require.Nil(t, controller.Enqueue(0, item("b0", "night", batch, 10)))
	sinceBatch, batches := 0, 0
	for number := range 1000 {
		require.Nil(t, controller.Enqueue(0, item(fmt.Sprintf("u%d", number), "counter", urgent, 10)))
		require.Nil(t, controller.Enqueue(0, item(fmt.Sprintf("b%d", number+1), "night", batch, 10)))
		next, found := controller.Next(0, admitAll)
		require.True(t, found)
		sinceBatch++
		if next.Class == batch {
			batches++
			sinceBatch = 0
		}
		require.LessOrEqual(t, sinceBatch, 11, "batch starved")
	}
	assert.InDelta(t, 100, batches, 2, "batch must not exceed its share")
}

func TestRankIsStrictWithoutMinimumShare(t *testing.T) {
	controller := newController(twoClasses(0))
	require.Nil(t, controller.Enqueue(0, item("b", "night", batch, 1)))
	require.Nil(t, controller.Enqueue(1, item("u", "counter", urgent, 1000)))
	next, _ := controller.Next(2, admitAll)
	assert.Equal(t, urgent, next.Class)
}

func TestUnadmittedItemsDoNotBlockOthers(t *testing.T) {
	controller := newController(twoClasses(0))
	for number := range 5 {
		blocked := item(fmt.Sprintf("blocked%d", number), "a", urgent, 1)
		blocked.Lane = "full"
		require.Nil(t, controller.Enqueue(0, blocked))
	}
	behind := item("behind", "a", urgent, 1)
	behind.Lane = "full"
	require.Nil(t, controller.Enqueue(0, behind))
	other := item("other", "a", batch, 1)
	other.Lane = "free"
	require.Nil(t, controller.Enqueue(0, other))

	admitted := func(candidate Item) bool {
		return candidate.Lane == "free" || candidate.Key.Request == "behind"
	}
	first, found := controller.Next(1, admitted)
	require.True(t, found)
	second, found := controller.Next(1, admitted)
	require.True(t, found)
	assert.ElementsMatch(t, []fleet.RequestID{"behind", "other"},
		[]fleet.RequestID{first.Key.Request, second.Key.Request})
	_, found = controller.Next(1, admitted)
	assert.False(t, found)
}

func TestInfeasibleDeadlineIsRefusedWithJitteredRetry(t *testing.T) {
	controller := newController(twoClasses(0))
	for number := range 300 {
		require.Nil(t, controller.Enqueue(0, item(fmt.Sprintf("r%d", number), "a", urgent, 100)))
	}
	now := time.Duration(0)
	for range 100 {
		now += 10 * time.Millisecond
		_, found := controller.Next(now, admitAll)
		require.True(t, found)
	}
	// 200 items of 100 tokens at 10,000 tokens a second are two seconds.
	fits := item("fits", "a", urgent, 100)
	fits.Deadline = now + 2500*time.Millisecond
	require.Nil(t, controller.Enqueue(now, fits))
	// A tenant with little queued work waits only for its own share.
	require.Nil(t, controller.Enqueue(now, item("light", "b", urgent, 100)))
	light := item("light2", "b", urgent, 100)
	light.Deadline = now + 100*time.Millisecond
	require.Nil(t, controller.Enqueue(now, light))
	seen := map[time.Duration]bool{}
	for number := range 20 {
		infeasible := item(fmt.Sprintf("h%d", number), "a", urgent, 100)
		infeasible.Deadline = now + time.Second
		refusal := controller.Enqueue(now, infeasible)
		require.NotNil(t, refusal)
		assert.Equal(t, resultcode.DeadlineTooShort, refusal.Code)
		assert.Greater(t, refusal.RetryAfter, 900*time.Millisecond)
		assert.Less(t, refusal.RetryAfter, 1700*time.Millisecond)
		seen[refusal.RetryAfter] = true
	}
	assert.Greater(t, len(seen), 15, "retry times must be spread")
}

func TestWaitNearTheLimitIsRefusedAtOnce(t *testing.T) {
	policy := twoClasses(0)
	policy.Classes[0].MaxWait = 2 * time.Second
	controller := newController(policy)
	accepted := 0
	for tick := range 1000 {
		now := time.Duration(tick) * 10 * time.Millisecond
		require.Empty(t, controller.Expire(now), "an accepted item must not time out at a steady rate")
		controller.Next(now, admitAll)
		for number := range 3 {
			refusal := controller.Enqueue(now, item(fmt.Sprintf("r%d.%d", tick, number), "a", urgent, 100))
			if refusal == nil {
				accepted++
				continue
			}
			assert.Equal(t, resultcode.Overloaded, refusal.Code)
		}
	}
	assert.Greater(t, accepted, 1100, "the queue must not run dry")
	assert.Less(t, accepted, 1200)
}
