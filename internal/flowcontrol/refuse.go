package flowcontrol

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// maxPredictedFraction is the fraction of a class's maximum wait up to which a predicted wait is
// accepted. The margin covers the error of predictions: items accepted near the limit often time
// out.
const maxPredictedFraction = 0.8

// checkAdmission returns a refusal for an item that has no room in the queue or can't be served in
// time, else nil.
func (c *Controller) checkAdmission(now time.Duration, l *lane, queue *classQueue, tenant TenantPolicy, item Item) *Refusal {
	queue.meter.advance(now, queue.waiting > 0)
	wait, known := l.predictWait(queue, tenant)
	full := c.waiting[item.Tenant] >= tenant.MaxWaiting
	if full && c.displaceable(item.Tenant, queue.policy.Rank) == nil {
		return c.refuse(item.Key, resultcode.TenantQueueFull, "the tenant's queue is full", wait)
	}
	if item.Deadline > 0 && item.Deadline <= now {
		return c.refuse(item.Key, resultcode.DeadlineTooShort, "the deadline has passed", wait)
	}
	if !known {
		return nil
	}
	if item.Deadline > 0 && now+wait >= item.Deadline {
		return c.refuse(item.Key, resultcode.DeadlineTooShort,
			"the predicted wait is over the deadline", now+wait-item.Deadline)
	}
	limit := time.Duration(maxPredictedFraction * float64(queue.policy.MaxWait))
	if limit > 0 && wait > limit {
		return c.refuse(item.Key, resultcode.Overloaded,
			"the predicted wait is near or over the class's limit", wait-limit)
	}
	return nil
}

// refuse returns a refusal with jitter in its retry time, to prevent refused callers from retrying
// at the same time.
func (c *Controller) refuse(key Key, code resultcode.Code, reason string, retryAfter time.Duration) *Refusal {
	return &Refusal{Key: key, Code: code, Reason: reason, RetryAfter: c.JitterRetryAfter(retryAfter)}
}

// JitterRetryAfter bounds a retry time and adds jitter to it.
func (c *Controller) JitterRetryAfter(retryAfter time.Duration) time.Duration {
	bounded := min(max(retryAfter, c.options.MinRetryAfter), c.options.MaxRetryAfter)
	extra := c.options.RetryJitter * c.options.Random.Float64()
	return bounded + time.Duration(extra*float64(bounded))
}

// displaceable returns the newest waiting item of the tenant's lowest-priority class, if that class
// has a lower priority than the given rank, else nil.
func (c *Controller) displaceable(tenant fleet.TenantName, rank int) *entry {
	var newest *entry
	for _, l := range c.lanes {
		for _, queue := range l.classes {
			f := queue.flows[tenant]
			if queue.policy.Rank <= rank || f == nil || len(f.entries) == 0 {
				continue
			}
			candidate := f.entries[len(f.entries)-1]
			if newest == nil || displacedBefore(candidate, newest) {
				newest = candidate
			}
		}
	}
	return newest
}

func displacedBefore(a, b *entry) bool {
	if a.queue.policy.Rank != b.queue.policy.Rank {
		return a.queue.policy.Rank > b.queue.policy.Rank
	}
	return a.enqueued > b.enqueued
}

func (c *Controller) displace(now time.Duration, e *entry) {
	tenant := c.table.tenant(e.item.Tenant)
	tenant.Name = e.item.Tenant
	wait, _ := c.byName[e.item.Lane].predictWait(e.queue, tenant)
	e.queue.remove(now, e)
	c.removeFromIndexes(e)
	c.pendingRefusals = append(c.pendingRefusals, *c.refuse(e.item.Key, resultcode.TenantQueueFull,
		"the tenant's queue is full of requests of better classes", wait))
}

func (c *Controller) expiryRefusal(e *entry) *Refusal {
	tenant := c.table.tenant(e.item.Tenant)
	tenant.Name = e.item.Tenant
	wait, _ := c.byName[e.item.Lane].predictWait(e.queue, tenant)
	if e.expiresByDeadline {
		return c.refuse(e.item.Key, resultcode.DeadlineTooShort, "the deadline passed in the queue", wait)
	}
	return c.refuse(e.item.Key, resultcode.QueueTimeout, "no engine became free within the class's limit", wait)
}
