package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Verdict is the state of a request or a part: whether it may be sent to a worker, and if not, why.
type Verdict struct {
	// Fingerprint is that of the request, or of the part, which decides.
	Fingerprint Fingerprint
	// Quarantined is set if the request must not be sent to a worker.
	Quarantined bool
	// Suspected is set if the request isn't quarantined, but its prompt holds a part that was in flight
	// at a crash, and no request with it was answered. It may run at one worker only.
	Suspected bool
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

// Tracker holds a node's records of requests, and of parts of prompts, that were in flight at crashed
// workers. It isn't safe for concurrent use.
type Tracker struct {
	options     Options
	records     map[Fingerprint]*Record
	answers     answerCache
	partAnswers partAnswerCache
	parts       partVerdicts
}

// NewTracker returns an empty tracker.
func NewTracker(options Options) *Tracker {
	options.setDefaults()
	return &Tracker{options: options, records: make(map[Fingerprint]*Record), parts: newPartVerdicts()}
}

// ObserveAnswer records that a request was answered completely. It reports whether crashes counted
// against the request until now, in which case other nodes are to be notified.
func (t *Tracker) ObserveAnswer(now time.Duration, fingerprint Fingerprint) bool {
	t.answers.add(now, fingerprint)
	record := t.records[fingerprint]
	if record == nil {
		return false
	}
	suspected := len(t.countedCrashes(record)) > 0
	t.rememberExplained(now, t.explainedCrashes(record))
	record.Answered, record.AnsweredAt = true, now
	t.recordChanged(record)
	return suspected
}

// countedCrashes returns the crashes that count against a request or a part.
func (t *Tracker) countedCrashes(record *Record) []Crash {
	return record.countedCrashes(t.gracePeriod(record))
}

func (t *Tracker) gracePeriod(record *Record) time.Duration {
	if record.Fingerprint.IsPart() {
		return 0 // its answers are counted
	}
	return t.options.GracePeriod
}

// ObserveCrash records that a worker crashed while a request was in flight there. It reports
// whether the record has changed.
func (t *Tracker) ObserveCrash(now time.Duration, fingerprint Fingerprint, worker fleet.EngineID) bool {
	return t.Merge(now, &Record{Fingerprint: fingerprint, Crashes: []Crash{{Worker: worker, At: now}}})
}

// Merge merges another node's record and reports whether this node's record has changed.
func (t *Tracker) Merge(now time.Duration, other *Record) bool {
	record := t.records[other.Fingerprint]
	if record == nil {
		record = t.add(other.Fingerprint)
	}
	wasSuspected := len(t.countedCrashes(record)) > 0
	explained := t.explainedCrashes(record)
	changed := record.merge(other)
	if !wasSuspected {
		t.countRecentAnswers(now, record)
	}
	if len(t.countedCrashes(record)) == 0 {
		t.rememberExplained(now, explained)
	}
	t.recordChanged(record)
	return changed
}

// add creates a record, with the answers that this node remembers.
func (t *Tracker) add(fingerprint Fingerprint) *Record {
	if len(t.records) >= t.options.MaxRecords {
		t.evict()
	}
	record := &Record{Fingerprint: fingerprint}
	if !fingerprint.IsPart() {
		record.AnsweredAt, record.Answered = t.answers.last(fingerprint)
	}
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
		t.drop(record.Fingerprint)
	}
}

// drop forgets a record.
func (t *Tracker) drop(fingerprint Fingerprint) {
	delete(t.records, fingerprint)
	t.parts.forget(fingerprint)
}

// crashCount returns the number of crashes against a request. For a part it is the evidence that answers
// and other explanations leave, in crashes.
func (t *Tracker) crashCount(record *Record) int {
	if record.Fingerprint.IsPart() {
		return t.partCrashCount(record)
	}
	return len(t.countedCrashes(record))
}

// isQuarantined reports whether a request or a part is quarantined.
func (t *Tracker) isQuarantined(record *Record) bool {
	if record.Fingerprint.IsPart() {
		return t.isPartQuarantined(record.Fingerprint)
	}
	return t.crashCount(record) >= t.options.Threshold
}

// Check returns the verdict on a request, or on a part, at now.
func (t *Tracker) Check(now time.Duration, fingerprint Fingerprint) Verdict {
	record := t.records[fingerprint]
	if record == nil {
		return Verdict{}
	}
	return t.verdict(now, record)
}

func (t *Tracker) verdict(now time.Duration, record *Record) Verdict {
	counted := t.countedCrashes(record)
	count := t.crashCount(record)
	if len(counted) == 0 || count == 0 {
		return Verdict{}
	}
	last := counted[len(counted)-1].At
	verdict := Verdict{
		Fingerprint: record.Fingerprint,
		Quarantined: t.isQuarantined(record),
		Crashes:     count,
		FirstAge:    max(now-counted[0].At, 0),
		LastAge:     max(now-last, 0),
		Trials:      record.Trials,
	}
	if !verdict.Quarantined {
		return verdict
	}
	trials := t.trialPolicy(record)
	if !trials.allowsAnother(record) {
		verdict.RetryAfter = max(record.lastChange()+t.options.QuarantineRetention-now, 0)
		return verdict
	}
	due := trials.dueAt(record, last)
	verdict.TrialDue = now >= due
	verdict.RetryAfter = max(due-now, 0)
	return verdict
}

func (t *Tracker) trialPolicy(record *Record) *TrialPolicy {
	if record.Fingerprint.IsPart() {
		return &t.options.PartTrials
	}
	return &t.options.RequestTrials
}

// BeginTrial records that a quarantined request is let through for the trials-th time. All other
// attempts stay quarantined until the next trial is due.
func (t *Tracker) BeginTrial(now time.Duration, fingerprint Fingerprint, trials int) {
	if record := t.records[fingerprint]; record != nil && trials > record.Trials {
		record.Trials, record.LastTrialAt = trials, now
	}
}

// Release lifts the quarantine of a request or a part, since its trial was answered or its row removed
// from the store. Crashes from now on count at once, without the grace period that follows an answer.
// It reports whether any crashes counted against it.
func (t *Tracker) Release(now time.Duration, fingerprint Fingerprint) bool {
	record := t.records[fingerprint]
	if record == nil || t.crashCount(record) == 0 {
		return false
	}
	released := now - t.gracePeriod(record)
	t.rememberExplained(now, t.explainedCrashes(record))
	if fingerprint.IsPart() {
		record.release(released)
	} else {
		record.Answered, record.AnsweredAt = true, released
	}
	t.recordChanged(record)
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
// that clears a request which is still suspect there, answers that speak for a part, or a trial. It
// doesn't compare times: ages grow with each message, so nodes would notify each other endlessly.
func (t *Tracker) IsAheadOf(other *Record) bool {
	record := t.records[other.Fingerprint]
	if record == nil {
		return false
	}
	if other.Fingerprint.IsPart() {
		// Nodes that keep different answers must not tell each other of them endlessly.
		theirs, own := t.newSuspect(other).evidence(), t.newSuspect(record).evidence()
		return (theirs > 0 && own < theirs) || record.Trials > other.Trials
	}
	suspected := len(t.countedCrashes(other)) > 0
	return (suspected && t.crashCount(record) == 0) || record.Trials > other.Trials
}

// QuarantinedCount returns the number of quarantined requests.
func (t *Tracker) QuarantinedCount() int {
	quarantined := 0
	for _, record := range t.records {
		if t.isQuarantined(record) {
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
			maxTrials := t.options.RequestTrials.Max
			state := min(crashes, t.options.Threshold)*(maxTrials+1) + min(record.Trials, maxTrials)
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
	t.parts.sweep(now - t.options.SuspectRetention)
	var released []Fingerprint
	for fingerprint, record := range t.records {
		quarantined := t.isQuarantined(record)
		retention := t.options.SuspectRetention
		if quarantined {
			retention = t.options.QuarantineRetention
		}
		if now < record.lastChange()+retention {
			continue
		}
		t.drop(fingerprint)
		if quarantined {
			released = append(released, fingerprint)
		}
	}
	return released
}
