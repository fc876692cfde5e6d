package flowcontrol

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// modelItem is a waiting item in the model of TestEveryItemLeavesExactlyOnce.
type modelItem struct {
	item    Item
	expires time.Duration
}

// TestEveryItemLeavesExactlyOnce guards against lost, duplicated and unexpired items in random
// histories, compared with a map of the waiting items.
func TestEveryItemLeavesExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := Policy{
			Classes: []ClassPolicy{
				{Name: urgent, Rank: 0, MaxWait: 50},
				{Name: batch, Rank: 1, MaxWait: 500, MinShare: 0.2},
			},
			Tenants: []TenantPolicy{{Name: "a", Weight: 1, MaxWaiting: 5}, {Name: "b", Weight: 2, MaxWaiting: 8}},
		}
		controller := New(Options{Random: rand.New(rand.NewPCG(3, 4))})
		controller.ApplyPolicy(policy)
		limits := map[fleet.ClassName]time.Duration{urgent: 50, batch: 500}
		bounds := map[fleet.TenantName]int{"a": 5, "b": 8}
		waiting := map[Key]modelItem{}
		perTenant := map[fleet.TenantName]int{}
		now := time.Duration(1)
		sequence := 0
		leave := func(key Key) {
			left, found := waiting[key]
			require.True(t, found, "%v left twice or was never enqueued", key)
			perTenant[left.item.Tenant]--
			delete(waiting, key)
		}
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": func(t *rapid.T) {
				sequence++
				entered := item(fmt.Sprint(sequence),
					rapid.SampledFrom([]fleet.TenantName{"a", "b"}).Draw(t, "tenant"),
					rapid.SampledFrom([]fleet.ClassName{urgent, batch}).Draw(t, "class"),
					float64(rapid.IntRange(0, 50).Draw(t, "cost")))
				entered.Lane = rapid.SampledFrom([]Lane{"x", "y"}).Draw(t, "lane")
				expires := now + limits[entered.Class]
				if left := rapid.IntRange(0, 100).Draw(t, "deadline"); left > 0 {
					entered.Deadline = now + time.Duration(left)
					expires = min(expires, entered.Deadline)
				}
				for _, refusal := range controller.Expire(now) {
					leave(refusal.Key)
				}
				full := perTenant[entered.Tenant] == bounds[entered.Tenant]
				refusal := controller.Enqueue(now, entered)
				displaced := controller.Expire(now)
				if refusal != nil {
					require.Equal(t, resultcode.TenantQueueFull, refusal.Code)
					require.True(t, full)
					require.Empty(t, displaced)
					return
				}
				require.Equal(t, full, len(displaced) == 1, "a full queue must displace one item")
				for _, refusal := range displaced {
					require.Equal(t, resultcode.TenantQueueFull, refusal.Code)
					require.Equal(t, entered.Tenant, waiting[refusal.Key].item.Tenant)
					require.Equal(t, batch, waiting[refusal.Key].item.Class)
					require.Equal(t, urgent, entered.Class)
					leave(refusal.Key)
				}
				waiting[entered.Key] = modelItem{item: entered, expires: expires}
				perTenant[entered.Tenant]++
			},
			"next": func(t *rapid.T) {
				tenant := rapid.SampledFrom([]fleet.TenantName{"a", "b"}).Draw(t, "admitted")
				next, found := controller.Next(now, func(i Item) bool { return i.Tenant == tenant })
				if found {
					require.Equal(t, tenant, next.Tenant)
					require.Greater(t, waiting[next.Key].expires, now, "dispatched after it expired")
					leave(next.Key)
					return
				}
				for _, left := range waiting {
					require.False(t, left.item.Tenant == tenant && left.expires > now, "an admitted item was missed")
				}
			},
			"remove": func(t *rapid.T) {
				key := Key{Request: fleet.RequestID(fmt.Sprint(rapid.IntRange(0, sequence).Draw(t, "key"))), Attempt: 1}
				if controller.Remove(now, key) {
					leave(key)
				}
			},
			"expire": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 60).Draw(t, "step"))
				for _, refusal := range controller.Expire(now) {
					require.LessOrEqual(t, waiting[refusal.Key].expires, now)
					leave(refusal.Key)
				}
				for _, left := range waiting {
					require.Greater(t, left.expires, now)
				}
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
					return
				}
				for _, drained := range controller.Drain(now) {
					leave(drained.Key)
				}
				for _, refusal := range controller.Expire(now) {
					leave(refusal.Key)
				}
				require.Empty(t, waiting)
			},
			"policy": func(*rapid.T) { controller.ApplyPolicy(policy) },
			"": func(t *rapid.T) {
				require.LessOrEqual(t, controller.Waiting(), len(waiting))
				total := 0
				for _, class := range controller.Snapshot(now) {
					total += class.Waiting
				}
				require.Equal(t, controller.Waiting(), total)
			},
		})
	})
}

func TestExpiryWinsOverDispatchAtTheSameInstant(t *testing.T) {
	controller := newController(Policy{Classes: []ClassPolicy{{Name: urgent, MaxWait: time.Second}}})
	entered := item("r", "a", urgent, 1)
	require.Nil(t, controller.Enqueue(0, entered))

	_, found := controller.Next(time.Second, admitAll)
	assert.False(t, found, "an expired item must not be dispatched")
	assert.False(t, controller.Remove(time.Second, entered.Key), "nor withdrawn")
	due, pending := controller.NextExpiry()
	assert.True(t, pending)
	assert.LessOrEqual(t, due, time.Second)
	refusals := controller.Expire(time.Second)
	require.Len(t, refusals, 1)
	assert.Equal(t, resultcode.QueueTimeout, refusals[0].Code)
	assert.Empty(t, controller.Expire(2*time.Second))

	require.Nil(t, controller.Enqueue(0, entered))
	_, found = controller.Next(time.Second-1, admitAll)
	assert.True(t, found)
	assert.Empty(t, controller.Expire(time.Second), "a dispatched item must not be refused")
}

func TestFullTenantQueueAdmitsUrgentItems(t *testing.T) {
	policy := twoClasses(0)
	policy.Tenants = []TenantPolicy{{Name: "a", Weight: 1, MaxWaiting: 3}}
	controller := newController(policy)
	for number := range 3 {
		require.Nil(t, controller.Enqueue(time.Duration(number), item(fmt.Sprint("b", number), "a", batch, 1)))
	}
	require.NotNil(t, controller.Enqueue(3, item("b3", "a", batch, 1)))
	for number := range 3 {
		require.Nil(t, controller.Enqueue(4, item(fmt.Sprint("u", number), "a", urgent, 1)))
		displaced := controller.Expire(4)
		require.Len(t, displaced, 1)
		assert.Equal(t, fleet.RequestID(fmt.Sprint("b", 2-number)), displaced[0].Key.Request, "the newest item is displaced")
	}
	refusal := controller.Enqueue(5, item("u3", "a", urgent, 1))
	require.NotNil(t, refusal)
	assert.Equal(t, resultcode.TenantQueueFull, refusal.Code)
}

func TestPolicyChangeAppliesToWaitingItems(t *testing.T) {
	controller := newController(Policy{Classes: []ClassPolicy{{Name: urgent, MaxWait: time.Hour}}})
	require.Nil(t, controller.Enqueue(0, item("r", "a", urgent, 1)))
	controller.ApplyPolicy(Policy{Classes: []ClassPolicy{{Name: urgent, MaxWait: time.Second}}})
	assert.Len(t, controller.Expire(time.Second), 1)

	require.Nil(t, controller.Enqueue(0, item("kept", "a", urgent, 1)))
	controller.ApplyPolicy(Policy{Classes: []ClassPolicy{{Name: batch}}})
	refusal := controller.Enqueue(0, item("new", "a", urgent, 1))
	require.NotNil(t, refusal)
	assert.Equal(t, resultcode.ClassNotAllowed, refusal.Code)
	_, found := controller.Next(1, admitAll)
	assert.True(t, found, "an item of a removed class is still served")
}
