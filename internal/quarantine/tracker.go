package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Options configures a Tracker; zero fields take the defaults.
type Options struct {
	// Threshold is the number of workers that must have crashed while running a request before it
	// is quarantined.
	Threshold int
	// GracePeriod is how long after a complete answer crashes don't count against the request.
	GracePeriod time.Duration
	// TrialDelay is how long after its last crash a quarantined request may be tried once. Each
	// trial multiplies the delay of the next one by TrialDelayFactor.
	TrialDelay       time.Duration
	TrialDelayFactor int
	// MaxTrials bounds the trials. After the last one the request stays quarantined until its
	// record is dropped.
	MaxTrials int
	// QuarantineRetention is how long after its last change the record of a quarantined request is
	// kept.
	QuarantineRetention time.Duration
	// SuspectRetention is how long after its last change the record of any other request is kept.
	SuspectRetention time.Duration
	// MaxRecords bounds the number of records.
	MaxRecords int
}

// Defaults of Options.
const (
	// DefaultThreshold is high enough that a harmless request is rarely in flight at as many
	// crashing workers.
	DefaultThreshold = 3
	// DefaultGracePeriod protects popular requests of a service whose workers crash often.
	DefaultGracePeriod = 10 * time.Second
	// DefaultTrialDelay exceeds the usual delays between the retries of a caller.
	DefaultTrialDelay          = 2 * time.Minute
	DefaultTrialDelayFactor    = 5
	DefaultMaxTrials           = 3
	DefaultQuarantineRetention = 24 * time.Hour
	DefaultSuspectRetention    = 30 * time.Minute
	DefaultMaxRecords          = 2048
)

func (o *Options) setDefaults() {
	for _, option := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{
		{&o.GracePeriod, DefaultGracePeriod}, {&o.TrialDelay, DefaultTrialDelay},
		{&o.QuarantineRetention, DefaultQuarantineRetention}, {&o.SuspectRetention, DefaultSuspectRetention},
	} {
		if *option.field <= 0 {
			*option.field = option.fallback
		}
	}
	for _, option := range []struct {
		field    *int
		fallback int
	}{
		{&o.Threshold, DefaultThreshold}, {&o.TrialDelayFactor, DefaultTrialDelayFactor},
		{&o.MaxTrials, DefaultMaxTrials}, {&o.MaxRecords, DefaultMaxRecords},
	} {
		if *option.field <= 0 {
			*option.field = option.fallback
		}
	}
}

// Verdict is the state of a request: whether it may be sent to a worker, and if not, why.
type Verdict struct {
	// Quarantined is set if the request must not be sent to a worker.
	Quarantined bool
	// TrialDue is set if the request is quarantined and may be tried once, by the node that claims
	// the trial in the store.
	TrialDue bool
	// Crashes is the number of workers that crashed while running the request, the first FirstAge
	// ago and the last LastAge ago.
	Crashes           int
	FirstAge, LastAge time.Duration
	// Trials is the number of trials so far.
	Trials int
	// RetryAfter is the time until the next trial, or until the record is dropped if there won't be
	// another trial.
	RetryAfter time.Duration
}

// Tracker holds a node's records of requests that were in flight at crashed workers. It isn't safe
// for concurrent use.
type Tracker struct {
	options Options
	records map[Fingerprint]*Record
	answers answerCache
}

// NewTracker returns an empty tracker.
func NewTracker(options Options) *Tracker {
	options.setDefaults()
	return &Tracker{options: options, records: make(map[Fingerprint]*Record)}
}

// ObserveAnswer records that a request was answered completely. It reports whether crashes counted
// against the request until now, in which case other nodes are to be notified.
func (t *Tracker) ObserveAnswer(now time.Duration, fingerprint Fingerprint) bool {
	t.answers.add(now, fingerprint)
	record := t.records[fingerprint]
	if record == nil {
		return false
	}
	suspected := len(record.countedCrashes(t.options.GracePeriod)) > 0
	record.Answered, record.AnsweredAt = true, now
	return suspected
}

// ObserveCrash records that a worker crashed while a request was in flight there. It reports
// whether the record has changed.
func (t *Tracker) ObserveCrash(now time.Duration, fingerprint Fingerprint, worker fleet.EngineID) bool {
	return t.Merge(&Record{Fingerprint: fingerprint, Crashes: []Crash{{Worker: worker, At: now}}})
}

// Merge merges another node's record and reports whether this node's record has changed.
func (t *Tracker) Merge(other *Record) bool {
	record := t.records[other.Fingerprint]
	if record == nil {
		record = t.add(other.Fingerprint)
	}
	return record.merge(other)
}

// add creates a record, with the last answer of the request that this node remembers.
func (t *Tracker) add(fingerprint Fingerprint) *Record {
	if len(t.records) >= t.options.MaxRecords {
		t.evict()
	}
	record := &Record{Fingerprint: fingerprint}
	record.AnsweredAt, record.Answered = t.answers.last(fingerprint)
	t.records[fingerprint] = record
	return record
}

// evict drops a sixteenth of the records: those with the fewest counted crashes, and among these
// the least recently changed. A flood of distinct requests therefore evicts its own records first.
func (t *Tracker) evict() {
	all := make([]*Record, 0, len(t.records))
	for _, record := range t.records {
		all = append(all, record)
	}
	slices.SortFunc(all, func(a, b *Record) int {
		if difference := t.crashCount(a) - t.crashCount(b); difference != 0 {
			return difference
		}
		return int(a.lastChange() - b.lastChange())
	})
	const evictionDivisor = 16
	for _, record := range all[:max(len(all)/evictionDivisor, 1)] {
		delete(t.records, record.Fingerprint)
	}
}

func (t *Tracker) crashCount(record *Record) int {
	return len(record.countedCrashes(t.options.GracePeriod))
}

// Check returns the verdict on a request at now.
func (t *Tracker) Check(now time.Duration, fingerprint Fingerprint) Verdict {
	record := t.records[fingerprint]
	if record == nil {
		return Verdict{}
	}
	return t.verdict(now, record)
}

func (t *Tracker) verdict(now time.Duration, record *Record) Verdict {
	counted := record.countedCrashes(t.options.GracePeriod)
	if len(counted) == 0 {
		return Verdict{}
	}
	last := counted[len(counted)-1].At
	verdict := Verdict{
		Quarantined: len(counted) >= t.options.Threshold,
		Crashes:     len(counted),
		FirstAge:    max(now-counted[0].At, 0),
		LastAge:     max(now-last, 0),
		Trials:      record.Trials,
	}
	if !verdict.Quarantined {
		return verdict
	}
	due := t.trialDueAt(record, last)
	if record.Trials >= t.options.MaxTrials {
		due = record.lastChange() + t.options.QuarantineRetention
	}
	verdict.TrialDue = record.Trials < t.options.MaxTrials && now >= due
	verdict.RetryAfter = max(due-now, 0)
	return verdict
}

// trialDueAt returns when the next trial of a quarantined request is due. The delay counts from the
// last crash or the last trial, whichever is later.
func (t *Tracker) trialDueAt(record *Record, lastCrash time.Duration) time.Duration {
	delay := t.options.TrialDelay
	for range record.Trials {
		delay *= time.Duration(t.options.TrialDelayFactor)
	}
	since := lastCrash
	if record.Trials > 0 {
		since = max(since, record.LastTrialAt)
	}
	return since + delay
}

// BeginTrial records that a quarantined request is let through for the trials-th time. All other
// attempts stay quarantined until the next trial is due.
func (t *Tracker) BeginTrial(now time.Duration, fingerprint Fingerprint, trials int) {
	if record := t.records[fingerprint]; record != nil && trials > record.Trials {
		record.Trials, record.LastTrialAt = trials, now
	}
}

// Release lifts the quarantine of a request, since its row was removed from the store. Crashes from
// now on count at once, without the grace period that follows an answer. It reports whether any
// crashes counted against the request.
func (t *Tracker) Release(now time.Duration, fingerprint Fingerprint) bool {
	record := t.records[fingerprint]
	if record == nil || t.crashCount(record) == 0 {
		return false
	}
	record.Answered, record.AnsweredAt = true, now-t.options.GracePeriod
	return true
}

// Record returns a copy of the record of a request; false if there is none.
func (t *Tracker) Record(fingerprint Fingerprint) (Record, bool) {
	record := t.records[fingerprint]
	if record == nil {
		return Record{}, false
	}
	return record.clone(), true
}

// RecordsWithCrashes returns copies of the records with at least minCrashes counted crashes, sorted
// by fingerprint.
func (t *Tracker) RecordsWithCrashes(minCrashes int) []Record {
	var found []Record
	for _, record := range t.records {
		if t.crashCount(record) >= minCrashes {
			found = append(found, record.clone())
		}
	}
	slices.SortFunc(found, func(a, b Record) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return found
}

// IsAheadOf reports whether this node has information that another node's record lacks: an answer
// that clears a request which is still suspect there, or a trial. It doesn't compare times: ages
// grow with each message, so nodes would notify each other endlessly.
func (t *Tracker) IsAheadOf(other *Record) bool {
	record := t.records[other.Fingerprint]
	if record == nil {
		return false
	}
	cleared := len(other.countedCrashes(t.options.GracePeriod)) > 0 && t.crashCount(record) == 0
	return cleared || record.Trials > other.Trials
}

// QuarantinedCount returns the number of quarantined requests.
func (t *Tracker) QuarantinedCount() int {
	quarantined := 0
	for _, record := range t.records {
		if t.crashCount(record) >= t.options.Threshold {
			quarantined++
		}
	}
	return quarantined
}

// Threshold returns the number of crashes from which on a request is quarantined.
func (t *Tracker) Threshold() int { return t.options.Threshold }

// Digest returns a hash over the records with at least minCrashes counted crashes, by which nodes
// detect that their records differ. It is 0 without such records and doesn't depend on times.
func (t *Tracker) Digest(minCrashes int) uint64 {
	digest := uint64(0)
	for _, record := range t.records {
		if crashes := t.crashCount(record); crashes >= minCrashes {
			state := min(crashes, t.options.Threshold)*(t.options.MaxTrials+1) + min(record.Trials, t.options.MaxTrials)
			digest ^= mix(binary.BigEndian.Uint64(record.Fingerprint[:]) + uint64(state))
		}
	}
	return digest
}

// mix is the finalizer of SplitMix64.
func mix(number uint64) uint64 {
	number ^= number >> 30
	number *= 0xbf58476d1ce4e5b9
	number ^= number >> 27
	number *= 0x94d049bb133111eb
	return number ^ number>>31
}

// Sweep drops expired records and returns the fingerprints of those that were quarantined.
func (t *Tracker) Sweep(now time.Duration) []Fingerprint {
	var released []Fingerprint
	for fingerprint, record := range t.records {
		quarantined := t.crashCount(record) >= t.options.Threshold
		retention := t.options.SuspectRetention
		if quarantined {
			retention = t.options.QuarantineRetention
		}
		if now < record.lastChange()+retention {
			continue
		}
		delete(t.records, fingerprint)
		if quarantined {
			released = append(released, fingerprint)
		}
	}
	return released
}
