package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Options sets up a Ledger; zero fields take the defaults.
type Options struct {
	// Threshold is the number of workers that must have ended while they ran a request
	// until it is held.
	Threshold int
	// GracePeriod is how long after a whole answer no end of a worker counts against its
	// request.
	GracePeriod time.Duration
	// TrialDelay is how long a request is held after the last end, until it is tried once
	// more. Each trial that ends a worker again multiplies it by HoldGrowth.
	TrialDelay       time.Duration
	TrialDelayFactor int
	// MaxTrials bounds the trials. After these it is held until it is forgotten.
	MaxTrials int
	// QuarantineRetention is how long after the last change a held request is forgotten.
	QuarantineRetention time.Duration
	// SuspectRetention is the same for one that isn't held.
	SuspectRetention time.Duration
	// MaxRecords bounds the requests that are remembered.
	MaxRecords int
}

// Defaults of Options. Figures are those of TestWaysToHold with 20 seeds of a minute each: 7 nodes,
// 18 workers of which one ends by itself each 1.5 s, and three harmful requests.
const (
	// DefaultThreshold is the least number that refuses no harmless request: few are under way
	// at three workers that end.
	DefaultThreshold = 3
	// DefaultGracePeriod is how long a whole answer speaks for a request: without it popular
	// ones of a service whose workers end often would be held.
	DefaultGracePeriod = 10 * time.Second
	// DefaultTrialDelay is long against what a caller waits before it sends again, and short
	// against the time in which people notice that a request is refused.
	DefaultTrialDelay          = 2 * time.Minute
	DefaultTrialDelayFactor    = 5
	DefaultMaxTrials           = 3
	DefaultQuarantineRetention = 24 * time.Hour
	DefaultSuspectRetention    = 30 * time.Minute
	DefaultMaxRecords          = 2048
)

func (o *Options) setDefaults() {
	for _, bound := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{
		{&o.GracePeriod, DefaultGracePeriod}, {&o.TrialDelay, DefaultTrialDelay},
		{&o.QuarantineRetention, DefaultQuarantineRetention}, {&o.SuspectRetention, DefaultSuspectRetention},
	} {
		if *bound.field <= 0 {
			*bound.field = bound.fallback
		}
	}
	for _, bound := range []struct {
		field    *int
		fallback int
	}{
		{&o.Threshold, DefaultThreshold}, {&o.TrialDelayFactor, DefaultTrialDelayFactor},
		{&o.MaxTrials, DefaultMaxTrials}, {&o.MaxRecords, DefaultMaxRecords},
	} {
		if *bound.field <= 0 {
			*bound.field = bound.fallback
		}
	}
}

// Verdict tells whether a request may go to a worker, and why not.
type Verdict struct {
	// Quarantined is set if it may not.
	Quarantined bool
	// TrialDue is set if it is held and may be tried once by whoever gets the store's word
	// that nobody else does.
	TrialDue bool
	// Crashes is the number of workers that ended under it, the first FirstAge ago and the
	// last LastAge ago.
	Crashes           int
	FirstAge, LastAge time.Duration
	// Trials is the number of trials so far.
	Trials int
	// RetryAfter is when it may be tried, or when it is forgotten if it won't be.
	RetryAfter time.Duration
}

// Tracker is what a node knows of requests that were under way at workers which ended. It
// isn't safe for concurrent use.
type Tracker struct {
	options Options
	records map[Fingerprint]*Record
	answers answerCache
}

// NewTracker returns an empty ledger.
func NewTracker(options Options) *Tracker {
	options.setDefaults()
	return &Tracker{options: options, records: make(map[Fingerprint]*Record)}
}

// ObserveAnswer takes in that a request was answered whole, and tells whether others should hear
// of it: ends of workers had been counted against it.
func (l *Tracker) ObserveAnswer(now time.Duration, fingerprint Fingerprint) bool {
	l.answers.add(now, fingerprint)
	record := l.records[fingerprint]
	if record == nil {
		return false
	}
	spoken := len(record.countedCrashes(l.options.GracePeriod)) > 0
	record.Answered, record.AnsweredAt = true, now
	return spoken
}

// ObserveCrash takes in that a worker ended while a request was under way there, and tells whether
// that is news.
func (l *Tracker) ObserveCrash(now time.Duration, fingerprint Fingerprint, worker fleet.EngineID) bool {
	return l.Merge(&Record{Fingerprint: fingerprint, Crashes: []Crash{{Worker: worker, At: now}}})
}

// Merge takes in what another node knows of a request, and tells whether that is news.
func (l *Tracker) Merge(told *Record) bool {
	record := l.records[told.Fingerprint]
	if record == nil {
		record = l.add(told.Fingerprint)
	}
	return record.merge(told)
}

// add begins a record. What this node has seen answered whole speaks for the request.
func (l *Tracker) add(fingerprint Fingerprint) *Record {
	if len(l.records) >= l.options.MaxRecords {
		l.evict()
	}
	record := &Record{Fingerprint: fingerprint}
	record.AnsweredAt, record.Answered = l.answers.last(fingerprint)
	l.records[fingerprint] = record
	return record
}

// evict drops a sixteenth of the records: those with the fewest counted ends, and of these
// the ones that changed the longest ago. A flood of ever new requests that are under way at
// ending workers displaces itself first.
func (l *Tracker) evict() {
	all := make([]*Record, 0, len(l.records))
	for _, record := range l.records {
		all = append(all, record)
	}
	slices.SortFunc(all, func(a, b *Record) int {
		if difference := l.crashCount(a) - l.crashCount(b); difference != 0 {
			return difference
		}
		return int(a.lastChange() - b.lastChange())
	})
	const evictedPart = 16
	for _, record := range all[:max(len(all)/evictedPart, 1)] {
		delete(l.records, record.Fingerprint)
	}
}

func (l *Tracker) crashCount(record *Record) int {
	return len(record.countedCrashes(l.options.GracePeriod))
}

// Check tells whether a request may go to a worker at now.
func (l *Tracker) Check(now time.Duration, fingerprint Fingerprint) Verdict {
	record := l.records[fingerprint]
	if record == nil {
		return Verdict{}
	}
	return l.verdict(now, record)
}

func (l *Tracker) verdict(now time.Duration, record *Record) Verdict {
	counted := record.countedCrashes(l.options.GracePeriod)
	if len(counted) == 0 {
		return Verdict{}
	}
	last := counted[len(counted)-1].At
	verdict := Verdict{
		Quarantined: len(counted) >= l.options.Threshold,
		Crashes:     len(counted),
		FirstAge:    max(now-counted[0].At, 0),
		LastAge:     max(now-last, 0),
		Trials:      record.Trials,
	}
	if !verdict.Quarantined {
		return verdict
	}
	due := l.trialDueAt(record, last)
	if record.Trials >= l.options.MaxTrials {
		due = record.lastChange() + l.options.QuarantineRetention
	}
	verdict.TrialDue = record.Trials < l.options.MaxTrials && now >= due
	verdict.RetryAfter = max(due-now, 0)
	return verdict
}

// trialDueAt returns when a held request may be tried, after the last end or the last trial.
func (l *Tracker) trialDueAt(record *Record, lastEnd time.Duration) time.Duration {
	hold := l.options.TrialDelay
	for range record.Trials {
		hold *= time.Duration(l.options.TrialDelayFactor)
	}
	since := lastEnd
	if record.Trials > 0 {
		since = max(since, record.LastTrialAt)
	}
	return since + hold
}

// BeginTrial takes in that a held request is let through for the given number of times. Until
// the next hold is over it is held from everybody else.
func (l *Tracker) BeginTrial(now time.Duration, fingerprint Fingerprint, trials int) {
	if record := l.records[fingerprint]; record != nil && trials > record.Trials {
		record.Trials, record.LastTrialAt = trials, now
	}
}

// Release takes in that a request isn't to be held any more: its row was removed. Nobody has
// seen it answered, so that workers that end from now on count at once.
func (l *Tracker) Release(now time.Duration, fingerprint Fingerprint) bool {
	record := l.records[fingerprint]
	if record == nil || l.crashCount(record) == 0 {
		return false
	}
	record.Answered, record.AnsweredAt = true, now-l.options.GracePeriod
	return true
}

// Record returns what is known of a request; false if nothing is.
func (l *Tracker) Record(fingerprint Fingerprint) (Record, bool) {
	record := l.records[fingerprint]
	if record == nil {
		return Record{}, false
	}
	return record.clone(), true
}

// RecordsWithCrashes returns the records with so many counted ends at the least, in order of their
// fingerprints.
func (l *Tracker) RecordsWithCrashes(ends int) []Record {
	var found []Record
	for _, record := range l.records {
		if l.crashCount(record) >= ends {
			found = append(found, record.clone())
		}
	}
	slices.SortFunc(found, func(a, b Record) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return found
}

// IsAheadOf tells whether this node knows what another node's record lacks: a whole answer that
// speaks for a request that still counts as suspect there, or a trial. Ages grow a little with
// each message, so that nodes would tell each other without end by the times alone.
func (l *Tracker) IsAheadOf(told *Record) bool {
	record := l.records[told.Fingerprint]
	if record == nil {
		return false
	}
	spoken := len(told.countedCrashes(l.options.GracePeriod)) > 0 && l.crashCount(record) == 0
	return spoken || record.Trials > told.Trials
}

// QuarantinedCount returns the number of requests that are held.
func (l *Tracker) QuarantinedCount() int {
	held := 0
	for _, record := range l.records {
		if l.crashCount(record) >= l.options.Threshold {
			held++
		}
	}
	return held
}

// Threshold returns the number of ends from which on a request is held.
func (l *Tracker) Threshold() int { return l.options.Threshold }

// Digest returns a number that is the same for two ledgers with the same records of so many
// counted ends at the least; 0 if there are none.
func (l *Tracker) Digest(least int) uint64 {
	digest := uint64(0)
	for _, record := range l.records {
		if ends := l.crashCount(record); ends >= least {
			state := min(ends, l.options.Threshold)*(l.options.MaxTrials+1) + min(record.Trials, l.options.MaxTrials)
			digest ^= mix(binary.BigEndian.Uint64(record.Fingerprint[:]) + uint64(state))
		}
	}
	return digest
}

// mix spreads the bits of a number over all of it (the finalizer of SplitMix64).
func mix(number uint64) uint64 {
	number ^= number >> 30
	number *= 0xbf58476d1ce4e5b9
	number ^= number >> 27
	number *= 0x94d049bb133111eb
	return number ^ number>>31
}

// Sweep forgets what is too old, and returns the held requests among it.
func (l *Tracker) Sweep(now time.Duration) []Fingerprint {
	var released []Fingerprint
	for fingerprint, record := range l.records {
		held := l.crashCount(record) >= l.options.Threshold
		keep := l.options.SuspectRetention
		if held {
			keep = l.options.QuarantineRetention
		}
		if now < record.lastChange()+keep {
			continue
		}
		delete(l.records, fingerprint)
		if held {
			released = append(released, fingerprint)
		}
	}
	return released
}
