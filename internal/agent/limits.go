package agent

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// concurrencyLimiter limits the unfinished requests of each tenant and in total.
type concurrencyLimiter struct {
	mutex    sync.Mutex
	max      int
	total    int
	byTenant map[fleet.TenantName]int
}

func newConcurrencyLimiter(max int) *concurrencyLimiter {
	return &concurrencyLimiter{max: max, byTenant: make(map[fleet.TenantName]int)}
}

// acquire admits a request, or returns the code of the limit that it would exceed.
func (c *concurrencyLimiter) acquire(tenant fleet.TenantName, tenantMax int) resultcode.Code {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.byTenant[tenant] >= tenantMax {
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

// duplicateFilter keeps the idempotency keys of requests that must run at most once: those of all
// running requests, and of a limited number of finished ones that may have run.
type duplicateFilter struct {
	mutex    sync.Mutex
	running  map[idempotencyKey]struct{}
	finished *simplelru.LRU[idempotencyKey, struct{}]
}

func newDuplicateFilter(size int) *duplicateFilter {
	finished, err := simplelru.NewLRU[idempotencyKey, struct{}](max(size, 1), nil)
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	return &duplicateFilter{running: make(map[idempotencyKey]struct{}), finished: finished}
}

// begin records a key and reports whether it is new.
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

// end releases a key. It is kept as used unless the request certainly did not run, in which case
// the caller may retry with the same key.
func (d *duplicateFilter) end(key idempotencyKey, didNotRun bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.running, key)
	if !didNotRun {
		d.finished.Add(key, struct{}{})
	}
}

// lockedBudget is a retry budget that is safe for concurrent use.
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
