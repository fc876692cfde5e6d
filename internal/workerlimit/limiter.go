package workerlimit

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Constants of a limiter.
const (
	// minRate is sent to a worker whatever less it takes, in requests a second: one that
	// gets nothing can't say that its limit has ended.
	minRate Rate = 0.25
	// burstPeriod is the time for which a worker's rate may gather while nobody asks, besides
	// one request at any rate, and oneMoreFor the same for one more request: requests come
	// unevenly, and most at low rates.
	burstPeriod        = 500 * time.Millisecond
	extraRequestPeriod = 2 * time.Second
	// maxRetrySpread bounds by how much later than there is room nodes that found none may ask
	// again: later, room would be left unused.
	maxRetrySpread = 400 * time.Millisecond
	// reservationPeriod is how much longer than it was told to wait room is kept for a request that
	// is more urgent than others.
	reservationPeriod = 250 * time.Millisecond
	// bucketIdleTimeout is how long after the last question a worker's bucket is dropped: by then a
	// new one, which begins empty, allows no more.
	bucketIdleTimeout = 30 * time.Second
)

// PriorityLevels is the number of priorities, 0 first.
const PriorityLevels = 10

// Grant answers whether one request may be sent to a worker now.
type Grant struct {
	Granted bool
	// Wait is after how long to ask again for requests of that priority and less urgent
	// ones, Refill after how long for others: nobody gets room before.
	Wait   time.Duration
	Refill time.Duration
}

// Limiter spaces the requests of all nodes to workers at the rates that these name. It belongs
// to the node that grants them.
type Limiter struct {
	buckets map[fleet.EngineID]*bucket
}

// NewLimiter returns a limiter that has granted nothing.
func NewLimiter() *Limiter { return &Limiter{buckets: make(map[fleet.EngineID]*bucket)} }

// Acquire asks for one request to a worker with a limit, for a part of its rate: 1 unless others
// may be granting as well.
func (m *Limiter) Acquire(now time.Duration, worker fleet.EngineID, rate Rate, part float64, priority int) Grant {
	known := m.buckets[worker]
	if known == nil {
		known = &bucket{refilledAt: now}
		m.buckets[worker] = known
	}
	known.refill(now, max(Rate(float64(rate)*part), minRate))
	return known.acquire(now, min(max(priority, 0), PriorityLevels-1))
}

// Forget drops a worker's bucket.
func (m *Limiter) Forget(worker fleet.EngineID) { delete(m.buckets, worker) }

// Sweep drops the buckets that nobody asks any more.
func (m *Limiter) Sweep(now time.Duration) {
	for worker, known := range m.buckets {
		if now >= known.refilledAt+bucketIdleTimeout {
			delete(m.buckets, worker)
		}
	}
}

// bucket holds the requests that one worker may get at once. It begins empty: what the nodes
// sent before they knew of the limit, or another node granted, is under way.
type bucket struct {
	rate       Rate
	tokens     float64
	refilledAt time.Duration
	// promised counts the refusals whose time to ask again hasn't come, so that not all
	// are told the same time.
	promised float64
	// reservedPriority is that of a refused request for which the next room is kept until
	// keptUntil.
	reservedPriority int
	reservedUntil    time.Duration
}

// capacity returns how many requests the bucket holds at the most.
func (b *bucket) capacity() float64 {
	rate := float64(b.rate)
	return 1 + min(1, rate*extraRequestPeriod.Seconds()) + rate*burstPeriod.Seconds()
}

// refill takes the time since the last call into account, at the rate from now on.
func (b *bucket) refill(now time.Duration, rate Rate) {
	b.rate = rate
	regained := max(now-b.refilledAt, 0).Seconds() * float64(rate)
	b.tokens = min(b.tokens+regained, b.capacity())
	b.promised = max(b.promised-regained, 0)
	b.refilledAt = max(b.refilledAt, now)
}

func (b *bucket) acquire(now time.Duration, priority int) Grant {
	kept := now < b.reservedUntil && priority > b.reservedPriority
	if b.tokens >= 1 && !kept {
		b.tokens--
		if priority <= b.reservedPriority {
			b.reservedUntil = 0
		}
		return Grant{Granted: true}
	}
	refused := Grant{Refill: b.timeUntil(1), Wait: min(b.timeUntil(1+b.promised), b.timeUntil(1)+b.retrySpread())}
	if kept {
		refused.Wait = max(refused.Wait, b.reservedUntil-now)
		return refused
	}
	b.promised++
	if now >= b.reservedUntil || priority < b.reservedPriority {
		b.reservedPriority, b.reservedUntil = priority, now+refused.Wait+reservationPeriod
	}
	return refused
}

// retrySpread returns by how much later than the next room a refused node is to ask, so that each
// asks at another time.
func (b *bucket) retrySpread() time.Duration {
	return time.Duration(float64(maxRetrySpread) * b.promised / (1 + b.promised))
}

// timeUntil returns the time timeUntil the bucket has held so many requests, rounded up.
func (b *bucket) timeUntil(level float64) time.Duration {
	missing := max(level-b.tokens, 0)
	return time.Duration(missing/float64(b.rate)*float64(time.Second)) + time.Millisecond
}
