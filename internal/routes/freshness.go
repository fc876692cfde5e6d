package routes

import (
	"sync/atomic"
	"time"
)

// Freshness holds the proof of how current this process's configuration is: every change that the
// store acknowledged before the proof's time is active here. It is safe for concurrent use.
//
// A proof's time is on the steady clock and precedes the answer that proves it, so a slow answer or
// a paused process makes the proof older, never newer.
type Freshness struct {
	provenAt atomic.Int64
}

// noProof precedes any time of the steady clock.
const noProof = int64(-1 << 62)

// NewFreshness returns a Freshness without a proof.
func NewFreshness() *Freshness {
	freshness := &Freshness{}
	freshness.provenAt.Store(noProof)
	return freshness
}

// Prove records that every change acknowledged before at is active. A proof that is older than the
// current one changes nothing.
func (f *Freshness) Prove(at time.Duration) {
	for {
		current := f.provenAt.Load()
		if int64(at) <= current || f.provenAt.CompareAndSwap(current, int64(at)) {
			return
		}
	}
}

// Age returns the age of the proof at now; false if there is none.
func (f *Freshness) Age(now time.Duration) (time.Duration, bool) {
	at := f.provenAt.Load()
	if at == noProof {
		return 0, false
	}
	return now - time.Duration(at), true
}

// IsWithin reports whether the proof is younger than bound at now.
func (f *Freshness) IsWithin(now, bound time.Duration) bool {
	age, proven := f.Age(now)
	return proven && age < bound
}
