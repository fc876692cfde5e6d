package quota

import "time"

// reportDelay is the usual age of an admission when peers report it: half the time between two
// exchanges.
const reportDelay = 300 * time.Millisecond

// catchUpPeriod is the time within which peers report what they admitted while a node was paused:
// two exchanges of load reports.
const catchUpPeriod = 1200 * time.Millisecond

// bucket is a token bucket that stores its deficit, so that a change of its size needs no
// conversion.
type bucket struct {
	// deficit is the units missing; nothing is left once it reaches the size.
	deficit   float64
	drainedAt time.Duration
	// unusedDrain is what could have drained in the last reportDelay with a larger deficit, and
	// unusedDrainAt when it last grew.
	unusedDrain   float64
	unusedDrainAt time.Duration
	// pauseDrain is what could have drained while this node was paused. It counts until
	// pauseDrainUntil.
	pauseDrain      float64
	pauseDrainUntil time.Duration
}

// drain reduces the deficit for the time since the last call.
func (b *bucket) drain(now time.Duration, rate float64) {
	if now <= b.drainedAt {
		return
	}
	amount := (now - b.drainedAt).Seconds() * rate
	if amount > b.deficit {
		b.unusedDrain = min(b.unusedDrain+amount-b.deficit, rate*reportDelay.Seconds())
		b.unusedDrainAt = now
	} else if now > b.unusedDrainAt+reportDelay {
		b.unusedDrain = 0
	}
	b.deficit = max(b.deficit-amount, 0)
	b.drainedAt = now
}

// drainPause reduces the deficit for a time in which this node was paused. Peers report their use
// during the pause later, so the unused part of the drain is kept for these reports.
func (b *bucket) drainPause(now time.Duration, rate float64) {
	amount := (now - b.drainedAt).Seconds() * rate
	b.pauseDrain, b.pauseDrainUntil = max(amount-b.deficit, 0), now+catchUpPeriod
	b.deficit = max(b.deficit-amount, 0)
	b.drainedAt = now
}

// take takes units out, even if fewer are left.
func (b *bucket) take(amount float64) { b.deficit += amount }

// takeDelayed takes units out that peers used before now, less what would have drained since.
// Otherwise the use of a tenant below its limit would be overestimated by up to reportDelay x rate.
func (b *bucket) takeDelayed(now time.Duration, amount float64) {
	if now < b.pauseDrainUntil {
		drained := min(amount, b.pauseDrain)
		b.pauseDrain -= drained
		amount -= drained
	}
	drained := min(amount, b.unusedDrain)
	b.unusedDrain -= drained
	b.deficit += amount - drained
}

// refund undoes take.
func (b *bucket) refund(amount float64) { b.deficit = max(b.deficit-amount, 0) }
