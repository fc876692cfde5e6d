package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// maxCrashes bounds the crashes that are kept per request. It is well above the default threshold.
const maxCrashes = 8

// Crash is the crash of a worker while a request was in flight there.
type Crash struct {
	Worker fleet.EngineID
	// At is the latest time at which the worker can have crashed, by this node's clock.
	At time.Duration
}

// Record is the history of one request, or of one part of prompts, that was in flight at crashed
// workers. Merging the records of several nodes is commutative and idempotent, up to differences
// between the ages that the nodes report.
type Record struct {
	Fingerprint Fingerprint
	// Crashes holds one crash per worker, the earliest first.
	Crashes []Crash
	// AnsweredAt is when the request was last answered completely, or when the answers to requests
	// with the part last outweighed its crashes. It is valid only if Answered is set.
	Answered   bool
	AnsweredAt time.Duration
	// Clearances counts how often the answers to requests with a part outweighed its crashes. Answers
	// counts those since then, by the node that received them.
	Clearances int
	Answers    map[fleet.NodeID]int
	// Condemned is set once a part is quarantined.
	Condemned bool
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
// has changed. The record that was cleared more often is the later one.
func (r *Record) mergeAnswers(other *Record) bool {
	if other.Clearances < r.Clearances {
		return false
	}
	if other.Clearances > r.Clearances {
		r.Clearances, r.Answers, r.Condemned = other.Clearances, maps.Clone(other.Answers), other.Condemned
		r.Answered, r.AnsweredAt = other.Answered, other.AnsweredAt
		return true
	}
	changed := other.Condemned && !r.Condemned
	r.Condemned = r.Condemned || other.Condemned
	for node, count := range other.Answers {
		if count > r.Answers[node] {
			r.setAnswers(node, count)
			changed = true
		}
	}
	return changed
}

// setAnswers sets how many answers a node has received. Few nodes are kept, since a record is cleared
// once its answers outweigh its crashes.
func (r *Record) setAnswers(node fleet.NodeID, count int) {
	if r.Answers == nil {
		r.Answers = make(map[fleet.NodeID]int)
	}
	r.Answers[node] = count
}

// answerCount returns the number of answers that are known of all nodes.
func (r *Record) answerCount() int {
	total := 0
	for _, count := range r.Answers {
		total += count
	}
	return total
}

// clear records that the answers to requests with a part outweigh its crashes.
func (r *Record) clear(at time.Duration) {
	r.Clearances++
	r.Answered, r.AnsweredAt = true, at
	r.Answers, r.Condemned = nil, false
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
	if len(r.Crashes) > maxCrashes {
		r.Crashes = r.Crashes[len(r.Crashes)-maxCrashes:]
	}
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

// StoredRecord returns the record of a stored row, which holds no times: its crashes and trials count as of
// now. Those of a part count one by one.
func StoredRecord(now time.Duration, fingerprint Fingerprint, workers []fleet.EngineID, trials int, condemned bool) Record {
	record := Record{Fingerprint: fingerprint, Trials: trials, Condemned: condemned}
	if trials > 0 {
		record.LastTrialAt = now
	}
	var apart time.Duration
	if fingerprint.IsPart() {
		apart = sameCause
	}
	for index, worker := range workers {
		record.Crashes = append(record.Crashes, Crash{Worker: worker, At: now - time.Duration(len(workers)-1-index)*apart})
	}
	return record
}

// clone returns a deep copy.
func (r *Record) clone() Record {
	copied := *r
	copied.Crashes = slices.Clone(r.Crashes)
	copied.Answers = maps.Clone(r.Answers)
	return copied
}
