package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// maxCrashes and maxPartCrashes bound the crashes that are kept per request and per part. They are well
// above the default threshold; a part may need more, beside many crashes with other causes.
const (
	maxCrashes     = 8
	maxPartCrashes = 16
)

// Crash is the crash of a worker while a request was in flight there.
type Crash struct {
	Worker fleet.EngineID
	// At is the latest time at which the worker can have crashed, by this node's clock.
	At time.Duration
}

// maxPartAnswers bounds the answers that are kept per part. They outweigh maxPartCrashes crashes.
const maxPartAnswers = 32

// PartAnswer is a complete answer to a request with a part.
type PartAnswer struct {
	// Node received it, as the Sequence-th answer to any request with a suspected part.
	Node     fleet.NodeID
	Sequence uint64
	At       time.Duration
}

// Record is the history of one request, or of one part of prompts, that was in flight at crashed
// workers. Merging the records of several nodes is commutative and idempotent, up to differences
// between the ages that the nodes report.
type Record struct {
	Fingerprint Fingerprint
	// Crashes holds one crash per worker, the earliest first.
	Crashes []Crash
	// AnsweredAt is when the request was last answered completely, or when the part was last released. It
	// is valid only if Answered is set.
	Answered   bool
	AnsweredAt time.Duration
	// Releases counts how often a part was released. Answers are the latest answers to requests with it, the
	// earliest first.
	Releases int
	Answers  []PartAnswer
	// Quarantined is set once a part is quarantined.
	Quarantined bool
	// Trials counts how often the request was let through after it was quarantined; the last trial
	// began at LastTrialAt.
	Trials      int
	LastTrialAt time.Duration
}

// merge adds what another record of the same request contains, and reports whether the record has
// changed. An earlier time for a crash that is already recorded isn't reported as a change.
func (r *Record) merge(other *Record) bool {
	changed := false
	for _, crash := range other.Crashes {
		changed = r.addCrash(crash) || changed
	}
	if r.Fingerprint.IsPart() {
		changed = r.mergeAnswers(other) || changed
	} else if other.Answered && (!r.Answered || other.AnsweredAt > r.AnsweredAt) {
		r.Answered, r.AnsweredAt = true, other.AnsweredAt
		changed = true
	}
	if other.Trials > r.Trials {
		r.Trials, r.LastTrialAt = other.Trials, other.LastTrialAt
		changed = true
	}
	return changed
}

// mergeAnswers adds what another record of the same part says of answers, and reports whether anything
// has changed. The record that was released more often is the later one.
func (r *Record) mergeAnswers(other *Record) bool {
	if other.Releases < r.Releases {
		return false
	}
	if other.Releases > r.Releases {
		r.Releases, r.Answers, r.Quarantined = other.Releases, slices.Clone(other.Answers), other.Quarantined
		r.Answered, r.AnsweredAt = other.Answered, other.AnsweredAt
		return true
	}
	changed := other.Quarantined && !r.Quarantined
	r.Quarantined = r.Quarantined || other.Quarantined
	for _, answer := range other.Answers {
		changed = r.addAnswer(answer) || changed
	}
	return changed
}

// addAnswer adds an answer and reports whether it is new to the record. Only the latest are kept.
func (r *Record) addAnswer(answer PartAnswer) bool {
	if r.hasAnswer(answer) {
		return false
	}
	if len(r.Answers) >= maxPartAnswers && answer.At <= r.Answers[0].At {
		return false
	}
	r.Answers = append(r.Answers, answer)
	slices.SortFunc(r.Answers, func(a, b PartAnswer) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Sequence, b.Sequence))
	})
	r.Answers = r.Answers[max(len(r.Answers)-maxPartAnswers, 0):]
	return true
}

func (r *Record) hasAnswer(answer PartAnswer) bool {
	return slices.ContainsFunc(r.Answers, func(known PartAnswer) bool {
		return known.Node == answer.Node && known.Sequence == answer.Sequence
	})
}

// answersFor returns the answers since shortly before the first of some crashes, the earliest first.
func (r *Record) answersFor(crashes []Crash) []PartAnswer {
	if len(crashes) == 0 {
		return nil
	}
	for index, answer := range r.Answers {
		if answer.At >= crashes[0].At-recentAnswers {
			return r.Answers[index:]
		}
	}
	return nil
}

// release forgets a part's crashes and answers.
func (r *Record) release(at time.Duration) {
	r.Releases++
	r.Answered, r.AnsweredAt = true, at
	r.Answers, r.Quarantined = nil, false
}

// addCrash adds the crash of a worker and reports whether that worker is new to the record. Of
// several reports of the same crash the earliest time is kept, since reports are only ever late.
func (r *Record) addCrash(crash Crash) bool {
	for index := range r.Crashes {
		if r.Crashes[index].Worker == crash.Worker {
			r.Crashes[index].At = min(r.Crashes[index].At, crash.At)
			return false
		}
	}
	r.Crashes = append(r.Crashes, crash)
	slices.SortFunc(r.Crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Worker, b.Worker))
	})
	limit := maxCrashes
	if r.Fingerprint.IsPart() {
		limit = maxPartCrashes
	}
	r.Crashes = r.Crashes[max(len(r.Crashes)-limit, 0):]
	return true
}

// countedCrashes returns the crashes that count against the request: those later than gracePeriod
// after its last complete answer.
func (r *Record) countedCrashes(gracePeriod time.Duration) []Crash {
	if !r.Answered {
		return r.Crashes
	}
	for index, crash := range r.Crashes {
		if crash.At > r.AnsweredAt+gracePeriod {
			return r.Crashes[index:]
		}
	}
	return nil
}

// lastChange returns when the record last changed.
func (r *Record) lastChange() time.Duration {
	last := r.LastTrialAt
	if len(r.Crashes) > 0 {
		last = max(last, r.Crashes[len(r.Crashes)-1].At)
	}
	if r.Answered {
		last = max(last, r.AnsweredAt)
	}
	return last
}

// clone returns a deep copy.
func (r *Record) clone() Record {
	copied := *r
	copied.Crashes = slices.Clone(r.Crashes)
	copied.Answers = slices.Clone(r.Answers)
	return copied
}
