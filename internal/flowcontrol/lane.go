package flowcontrol

import (
	"cmp"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// lane holds the classes that compete for a set of engines.
type lane struct {
	name Lane
	// classes is sorted by rank, then by name.
	classes []*classQueue
	// order is scratch space for dispatchOrder.
	order []*classQueue
}

func compareClasses(a, b *classQueue) int {
	if order := cmp.Compare(a.policy.Rank, b.policy.Rank); order != 0 {
		return order
	}
	return cmp.Compare(a.policy.Name, b.policy.Name)
}

func (l *lane) class(name fleet.ClassName) *classQueue {
	for _, queue := range l.classes {
		if queue.policy.Name == name {
			return queue
		}
	}
	return nil
}

func (l *lane) addClass(policy ClassPolicy, now time.Duration) *classQueue {
	queue := newClassQueue(policy, now)
	l.classes = append(l.classes, queue)
	slices.SortFunc(l.classes, compareClasses)
	return queue
}

// dispatchOrder returns the classes in the order in which they may dispatch: those with credit for
// a whole dispatch first, then the rest, each by rank.
func (l *lane) dispatchOrder() []*classQueue {
	l.order = l.order[:0]
	for _, queue := range l.classes {
		if queue.waiting > 0 && queue.credit >= 1 {
			l.order = append(l.order, queue)
		}
	}
	for _, queue := range l.classes {
		if queue.waiting > 0 && queue.credit < 1 {
			l.order = append(l.order, queue)
		}
	}
	return l.order
}

// updateCredits accounts a dispatch against the minimum shares. Credit is capped, so a class can't
// save it for a burst.
func (l *lane) updateCredits(served *classQueue, scale float64) {
	for _, queue := range l.classes {
		if queue.waiting == 0 {
			continue
		}
		queue.credit = min(queue.credit+queue.policy.MinShare*scale, 2)
	}
	served.credit = max(served.credit-1, 0)
}

// predictWait predicts the wait of a new item. It returns false if items are queued ahead and
// the service rate isn't known yet.
func (l *lane) predictWait(queue *classQueue, tenant TenantPolicy) (time.Duration, bool) {
	ahead := queue.tokensAhead(tenant.Name, tenant.Weight)
	if ahead <= 0 {
		return 0, true
	}
	rate, known := queue.meter.tokensPerSecond()
	if !known {
		return 0, false
	}
	return secondsToDuration(ahead / rate), true
}

// maxPredictedWait prevents the prediction from overflowing a time.Duration.
const maxPredictedWait = 24 * time.Hour

func secondsToDuration(seconds float64) time.Duration {
	if seconds >= maxPredictedWait.Seconds() {
		return maxPredictedWait
	}
	return time.Duration(seconds * float64(time.Second))
}
