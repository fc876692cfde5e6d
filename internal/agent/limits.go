package agent

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// concurrencyLimiter counts the unfinished requests of each tenant and of all.
type concurrencyLimiter struct {
	mutex    sync.Mutex
	max      int
	total    int
	byTenant map[fleet.TenantName]int
}

func newConcurrencyLimiter(max int) *concurrencyLimiter {
	return &concurrencyLimiter{max: max, byTenant: make(map[fleet.TenantName]int)}
}

// acquire counts a request in, or returns the code of the limit it is over.
func (c *concurrencyLimiter) acquire(tenant fleet.TenantName, maxOfTenant int) resultcode.Code {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.byTenant[tenant] >= maxOfTenant {
		return resultcode.TenantConcurrency
	}
	if c.total >= c.max {
		return resultcode.Overloaded
	}
	c.total++
	c.byTenant[tenant]++
	return resultcode.OK
}

func (c *concurrencyLimiter) release(tenant fleet.TenantName) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.total--
	c.byTenant[tenant]--
	if c.byTenant[tenant] == 0 {
		delete(c.byTenant, tenant)
	}
}

type idempotencyKey struct {
	tenant fleet.TenantName
	key    string
}

// duplicateFilter remembers the idempotency keys of requests that must run at most
// once: of all that are running, and of a bounded number that may have run.
type duplicateFilter struct {
	mutex    sync.Mutex
	running  map[idempotencyKey]struct{}
	finished *simplelru.LRU[idempotencyKey, struct{}]
}

func newDuplicateFilter(size int) *duplicateFilter {
	finished, err := simplelru.NewLRU[idempotencyKey, struct{}](max(size, 1), nil)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &duplicateFilter{running: make(map[idempotencyKey]struct{}), finished: finished}
}

// begin tells whether the key is new, and notes it.
func (d *duplicateFilter) begin(key idempotencyKey) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_, isRunning := d.running[key]
	if isRunning || d.finished.Contains(key) {
		return false
	}
	d.running[key] = struct{}{}
	return true
}

// end forgets the key of a request that certainly did not run, so that its
// caller can come back with it.
func (d *duplicateFilter) end(key idempotencyKey, notRun bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.running, key)
	if !notRun {
		d.finished.Add(key, struct{}{})
	}
}

// lockedBudget is a retry budget for concurrent use.
type lockedBudget struct {
	mutex  sync.Mutex
	budget *attempt.Budget
}

// Deposit implements attempt.RetryBudget.
func (s *lockedBudget) Deposit(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budget.Deposit(now)
}

// Withdraw implements attempt.RetryBudget.
func (s *lockedBudget) Withdraw(now time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.budget.Withdraw(now)
}
