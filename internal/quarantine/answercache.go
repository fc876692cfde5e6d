package quarantine

import (
	"encoding/binary"
	"time"
)

const (
	// recentAnswers is how long before a part's first crash the answers to requests with it speak for it,
	// and maxRecentAnswers how many of them at one node: it may have become harmful since.
	recentAnswers    = 2 * time.Second
	maxRecentAnswers = 2
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

// answerKey returns the first half of a fingerprint: for a part, its service's hash and half of its own.
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

// partAnswerSlots is the number of parts whose recent answers are remembered, in 48 KB.
const partAnswerSlots = 2048

// partAnswerCache remembers how many requests with a part were recently answered completely. It is
// direct-mapped like answerCache.
type partAnswerCache struct {
	slots [partAnswerSlots]partAnswers
}

// partAnswers counts the answers to requests with one part, each at most recentAnswers after the one
// before; key 0 marks an empty slot.
type partAnswers struct {
	key   uint64
	count int
	last  time.Duration
}

// add records that a request with a part was answered completely.
func (a *partAnswerCache) add(now time.Duration, part Fingerprint) {
	key := answerKey(part)
	slot := &a.slots[key%partAnswerSlots]
	if slot.key != key || now > slot.last+recentAnswers {
		*slot = partAnswers{key: key}
	}
	slot.count++
	slot.last = now
}

// recent returns the number of recent answers to requests with a part.
func (a *partAnswerCache) recent(now time.Duration, part Fingerprint) int {
	key := answerKey(part)
	slot := &a.slots[key%partAnswerSlots]
	if slot.key != key || now > slot.last+recentAnswers {
		return 0
	}
	return min(slot.count, maxRecentAnswers)
}
