package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// maxCrashes bounds the ends that are kept of one request: enough to see that it is far over
// the threshold.
const maxCrashes = 8

// Crash is the end of a worker while a request was under way there.
type Crash struct {
	Worker fleet.EngineID
	// At is when the worker ended at the latest, by this node's clock.
	At time.Duration
}

// Record is what is known of one request that was under way at workers which ended. Records
// of several nodes are merged in any order and any number of times with the same result, as
// far as their clocks tell the same ages.
type Record struct {
	Fingerprint Fingerprint
	// Crashes are different workers, the earliest first.
	Crashes []Crash
	// AnsweredAt is when the request was last answered whole, if Answered: it doesn't end
	// the workers that run it, or not any more.
	Answered   bool
	AnsweredAt time.Duration
	// Trials counts the times that it was let through after it had been held; the last one
	// began at TriedAt.
	Trials      int
	LastTrialAt time.Duration
}

// merge takes over what another record of the same request knows, and tells whether that
// is news.
func (r *Record) merge(other *Record) bool {
	news := false
	for _, end := range other.Crashes {
		news = r.addCrash(end) || news
	}
	if other.Answered && (!r.Answered || other.AnsweredAt > r.AnsweredAt) {
		r.Answered, r.AnsweredAt = true, other.AnsweredAt
		news = true
	}
	if other.Trials > r.Trials {
		r.Trials, r.LastTrialAt = other.Trials, other.LastTrialAt
		news = true
	}
	return news
}

// addCrash adds the end of a worker, once. Of several words on the same one the earliest
// counts: a word travels, and is never too early.
func (r *Record) addCrash(end Crash) bool {
	for index := range r.Crashes {
		if r.Crashes[index].Worker == end.Worker {
			r.Crashes[index].At = min(r.Crashes[index].At, end.At)
			return false
		}
	}
	r.Crashes = append(r.Crashes, end)
	slices.SortFunc(r.Crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Worker, b.Worker))
	})
	if len(r.Crashes) > maxCrashes {
		r.Crashes = r.Crashes[len(r.Crashes)-maxCrashes:]
	}
	return true
}

// countedCrashes returns the ends that no whole answer speaks against.
func (r *Record) countedCrashes(spokenFor time.Duration) []Crash {
	if !r.Answered {
		return r.Crashes
	}
	for index, end := range r.Crashes {
		if end.At > r.AnsweredAt+spokenFor {
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

// clone returns a copy that shares nothing.
func (r *Record) clone() Record {
	copied := *r
	copied.Crashes = slices.Clone(r.Crashes)
	return copied
}
