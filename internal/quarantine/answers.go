package quarantine

import (
	"encoding/binary"
	"time"
)

// answerSlots is the number of whole answers that are remembered: those of some ten seconds
// at 200 requests a second, in 32 KB.
const answerSlots = 2048

// answerCache remembers which requests were answered whole of late. A newer one takes the slot
// of another at times: then it isn't known any more, and never taken for another.
type answerCache struct {
	slots [answerSlots]answer
}

// answer is one whole answer; key 0 marks an empty slot.
type answer struct {
	key uint64
	at  time.Duration
}

func answerKey(fingerprint Fingerprint) uint64 { return binary.BigEndian.Uint64(fingerprint[:]) }

func (a *answerCache) add(now time.Duration, fingerprint Fingerprint) {
	key := answerKey(fingerprint)
	a.slots[key%answerSlots] = answer{key: key, at: now}
}

// last returns when a request was last answered whole, if that is remembered.
func (a *answerCache) last(fingerprint Fingerprint) (time.Duration, bool) {
	key := answerKey(fingerprint)
	found := a.slots[key%answerSlots]
	return found.at, found.key == key && key != 0
}
