package quota

import "time"

// reportDelay is how late peers mostly tell what they admit: half the time between two
// exchanges.
const reportDelay = 300 * time.Millisecond

// catchUpPeriod is the time within which peers have told a node that did nothing for a
// while what they have admitted: two exchanges of loads.
const catchUpPeriod = 1200 * time.Millisecond

// bucket is a token bucket, kept as what is missing in it, so that another size
// needs no conversion.
type bucket struct {
	// deficit is the units missing; above the size nothing is left.
	deficit   float64
	drainedAt time.Duration
	// unusedDrain is what could have drained in the last lateFor if more had been missing,
	// and sparedAt when that last happened.
	unusedDrain   float64
	unusedDrainAt time.Duration
	// pauseDrain is what could have drained while this node did nothing, and sleptUntil until
	// when it counts besides.
	pauseDrain      float64
	pauseDrainUntil time.Duration
}

// drain takes the time since the last call into account.
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

// drainPause drains for a time in which this node did nothing. What the others have used
// meanwhile is told later, so what could have drained is kept for it until then.
func (b *bucket) drainPause(now time.Duration, rate float64) {
	amount := (now - b.drainedAt).Seconds() * rate
	b.pauseDrain, b.pauseDrainUntil = max(amount-b.deficit, 0), now+catchUpPeriod
	b.deficit = max(b.deficit-amount, 0)
	b.drainedAt = now
}

// take takes units out, whether there are enough or not.
func (b *bucket) take(amount float64) { b.deficit += amount }

// takeDelayed takes units out that were used before now: what the bucket would have
// regained since doesn't count. Without it a tenant below its limit would be believed
// to have used up to lateFor x rate too much.
func (b *bucket) takeDelayed(now time.Duration, amount float64) {
	if now < b.pauseDrainUntil {
		regained := min(amount, b.pauseDrain)
		b.pauseDrain -= regained
		amount -= regained
	}
	regained := min(amount, b.unusedDrain)
	b.unusedDrain -= regained
	b.deficit += amount - regained
}

// refund undoes take.
func (b *bucket) refund(amount float64) { b.deficit = max(b.deficit-amount, 0) }
