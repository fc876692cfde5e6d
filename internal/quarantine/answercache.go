package quarantine

import (
	"encoding/binary"
	"time"
)

// answerSlots is the number of recent answers that are remembered: those of about ten seconds at
// 200 requests per second, in 32 KB.
const answerSlots = 2048

// answerCache remembers which requests were recently answered completely. It is direct-mapped: an
// answer may overwrite that of another request, which is then forgotten.
type answerCache struct {
	slots [answerSlots]answer
}

// answer is one complete answer; key 0 marks an empty slot.
type answer struct {
	key uint64
	at  time.Duration
}

func answerKey(fingerprint Fingerprint) uint64 { return binary.BigEndian.Uint64(fingerprint[:]) }

// add records that a request was answered completely.
func (a *answerCache) add(now time.Duration, fingerprint Fingerprint) {
	key := answerKey(fingerprint)
	a.slots[key%answerSlots] = answer{key: key, at: now}
}

// last returns when a request was last answered completely; false if that isn't remembered.
func (a *answerCache) last(fingerprint Fingerprint) (time.Duration, bool) {
	key := answerKey(fingerprint)
	found := a.slots[key%answerSlots]
	return found.at, found.key == key && key != 0
}
