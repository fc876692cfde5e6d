package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	// minRepeatedCrashes is the number of crashes from which on other nodes are told at once of answers.
	minRepeatedCrashes = 2
	// maxKnownCrashes bounds the crashes that are remembered to tell how common they are.
	maxKnownCrashes = 256
)

// partVerdicts holds which parts are quarantined, as of the records when they last changed.
type partVerdicts struct {
	// candidates holds the records whose evidence might suffice for a quarantine, and those of requests
	// that are quarantined. All others can neither be quarantined nor explain a crash.
	candidates map[Fingerprint]*Record
	// outdated is set if candidates have changed since groups and counts were derived from them.
	outdated bool
	// groups are the quarantined parts; requests with all parts of a group must not be sent.
	groups [][]Fingerprint
	// counts holds the evidence against candidates, in crashes.
	counts map[Fingerprint]int
	// known holds when workers crashed, whatever was in flight there; inOrder are the same crashes, the
	// earliest first, or nil if they have changed.
	known   map[fleet.EngineID]time.Duration
	inOrder []Crash
	// answers counts the answers that were counted for parts.
	answers uint64
	// explained holds the workers whose crashes are explained by what was quarantined and released since, and
	// when that was.
	explained map[fleet.EngineID]time.Duration
}

func newPartVerdicts() partVerdicts {
	return partVerdicts{
		candidates: make(map[Fingerprint]*Record),
		known:      make(map[fleet.EngineID]time.Duration),
		explained:  make(map[fleet.EngineID]time.Duration),
	}
}

func (p *partVerdicts) forget(fingerprint Fingerprint) {
	if p.candidates[fingerprint] != nil {
		delete(p.candidates, fingerprint)
		p.outdated = true
	}
}

// sweep forgets the crashes before a time, and those that were explained before it.
func (p *partVerdicts) sweep(before time.Duration) {
	p.inOrder = nil
	for _, crashes := range []map[fleet.EngineID]time.Duration{p.known, p.explained} {
		maps.DeleteFunc(crashes, func(_ fleet.EngineID, at time.Duration) bool { return at < before })
	}
}

// addKnown remembers crashes, and forgets the earliest ones beyond maxKnownCrashes.
func (p *partVerdicts) addKnown(crashes []Crash) {
	for _, crash := range crashes {
		if at, found := p.known[crash.Worker]; !found || crash.At < at {
			p.known[crash.Worker] = crash.At
			p.inOrder = nil
		}
	}
	for len(p.known) > maxKnownCrashes {
		earliest := fleet.EngineID("")
		for worker, at := range p.known {
			if earliest == "" || at < p.known[earliest] {
				earliest = worker
			}
		}
		delete(p.known, earliest)
	}
}

// knownInOrder returns the known crashes, the earliest first. The result must not be changed.
func (p *partVerdicts) knownInOrder() []Crash {
	if p.inOrder == nil {
		p.inOrder = make([]Crash, 0, len(p.known))
		for worker, at := range p.known {
			p.inOrder = append(p.inOrder, Crash{Worker: worker, At: at})
		}
		slices.SortFunc(p.inOrder, func(a, b Crash) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Worker, b.Worker)) })
	}
	return p.inOrder
}

// recordChanged notes a changed record.
func (t *Tracker) recordChanged(record *Record) {
	t.parts.addKnown(record.Crashes)
	if t.isCandidate(record) {
		t.parts.candidates[record.Fingerprint] = record
		t.parts.outdated = true
		return
	}
	record.Quarantined = false
	t.parts.forget(record.Fingerprint)
}

// isCandidate reports whether a part may be quarantined, or a request explain crashes.
func (t *Tracker) isCandidate(record *Record) bool {
	if !record.Fingerprint.IsPart() {
		return t.isQuarantined(record)
	}
	weighed := t.newSuspect(record)
	return weighed.evidence() >= releaseEvidence
}

// newSuspect returns a part with all crashes that count against it.
func (t *Tracker) newSuspect(record *Record) *suspect {
	weighed := &suspect{record: record, crashes: t.countedCrashes(record)}
	weighed.answers = record.answersFor(weighed.crashes)
	if t.isQuarantinedElsewhere(record.Fingerprint) {
		weighed.priorEvidence = otherServiceEvidence
	}
	return weighed
}

// isQuarantinedElsewhere reports whether a part is quarantined at another service.
func (t *Tracker) isQuarantinedElsewhere(part Fingerprint) bool {
	for _, group := range t.parts.groups {
		if slices.ContainsFunc(group, part.isSamePart) {
			return true
		}
	}
	return false
}

// ObservePartAnswer records that a request with a part was answered completely. It reports whether other
// nodes are to be notified, since several crashes count against the part.
func (t *Tracker) ObservePartAnswer(now time.Duration, part Fingerprint) bool {
	t.partAnswers.add(now, part)
	record := t.records[part]
	if record == nil || len(t.countedCrashes(record)) == 0 {
		return false
	}
	weighed := t.newSuspect(record)
	evidence := weighed.evidence()
	t.countAnswer(now, record)
	if evidence <= evidenceFloor {
		// The answer changes nothing until more crashes are known.
		return false
	}
	t.recordChanged(record)
	return evidence > 0 && countCauses(weighed.crashes) >= minRepeatedCrashes
}

// countAnswer counts an answer to a request with a part.
func (t *Tracker) countAnswer(at time.Duration, record *Record) {
	t.parts.answers++
	record.addAnswer(PartAnswer{Node: t.options.Node, Sequence: t.parts.answers, At: at})
}

// MustShareAnswers reports whether the answers that this node has learnt of a part since an earlier state
// of its record matter to all nodes: they clear the part, or several crashes count against it.
func (t *Tracker) MustShareAnswers(earlier *Record) bool {
	record := t.records[earlier.Fingerprint]
	if record == nil {
		return false
	}
	suspected := t.newSuspect(earlier).evidence() > 0
	return suspected && (record.Releases > earlier.Releases || countCauses(t.countedCrashes(record)) >= minRepeatedCrashes)
}

// IsSuspect reports whether answers don't outweigh the crashes that count against a part, whatever else may
// explain them.
func (t *Tracker) IsSuspect(part Fingerprint) bool {
	record := t.records[part]
	return record != nil && t.newSuspect(record).evidence() > 0
}

// countRecentAnswers adds the answers before a part's first crash that this node remembers.
func (t *Tracker) countRecentAnswers(now time.Duration, record *Record) {
	if !record.Fingerprint.IsPart() {
		return
	}
	for range t.partAnswers.recent(now, record.Fingerprint) {
		t.countAnswer(now, record)
	}
}

// explainedCrashes returns the crashes that a quarantined request or part explains. They must not turn
// against parts once it is released. Of parts that can't be told apart none explains them, and a request
// doesn't explain those of a part that stays quarantined. Groups are as of the last derivation, since
// records of one crash change one after the other.
func (t *Tracker) explainedCrashes(record *Record) []Crash {
	if t.parts.candidates[record.Fingerprint] == nil {
		return nil
	}
	explained := slices.Clone(t.countedCrashes(record))
	if !record.Fingerprint.IsPart() {
		for _, part := range slices.Concat(t.parts.groups...) {
			if held := t.records[part]; held != nil {
				explained = without(explained, held.Crashes)
			}
		}
		return explained
	}
	isSole := func(group []Fingerprint) bool { return len(group) == 1 && group[0] == record.Fingerprint }
	if slices.ContainsFunc(t.parts.groups, isSole) {
		return explained
	}
	return nil
}

// rememberExplained remembers that crashes are explained.
func (t *Tracker) rememberExplained(now time.Duration, crashes []Crash) {
	for _, crash := range crashes {
		t.parts.explained[crash.Worker] = now
	}
}

// CheckRequest returns the verdict on a request by its own record and by those of its prompt's parts.
func (t *Tracker) CheckRequest(now time.Duration, subject *Subject) Verdict {
	verdict := t.Check(now, subject.Request)
	t.deriveParts()
	for _, group := range t.parts.groups {
		if !subject.holdsAll(group) {
			continue
		}
		of := t.Check(now, group[0])
		if verdict.Quarantined {
			// A trial would say nothing of a request that has several reasons to be held.
			verdict.TrialDue = false
			verdict.RetryAfter = max(verdict.RetryAfter, of.RetryAfter)
			continue
		}
		verdict = of
	}
	verdict.Suspected = !verdict.Quarantined && slices.ContainsFunc(subject.Parts, t.isSuspected)
	return verdict
}

// isSuspected reports whether a part was in flight at crashes that nothing else explains and no request
// with it was answered since.
func (t *Tracker) isSuspected(part Fingerprint) bool {
	record := t.records[part]
	return record != nil && len(t.newSuspect(record).answers) == 0 && t.crashCount(record) > 0
}

// QuarantinedParts returns the groups of quarantined parts. A request is quarantined if its prompt holds
// all parts of a group. The result must not be changed.
func (t *Tracker) QuarantinedParts() [][]Fingerprint {
	t.deriveParts()
	return t.parts.groups
}

func (t *Tracker) isPartQuarantined(part Fingerprint) bool {
	return slices.ContainsFunc(t.QuarantinedParts(), func(group []Fingerprint) bool { return slices.Contains(group, part) })
}

// partCrashCount returns the evidence against a part, in crashes.
func (t *Tracker) partCrashCount(record *Record) int {
	t.deriveParts()
	if count, found := t.parts.counts[record.Fingerprint]; found {
		return count
	}
	return max(t.newSuspect(record).evidence(), 0) / crashEvidence
}

// deriveParts finds the quarantined parts if records have changed.
func (t *Tracker) deriveParts() {
	if !t.parts.outdated {
		return
	}
	t.parts.outdated = false
	suspects := t.suspects()
	groups := findHarmful(suspects)
	t.parts.counts = make(map[Fingerprint]int, len(suspects))
	for _, weighed := range suspects {
		weighed.record.Quarantined = false
		t.parts.counts[weighed.record.Fingerprint] = max(weighed.evidence(), 0) / crashEvidence
	}
	before := t.parts.groups
	t.parts.groups = nil
	for _, group := range groups {
		var parts []Fingerprint
		for _, harmful := range group {
			harmful.record.Quarantined = true
			parts = append(parts, harmful.record.Fingerprint)
		}
		slices.SortFunc(parts, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
		t.parts.groups = append(t.parts.groups, parts)
	}
	t.weighElsewhere(before)
}

// weighElsewhere looks again at the parts that are quarantined at one service, unlike before, and were in
// flight at crashes of others.
func (t *Tracker) weighElsewhere(before [][]Fingerprint) {
	began := make(map[partID]bool)
	for _, part := range slices.Concat(t.parts.groups...) {
		if !slices.ContainsFunc(before, func(group []Fingerprint) bool { return slices.Contains(group, part) }) {
			began[part.partID()] = true
		}
	}
	if len(began) == 0 {
		return
	}
	for fingerprint, record := range t.records {
		if began[fingerprint.partID()] && len(t.countedCrashes(record)) > 0 && t.isQuarantinedElsewhere(fingerprint) {
			t.recordChanged(record)
		}
	}
}

// suspects returns the candidates that are parts, with the crashes that no request explains.
func (t *Tracker) suspects() []*suspect {
	var requests []*Record
	var suspects []*suspect
	for _, record := range t.parts.candidates {
		if record.Fingerprint.IsPart() {
			suspects = append(suspects, t.newSuspect(record))
		} else {
			requests = append(requests, record)
		}
	}
	for _, weighed := range suspects {
		weighed.known = t.parts.knownInOrder()
		weighed.crashes = slices.DeleteFunc(slices.Clone(weighed.crashes), func(crash Crash) bool {
			_, explained := t.parts.explained[crash.Worker]
			return explained
		})
		weighed.explainByRequest(requests, t.options.GracePeriod)
	}
	for _, weighed := range suspects {
		weighed.ignoreRivals(suspects)
	}
	return suspects
}
