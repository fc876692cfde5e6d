package workerlimit

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Rates, periods and bounds of a limiter.
const (
	// minRate is the rate in requests per second at which even a worker with a lower limit gets
	// requests: a worker without requests can't announce that its limit has ended.
	minRate Rate = 0.25
	// burstPeriod and extraRequestPeriod determine the size of a worker's bucket, which is one
	// request, plus what accumulates within burstPeriod, plus up to one request more within
	// extraRequestPeriod. The latter matters at low rates.
	burstPeriod        = 500 * time.Millisecond
	extraRequestPeriod = 2 * time.Second
	// maxRetrySpread bounds how much later than the next refill refused nodes are to ask again.
	// With a longer spread, capacity would stay unused.
	maxRetrySpread = 400 * time.Millisecond
	// reservationPeriod is how long after its wait a refused request keeps its reservation against
	// less urgent ones.
	reservationPeriod = 250 * time.Millisecond
	// bucketIdleTimeout is how long after its last use a worker's bucket is dropped. By then a new
	// bucket, which begins empty, admits no more than the old one would.
	bucketIdleTimeout = 30 * time.Second
)

// PriorityCount is the number of priorities; 0 is the most urgent.
const PriorityCount = 10

// Grant is the answer to a node that asks to send one request to a worker.
type Grant struct {
	Granted bool
	// Wait is the time after which to ask again for requests of the same or a less urgent priority.
	// Refill is the time after which to ask again for more urgent ones; none is granted earlier.
	Wait   time.Duration
	Refill time.Duration
}

// Limiter spaces the requests of all nodes to workers at the workers' rates. It belongs to the node
// that grants them.
type Limiter struct {
	buckets map[fleet.EngineID]*bucket
}

// NewLimiter returns a limiter that has granted nothing.
func NewLimiter() *Limiter { return &Limiter{buckets: make(map[fleet.EngineID]*bucket)} }

// Acquire asks for one request to a worker with a limit. fraction is the part of the rate that this
// limiter may grant: 1 unless other nodes may be granting too.
func (l *Limiter) Acquire(now time.Duration, worker fleet.EngineID, rate Rate, fraction float64, priority int) Grant {
	known := l.buckets[worker]
	if known == nil {
		known = &bucket{refilledAt: now}
		l.buckets[worker] = known
	}
	known.refill(now, max(Rate(float64(rate)*fraction), minRate))
	return known.acquire(now, min(max(priority, 0), PriorityCount-1))
}

// Forget drops a worker's bucket.
func (l *Limiter) Forget(worker fleet.EngineID) { delete(l.buckets, worker) }

// Sweep drops the buckets that are no longer used.
func (l *Limiter) Sweep(now time.Duration) {
	for worker, known := range l.buckets {
		if now >= known.refilledAt+bucketIdleTimeout {
			delete(l.buckets, worker)
		}
	}
}

// bucket is the token bucket of one worker, in requests. It starts empty, since requests sent before
// the limit was known, or granted by another node, may be in flight.
type bucket struct {
	rate       Rate
	tokens     float64
	refilledAt time.Duration
	// promised counts the refusals whose retry isn't due yet. It staggers the retries.
	promised float64
	// reservedPriority is the priority of a refused request for which the next token is reserved
	// until reservedUntil.
	reservedPriority int
	reservedUntil    time.Duration
}

// capacity returns the largest number of tokens that the bucket holds.
func (b *bucket) capacity() float64 {
	rate := float64(b.rate)
	return 1 + min(1, rate*extraRequestPeriod.Seconds()) + rate*burstPeriod.Seconds()
}

// refill sets the rate and adds the tokens since the last call.
func (b *bucket) refill(now time.Duration, rate Rate) {
	b.rate = rate
	added := max(now-b.refilledAt, 0).Seconds() * float64(rate)
	b.tokens = min(b.tokens+added, b.capacity())
	b.promised = max(b.promised-added, 0)
	b.refilledAt = max(b.refilledAt, now)
}

func (b *bucket) acquire(now time.Duration, priority int) Grant {
	reserved := now < b.reservedUntil && priority > b.reservedPriority
	if b.tokens >= 1 && !reserved {
		b.tokens--
		if priority <= b.reservedPriority {
			b.reservedUntil = 0
		}
		return Grant{Granted: true}
	}
	refusal := Grant{Refill: b.timeUntil(1), Wait: min(b.timeUntil(1+b.promised), b.timeUntil(1)+b.retrySpread())}
	if reserved {
		refusal.Wait = max(refusal.Wait, b.reservedUntil-now)
		return refusal
	}
	b.promised++
	if now >= b.reservedUntil || priority < b.reservedPriority {
		b.reservedPriority, b.reservedUntil = priority, now+refusal.Wait+reservationPeriod
	}
	return refusal
}

// retrySpread returns how much later than the next refill a refused node is to ask. It grows with
// the number of outstanding refusals, so that each node asks at a different time.
func (b *bucket) retrySpread() time.Duration {
	return time.Duration(float64(maxRetrySpread) * b.promised / (1 + b.promised))
}

// timeUntil returns the time until the bucket holds that many tokens, rounded up.
func (b *bucket) timeUntil(tokens float64) time.Duration {
	missing := max(tokens-b.tokens, 0)
	return time.Duration(missing/float64(b.rate)*float64(time.Second)) + time.Millisecond
}
