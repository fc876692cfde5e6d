package readmission

import "time"

// toldSlots is the number of callers without a ticket that a node remembers, by signature. A caller
// takes 24 bytes; a later one takes the place of an earlier one.
const toldSlots = 4096

// toldTimes remembers which callers without a ticket wait, so that coming all the time gives no
// advantage over those that wait as told. Its size is fixed: refusing them again costs no memory.
type toldTimes struct{ slots [toldSlots]toldTime }

type toldTime struct {
	signature uint64
	deadline  time.Duration
	until     time.Duration
}

// add remembers until when a caller waits. One that doesn't say how much time it has isn't told from
// others with equal requests, so it isn't remembered.
func (t *toldTimes) add(now time.Duration, request *Request, wait time.Duration) {
	if deadline := request.deadline(now); deadline > 0 {
		t.slots[request.Signature%toldSlots] = toldTime{
			signature: request.Signature, deadline: deadline, until: now + min(wait, request.patience()),
		}
	}
}

// left returns how long a caller that comes early is still to wait, 0 if it isn't early.
func (t *toldTimes) left(now time.Duration, request *Request) time.Duration {
	told := &t.slots[request.Signature%toldSlots]
	if told.signature != request.Signature || now >= told.until-earlyTolerance || (told.deadline-request.deadline(now)).Abs() > deadlineTolerance {
		return 0
	}
	return told.until - now
}
