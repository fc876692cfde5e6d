package flowcontrol

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Controller holds the waiting items of a router. Every item accepted by Enqueue leaves exactly
// once: through Next, Remove, Expire or Drain.
type Controller struct {
	options Options
	table   policyTable
	entries map[Key]*entry
	lanes   []*lane
	byName  map[Lane]*lane
	// nextLane is the lane with which the next decision starts; lanes take turns.
	nextLane int
	expiry   expiryHeap
	// pendingRefusals holds refusals that Expire hasn't returned yet.
	pendingRefusals []Refusal
	waiting         map[fleet.TenantName]int
}

// New returns a controller without classes; ApplyPolicy sets them.
func New(options Options) *Controller {
	options = options.withDefaults()
	return &Controller{
		options: options,
		table:   newPolicyTable(Policy{}, options.UnknownTenant),
		entries: make(map[Key]*entry),
		byName:  make(map[Lane]*lane),
		waiting: make(map[fleet.TenantName]int),
	}
}

// ApplyPolicy applies a changed configuration. Waiting items stay queued under the new ranks,
// weights and limits. Items of a removed class keep the class's last policy, while new ones are
// refused.
func (c *Controller) ApplyPolicy(policy Policy) {
	c.table = newPolicyTable(policy, c.options.UnknownTenant)
	for _, l := range c.lanes {
		for _, queue := range l.classes {
			if class, found := c.table.classes[queue.policy.Name]; found {
				queue.policy = class
			}
			queue.applyWeights(c.table)
		}
		slices.SortFunc(l.classes, compareClasses)
	}
	c.rebuildExpiry()
}

func (c *Controller) rebuildExpiry() {
	c.expiry = c.expiry[:0]
	for _, e := range c.entries {
		e.heapIndex = notInHeap
		e.setExpiry()
		if e.expires > 0 {
			e.heapIndex = len(c.expiry)
			c.expiry = append(c.expiry, e)
		}
	}
	heap.Init(&c.expiry)
}

// setExpiry computes when the entry expires.
func (e *entry) setExpiry() {
	e.expires = e.item.Deadline
	e.expiresByDeadline = e.item.Deadline > 0
	limit := e.queue.policy.MaxWait
	if limit <= 0 {
		return
	}
	if !e.expiresByDeadline || e.enqueued+limit < e.item.Deadline {
		e.expires = e.enqueued + limit
		e.expiresByDeadline = false
	}
}

// Enqueue queues an item or returns why it is refused. A key that already waits is left unchanged.
// If the tenant's queue is full, the item displaces the tenant's newest item of its lowest-priority
// class, provided that class has a lower priority than the item's. This prevents batch requests
// from blocking a tenant's urgent ones. Expire returns the displaced item.
func (c *Controller) Enqueue(now time.Duration, item Item) *Refusal {
	if _, found := c.entries[item.Key]; found {
		return nil
	}
	class, found := c.table.classes[item.Class]
	if !found {
		return &Refusal{
			Key:    item.Key,
			Code:   resultcode.ClassNotAllowed,
			Reason: "the configuration has no class " + string(item.Class),
		}
	}
	l := c.lane(item.Lane)
	queue := l.class(item.Class)
	if queue == nil {
		queue = l.addClass(class, now)
	}
	tenant := c.table.tenant(item.Tenant)
	tenant.Name = item.Tenant
	if refusal := c.checkAdmission(now, l, queue, tenant, item); refusal != nil {
		return refusal
	}
	e := &entry{item: item, enqueued: now, heapIndex: notInHeap}
	if c.waiting[item.Tenant] >= tenant.MaxWaiting {
		c.displace(now, c.displaceable(item.Tenant, queue.policy.Rank))
	}
	queue.push(now, e, tenant.Weight)
	e.setExpiry()
	c.expiry.add(e)
	c.entries[item.Key] = e
	c.waiting[item.Tenant]++
	return nil
}

func (c *Controller) lane(name Lane) *lane {
	l := c.byName[name]
	if l == nil {
		l = &lane{name: name}
		c.byName[name] = l
		c.lanes = append(c.lanes, l)
	}
	return l
}

// Next removes and returns the next item that admit accepts. It never offers expired items.
func (c *Controller) Next(now time.Duration, admit func(Item) bool) (Item, bool) {
	c.expireOverdue(now)
	budget := c.options.MaxScan
	for turn := range c.lanes {
		position := (c.nextLane + turn) % len(c.lanes)
		l := c.lanes[position]
		e := c.nextInLane(l, &budget, admit)
		if e == nil {
			continue
		}
		e.queue.dispatch(now, e)
		l.updateCredits(e.queue, c.table.shareScale)
		c.removeFromIndexes(e)
		c.nextLane = position + 1
		return e.item, true
	}
	if len(c.lanes) > 0 {
		// A scan that exhausted its budget continues in another lane next time.
		c.nextLane = (c.nextLane + 1) % len(c.lanes)
	}
	return Item{}, false
}

func (c *Controller) nextInLane(l *lane, budget *int, admit func(Item) bool) *entry {
	for _, queue := range l.dispatchOrder() {
		for _, f := range queue.active {
			depth := min(len(f.entries), c.options.ScanDepth, *budget)
			for _, e := range f.entries[:depth] {
				*budget--
				if admit(e.item) {
					return e
				}
			}
		}
	}
	return nil
}

// HasShareCredit reports whether a class has waiting items in a lane and enough minimum-share
// credit for a dispatch. Next then offers its items first.
func (c *Controller) HasShareCredit(name Lane, class fleet.ClassName) bool {
	l := c.byName[name]
	if l == nil {
		return false
	}
	queue := l.class(class)
	return queue != nil && queue.waiting > 0 && queue.credit >= 1
}

// removeFromIndexes removes an entry that has left its queue from the controller's indexes.
func (c *Controller) removeFromIndexes(e *entry) {
	c.expiry.drop(e)
	delete(c.entries, e.item.Key)
	c.waiting[e.item.Tenant]--
	if c.waiting[e.item.Tenant] == 0 {
		delete(c.waiting, e.item.Tenant)
	}
}

// Remove withdraws an item. It returns false if the item no longer waits.
func (c *Controller) Remove(now time.Duration, key Key) bool {
	e, found := c.entries[key]
	if !found {
		return false
	}
	e.queue.remove(now, e)
	c.removeFromIndexes(e)
	return true
}

// Expire removes the expired items and returns their refusals, together with those of items
// displaced by Enqueue.
func (c *Controller) Expire(now time.Duration) []Refusal {
	c.expireOverdue(now)
	refused := c.pendingRefusals
	c.pendingRefusals = nil
	return refused
}

func (c *Controller) expireOverdue(now time.Duration) {
	for len(c.expiry) > 0 && c.expiry[0].expires <= now {
		e := c.expiry[0]
		e.queue.remove(now, e)
		c.removeFromIndexes(e)
		c.pendingRefusals = append(c.pendingRefusals, *c.expiryRefusal(e))
	}
}

// NextExpiry returns when the next item expires, and false if none can.
func (c *Controller) NextExpiry() (time.Duration, bool) {
	if len(c.pendingRefusals) > 0 {
		return 0, true
	}
	if len(c.expiry) == 0 {
		return 0, false
	}
	return c.expiry[0].expires, true
}

// Drain removes and returns every waiting item, by class rank and then by age. Expired items are
// left to Expire.
func (c *Controller) Drain(now time.Duration) []Item {
	c.expireOverdue(now)
	remaining := make([]*entry, 0, len(c.entries))
	for _, e := range c.entries {
		remaining = append(remaining, e)
	}
	slices.SortFunc(remaining, compareEntries)
	items := make([]Item, len(remaining))
	for position, e := range remaining {
		e.queue.remove(now, e)
		c.removeFromIndexes(e)
		items[position] = e.item
	}
	return items
}

func compareEntries(a, b *entry) int {
	if order := compareClasses(a.queue, b.queue); order != 0 {
		return order
	}
	if order := cmp.Compare(a.enqueued, b.enqueued); order != 0 {
		return order
	}
	return compareKeys(a.item.Key, b.item.Key)
}

// Waiting returns the number of waiting items.
func (c *Controller) Waiting() int { return len(c.entries) }

// WaitingIn returns the number of waiting items in a lane.
func (c *Controller) WaitingIn(name Lane) int {
	l := c.byName[name]
	if l == nil {
		return 0
	}
	total := 0
	for _, queue := range l.classes {
		total += queue.waiting
	}
	return total
}

// PredictWait predicts the wait of a new item of a class and tenant. It returns false if the
// service rate isn't known yet.
func (c *Controller) PredictWait(now time.Duration, name Lane, class fleet.ClassName, tenant fleet.TenantName) (time.Duration, bool) {
	l := c.byName[name]
	if l == nil {
		return 0, true
	}
	queue := l.class(class)
	if queue == nil {
		return 0, true
	}
	queue.meter.advance(now, queue.waiting > 0)
	policy := c.table.tenant(tenant)
	policy.Name = tenant
	return l.predictWait(queue, policy)
}
