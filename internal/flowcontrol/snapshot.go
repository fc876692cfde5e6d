package flowcontrol

import (
	"cmp"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TenantWaiting describes the waiting items of a tenant in a class and lane.
type TenantWaiting struct {
	Tenant  fleet.TenantName
	Waiting int
	// Cost is the waiting work in tokens.
	Cost float64
	// Oldest is how long the tenant's first item has waited.
	Oldest time.Duration
	// PredictedWait is the predicted wait of a new item; RateKnown is false while the service rate
	// isn't known yet.
	PredictedWait time.Duration
	RateKnown     bool
}

// ClassWaiting describes the waiting items of a class in a lane.
type ClassWaiting struct {
	Lane    Lane
	Class   fleet.ClassName
	Rank    int
	Waiting int
	// Cost is the waiting work in tokens.
	Cost float64
	// TokensPerSecond is the observed service rate; 0 while unknown.
	TokensPerSecond float64
	// Tenants lists the waiting tenants, the next to be served first.
	Tenants []TenantWaiting
}

// Position is the queue position of an item.
type Position struct {
	Item Item
	// Waited is the time since the item was enqueued.
	Waited time.Duration
	// AheadInFlow counts the tenant's own items ahead in the same class and lane.
	AheadInFlow int
	// AheadInClass counts the other tenants' items in the same class and lane, and AheadInRank the
	// items of higher-priority classes in the lane.
	AheadInClass int
	AheadInRank  int
	// Expires is when the item expires; 0 means never.
	Expires time.Duration
}

// Snapshot returns the waiting items by lane, rank, class and order of service.
func (c *Controller) Snapshot(now time.Duration) []ClassWaiting {
	var snapshot []ClassWaiting
	for _, l := range c.lanes {
		for _, queue := range l.classes {
			if queue.waiting > 0 {
				snapshot = append(snapshot, c.describe(now, l, queue))
			}
		}
	}
	slices.SortStableFunc(snapshot, func(a, b ClassWaiting) int { return cmp.Compare(a.Lane, b.Lane) })
	return snapshot
}

func (c *Controller) describe(now time.Duration, l *lane, queue *classQueue) ClassWaiting {
	queue.meter.advance(now, queue.waiting > 0)
	rate, _ := queue.meter.tokensPerSecond()
	class := ClassWaiting{
		Lane:            l.name,
		Class:           queue.policy.Name,
		Rank:            queue.policy.Rank,
		Waiting:         queue.waiting,
		Cost:            queue.cost,
		TokensPerSecond: rate,
	}
	for _, f := range queue.active {
		wait, known := l.predictWait(queue, TenantPolicy{Name: f.tenant, Weight: f.weight})
		class.Tenants = append(class.Tenants, TenantWaiting{
			Tenant:        f.tenant,
			Waiting:       len(f.entries),
			Cost:          f.cost,
			Oldest:        now - f.entries[0].enqueued,
			PredictedWait: wait,
			RateKnown:     known,
		})
	}
	return class
}

// Position returns the queue position of an item, and false if it isn't waiting.
func (c *Controller) Position(now time.Duration, key Key) (Position, bool) {
	e, found := c.entries[key]
	if !found {
		return Position{}, false
	}
	position := Position{
		Item:         e.item,
		Waited:       now - e.enqueued,
		AheadInFlow:  slices.Index(e.flow.entries, e),
		AheadInClass: e.queue.waiting - len(e.flow.entries),
		Expires:      e.expires,
	}
	for _, queue := range c.byName[e.item.Lane].classes {
		if queue.policy.Rank < e.queue.policy.Rank {
			position.AheadInRank += queue.waiting
		}
	}
	return position, true
}
