package quarantine

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Evidence for a part of prompts that crashes workers is a log likelihood ratio, in bits. A run with a
// harmful part crashes its worker at least three times in four, so an answer is two bits against it. A run
// with a sound one is in flight at a crash once in ten times at most, so a crash is three bits for it.
const (
	crashEvidence  = 3
	answerEvidence = 2
	// quarantineEvidence is the evidence from which on a part is quarantined.
	quarantineEvidence = 9
	// releaseEvidence is the evidence down to which a quarantined part stays so. Hysteresis keeps it
	// quarantined if another explanation for one of its crashes appears.
	releaseEvidence = quarantineEvidence - crashEvidence
	// unrelatedEvidence is what a doubling of the crashes without the part adds to both: the more there
	// are, the more of the many sound parts are in flight at several by chance.
	unrelatedEvidence = 2
	// otherServiceEvidence is added if the part is quarantined at another service.
	otherServiceEvidence = 6
	// evidenceFloor is the evidence from which down answers speak for a part no more, so that one that becomes
	// harmful after many answers is found.
	evidenceFloor = -15
	// rivalEvidence is the evidence from which on a part may explain crashes before it is quarantined.
	rivalEvidence = quarantineEvidence + crashEvidence
	// sameCause is the time within which crashes count as one: workers that crash at once have one cause,
	// such as the loss of a rack.
	sameCause = 200 * time.Millisecond
)

// suspect is a part of prompts that was in flight at crashed workers.
type suspect struct {
	record *Record
	// crashes are those that count and that nothing else explains, the earliest first.
	crashes []Crash
	// answers are those to requests with the part since shortly before its first crash, the earliest first.
	answers []PartAnswer
	// priorEvidence is the evidence beside crashes and answers.
	priorEvidence int
	// known are all crashes that this node knows, the earliest first; the suspect's own are among them.
	// ignored are those which something else explains.
	known, ignored []Crash
}

// evidence returns the evidence against the part. Crashes and answers are weighed in the order in which they
// were: other nodes may tell of many crashes at once, between which the part was answered all the time.
func (s *suspect) evidence() int {
	if len(s.crashes) == 0 {
		return 0
	}
	evidence, answers := s.priorEvidence, s.answers
	for crashes := s.crashes; len(crashes) > 0; crashes = crashes[firstCauseSize(crashes):] {
		for ; len(answers) > 0 && answers[0].At < crashes[0].At; answers = answers[1:] {
			evidence = lessAnswer(evidence)
		}
		evidence += crashEvidence
	}
	for range answers {
		evidence = lessAnswer(evidence)
	}
	return evidence
}

// lessAnswer returns the evidence after an answer.
func lessAnswer(evidence int) int {
	if evidence <= evidenceFloor {
		return evidence
	}
	return evidence - answerEvidence
}

// countCauses returns the number of crashes, of which those at the same time count as one.
func countCauses(crashes []Crash) int {
	causes := 0
	for ; len(crashes) > 0; causes++ {
		crashes = crashes[firstCauseSize(crashes):]
	}
	return causes
}

// firstCauseSize returns how many of some crashes were at the same time as the first.
func firstCauseSize(crashes []Crash) int {
	size := 1
	for size < len(crashes) && crashes[size].At < crashes[0].At+sameCause {
		size++
	}
	return size
}

// isHarmful reports whether the evidence suffices for a quarantine.
func (s *suspect) isHarmful() bool {
	required := quarantineEvidence
	if s.record.Quarantined {
		required = releaseEvidence
	}
	if s.evidence() < required {
		return false
	}
	return s.evidence() >= required+unrelatedEvidence*bits.Len(uint(s.unrelatedCauses()))
}

// unrelatedCauses returns the number of crashes between the part's first and last one that have other
// causes.
func (s *suspect) unrelatedCauses() int {
	first, last := s.crashes[0].At, s.crashes[len(s.crashes)-1].At
	from, _ := slices.BinarySearchFunc(s.known, first, func(crash Crash, at time.Duration) int { return cmp.Compare(crash.At, at) })
	var others []Crash
	for _, crash := range s.known[from:] {
		if crash.At > last {
			break
		}
		if !s.hasCrashNear(crash.At) && !containsWorker(s.ignored, crash.Worker) && !containsWorker(s.record.Crashes, crash.Worker) {
			others = append(others, crash)
		}
	}
	return countCauses(others)
}

// hasCrashNear reports whether one of the part's crashes may have the same cause as one at a time.
func (s *suspect) hasCrashNear(at time.Duration) bool {
	return slices.ContainsFunc(s.crashes, func(crash Crash) bool { return (crash.At - at).Abs() < sameCause })
}

// crashedMostly reports whether the crashes of two suspects are the same, or enough of them for a quarantine.
func (s *suspect) crashedMostly(other *suspect) bool {
	shared := s.sharedCrashes(other.crashes)
	if len(shared) == len(s.crashes) && len(shared) == len(other.crashes) {
		return true
	}
	return crashEvidence*countCauses(shared) >= quarantineEvidence
}

// sharedCrashes returns those of the suspect's crashes that are among others.
func (s *suspect) sharedCrashes(others []Crash) []Crash {
	var shared []Crash
	for _, crash := range s.crashes {
		if containsWorker(others, crash.Worker) {
			shared = append(shared, crash)
		}
	}
	return shared
}

// explain removes the crashes that something else explains.
func (s *suspect) explain(explained []Crash) {
	s.crashes = without(s.crashes, explained)
	s.ignored = append(s.ignored, explained...)
}

// without returns the crashes that aren't among others.
func without(crashes, others []Crash) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(crash Crash) bool { return containsWorker(others, crash.Worker) })
}

func containsWorker(crashes []Crash, worker fleet.EngineID) bool {
	return slices.ContainsFunc(crashes, func(crash Crash) bool { return crash.Worker == worker })
}

// findHarmful returns the groups of parts that crash workers. The parts of a group can't be told apart,
// since they were in flight at the same crashes, or at enough of them for a quarantine. A crash has one
// cause: what the strongest suspect explains doesn't count against the others. Where two equally strong
// ones explain crashes of which few are the same, neither is quarantined before the next crash tells them
// apart.
func findHarmful(suspects []*suspect) [][]*suspect {
	var groups [][]*suspect
	for {
		strongest := strongestOf(suspects)
		if strongest == nil {
			return groups
		}
		var group, rivals, others []*suspect
		for _, other := range suspects {
			equal := other.evidence() == strongest.evidence()
			switch {
			case equal && other.crashedMostly(strongest):
				group = append(group, other)
			case equal && !strongest.record.Quarantined && len(other.sharedCrashes(strongest.crashes)) > 0:
				rivals = append(rivals, other)
			default:
				others = append(others, other)
			}
		}
		if len(rivals) == 0 || len(group) > 1 {
			groups = append(groups, group)
		}
		for _, other := range others {
			for _, explaining := range slices.Concat(group, rivals) {
				other.explain(explaining.crashes)
			}
		}
		suspects = others
	}
}

// strongestOf returns the harmful suspect with the most evidence, nil if none is harmful.
func strongestOf(suspects []*suspect) *suspect {
	var strongest *suspect
	for _, candidate := range suspects {
		if !candidate.isHarmful() {
			continue
		}
		if strongest == nil || candidate.isStrongerThan(strongest) {
			strongest = candidate
		}
	}
	return strongest
}

// isStrongerThan compares by evidence. Of equals, one that is quarantined already is the stronger, then the
// fingerprint decides, so that all nodes with the same records agree.
func (s *suspect) isStrongerThan(other *suspect) bool {
	if difference := s.evidence() - other.evidence(); difference != 0 {
		return difference > 0
	}
	if s.record.Quarantined != other.record.Quarantined {
		return s.record.Quarantined
	}
	return slices.Compare(s.record.Fingerprint[:], other.record.Fingerprint[:]) < 0
}

// ignoreRivals has crashes ignored for which others are suspected at least as much: two harmful parts must
// not hide each other.
func (s *suspect) ignoreRivals(suspects []*suspect) {
	if s.evidence() < releaseEvidence {
		return
	}
	for _, other := range suspects {
		if other != s && other.evidence() >= max(s.evidence(), rivalEvidence) {
			s.ignored = append(s.ignored, other.crashes...)
		}
	}
}

// explainByRequest removes the part's crashes if one quarantined request was in flight at all of them. A part
// that was in flight at more is the better explanation of those of the request.
func (s *suspect) explainByRequest(requests []*Record, gracePeriod time.Duration) {
	for _, request := range requests {
		crashes := request.countedCrashes(gracePeriod)
		if len(s.sharedCrashes(crashes)) == len(s.crashes) {
			s.explain(crashes)
			return
		}
	}
}
