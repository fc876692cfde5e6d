package flowcontrol

import (
	"cmp"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// entry is a waiting item and its position in the queue.
type entry struct {
	item     Item
	enqueued time.Duration
	expires  time.Duration // 0 means never
	// expiresByDeadline is set if the item's deadline precedes the class's limit.
	expiresByDeadline bool
	queue             *classQueue
	flow              *flow
	heapIndex         int
}

// flow is the FIFO queue of one tenant in one class and lane.
type flow struct {
	tenant  fleet.TenantName
	weight  float64
	entries []*entry
	cost    float64
	// startTag is the virtual start time of the flow's next dispatch. It is kept while the flow is
	// empty, to prevent a tenant from gaining share by leaving and returning.
	startTag float64
}

// classQueue holds the waiting items of one class in one lane.
type classQueue struct {
	policy ClassPolicy
	flows  map[fleet.TenantName]*flow
	// active lists the flows with items, by start tag.
	active      []*flow
	virtualTime float64
	waiting     int
	cost        float64
	// credit is the number of dispatches, including fractions, that the minimum share entitles the
	// class to.
	credit float64
	meter  rateMeter
}

func newClassQueue(policy ClassPolicy, now time.Duration) *classQueue {
	return &classQueue{
		policy: policy,
		flows:  make(map[fleet.TenantName]*flow),
		meter:  rateMeter{updatedAt: now},
	}
}

func compareFlows(a, b *flow) int {
	if order := cmp.Compare(a.startTag, b.startTag); order != 0 {
		return order
	}
	return cmp.Compare(a.tenant, b.tenant)
}

func (q *classQueue) activate(f *flow) {
	position, _ := slices.BinarySearchFunc(q.active, f, compareFlows)
	q.active = slices.Insert(q.active, position, f)
}

func (q *classQueue) deactivate(f *flow) {
	position, _ := slices.BinarySearchFunc(q.active, f, compareFlows)
	q.active = slices.Delete(q.active, position, position+1)
}

func (q *classQueue) push(now time.Duration, e *entry, weight float64) {
	q.meter.advance(now, q.waiting > 0)
	f := q.flows[e.item.Tenant]
	if f == nil {
		f = &flow{tenant: e.item.Tenant}
		q.flows[e.item.Tenant] = f
	}
	if len(f.entries) == 0 {
		f.weight = weight
		f.startTag = max(f.startTag, q.virtualTime)
		q.activate(f)
	}
	f.entries = append(f.entries, e)
	f.cost += e.item.Cost
	q.waiting++
	q.cost += e.item.Cost
	e.flow = f
	e.queue = q
}

// remove removes an entry without charging its tenant.
func (q *classQueue) remove(now time.Duration, e *entry) {
	q.meter.advance(now, q.waiting > 0)
	f := e.flow
	if len(f.entries) == 1 {
		q.deactivate(f)
	}
	if f.entries[0] == e {
		f.entries[0] = nil
		f.entries = f.entries[1:]
	} else {
		position := slices.Index(f.entries, e)
		f.entries = slices.Delete(f.entries, position, position+1)
	}
	f.cost -= e.item.Cost
	q.waiting--
	q.cost -= e.item.Cost
	if len(f.entries) == 0 {
		f.entries = nil
		f.cost = 0
	}
	if q.waiting == 0 {
		q.cost = 0
		q.credit = 0
	}
}

// dispatch removes an entry and charges its tenant's share.
func (q *classQueue) dispatch(now time.Duration, e *entry) {
	f := e.flow
	q.remove(now, e)
	if now > e.enqueued {
		q.meter.record(e.item.Cost)
	}
	stillActive := len(f.entries) > 0
	if stillActive {
		q.deactivate(f)
	}
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag += e.item.Cost / f.weight
	if stillActive {
		q.activate(f)
	}
}

// activeWeight returns the sum of the weights of the waiting tenants, including the given one.
func (q *classQueue) activeWeight(tenant fleet.TenantName, weight float64) float64 {
	total := weight
	for _, f := range q.active {
		if f.tenant != tenant {
			total += f.weight
		}
	}
	return total
}

// tokensAhead returns the tokens to be served before a new item of a tenant: the tenant's own
// waiting tokens scaled by its fair share, at most all waiting tokens.
func (q *classQueue) tokensAhead(tenant fleet.TenantName, weight float64) float64 {
	own := 0.0
	if f := q.flows[tenant]; f != nil {
		own = f.cost
	}
	return min(q.cost, own*q.activeWeight(tenant, weight)/weight)
}

// applyWeights applies changed weights and removes idle tenants that the policy no longer lists.
func (q *classQueue) applyWeights(table policyTable) {
	for tenant, f := range q.flows {
		_, known := table.tenants[tenant]
		if !known && len(f.entries) == 0 {
			delete(q.flows, tenant)
			continue
		}
		f.weight = table.tenant(tenant).Weight
	}
}
