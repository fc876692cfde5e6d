package routes

import (
	"sync/atomic"
	"time"
)

// Freshness is the proof of how new this process's knowledge of the
// configuration is: everything acknowledged before the proof's time is in
// force here. It is safe for concurrent use.
//
// A proof's time lies before the giving of the answer that proves it, on the
// steady clock, so that a slow answer or a freeze makes it old instead of new.
type Freshness struct {
	provenAt atomic.Int64
}

// noProof is before any time of the steady clock.
const noProof = int64(-1 << 62)

// NewFreshness returns a freshness without proof.
func NewFreshness() *Freshness {
	freshness := &Freshness{}
	freshness.provenAt.Store(noProof)
	return freshness
}

// Prove notes that all that was acknowledged before at is in force. An older
// proof than the present one changes nothing.
func (f *Freshness) Prove(at time.Duration) {
	for {
		present := f.provenAt.Load()
		if int64(at) <= present || f.provenAt.CompareAndSwap(present, int64(at)) {
			return
		}
	}
}

// Age returns how old the proof is at now; false without any proof.
func (f *Freshness) Age(now time.Duration) (time.Duration, bool) {
	at := f.provenAt.Load()
	if at == noProof {
		return 0, false
	}
	return now - time.Duration(at), true
}

// IsWithin tells whether the proof is younger than bound at now.
func (f *Freshness) IsWithin(now, bound time.Duration) bool {
	age, proven := f.Age(now)
	return proven && age < bound
}
