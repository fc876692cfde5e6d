// Package liveness is a failure detector for engines: it finds those that have fallen silent while
// requests are under way there, and names the requests to send elsewhere.
//
// An engine is suspected once nothing at all has come from it within what the predicted time of its
// requests explains. It is then probed, and counts as silent if the probe isn't answered while other
// engines are heard. If most engines are late together, the cause is this node or its link, and all
// evidence is discarded.
//
// The package has no I/O, no goroutines and no clock: callers pass in the monotonic time. Its types
// are not safe for concurrent use.
package liveness

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Parameters of the detector. A caller is served well up to half a second after its objective, so
// suspicion and probe together may take less than that.
const (
	// suspicionFloor and suspicionCeiling bound the time without any sign after which an engine is
	// suspected. Beyond the ceiling a probe costs less than the wait.
	suspicionFloor   = 200 * time.Millisecond
	suspicionCeiling = 300 * time.Millisecond
	// suspicionFactor is the number of expected intervals after which an engine is suspected.
	suspicionFactor = 3
	// ProbeTimeout is how long an engine has to answer a probe, which takes no slot there.
	ProbeTimeout = 200 * time.Millisecond
	// maxPatience bounds the factor that doubles with each answered probe, so that an engine with a
	// long queue isn't probed again and again.
	maxPatience = 4
	// lateFloor and lateFactor define when an engine is late. They are below those of suspicion, so
	// that a common cause shows at most engines before one of them is suspected.
	lateFloor   = suspicionFloor / 2
	lateCeiling = suspicionCeiling / 2
	lateFactor  = 1.5
	// MaxEvaluationInterval is the longest time between two evaluations. After a longer one this
	// process was paused, and signs may wait unread.
	MaxEvaluationInterval = 150 * time.Millisecond
	// corroboratedProbes is the number of consecutive unanswered probes that prove an engine silent
	// while most others are late, if others were heard during each.
	corroboratedProbes = 2
	// gapWeight is the weight of one interval between events in their moving average.
	gapWeight = 0.05
	// firstMoves is the number of requests that are moved at once from an engine that has just
	// fallen silent. The number doubles with each evaluation up to maxMoves.
	firstMoves = 2
	maxMoves   = 1 << 10
)

// Monitor watches the requests under way at engines. Its state is bounded by their number.
type Monitor struct {
	engines map[fleet.EngineID]*engine
	runs    int
	// begun counts the requests so far, to order them.
	begun uint64
	// typicalGap is the moving average of the interval between a stream's events.
	typicalGap  time.Duration
	evaluatedAt time.Duration
	// excusedAt is until when silence has another cause than the engines.
	excusedAt time.Duration
	contacts  contacts
}

// New returns a monitor without requests.
func New() *Monitor { return &Monitor{engines: make(map[fleet.EngineID]*engine)} }

// Silence is the verdict that an engine is silent.
type Silence struct {
	Engine fleet.EngineID
	// Since is when the engine was last heard, or when its first request under way was sent.
	Since time.Duration
	// UnderWay is the number of requests under way there.
	UnderWay int
	// Explained is the time without a sign that its requests would have explained.
	Explained time.Duration
}

// Verdict is the result of an evaluation.
type Verdict struct {
	// Probes are the engines to be probed now.
	Probes []fleet.EngineID
	// Silences are the engines found silent now, and silent ones where a later request got no sign
	// either.
	Silences []Silence
	// Moves are the requests to send elsewhere. A request is named until Moved or End is called.
	Moves []*Run
}

// Runs returns the number of requests under way.
func (m *Monitor) Runs() int { return m.runs }

// Begin records that a request is sent to an engine.
func (m *Monitor) Begin(now time.Duration, send Send) *Run {
	if m.runs == 0 {
		m.evaluatedAt = now
	}
	m.runs++
	target := m.engines[send.Engine]
	if target == nil {
		target = newEngine(send.Engine)
		m.engines[send.Engine] = target
	}
	m.begun++
	run := &Run{send: send, engine: target, number: m.begun, sentAt: now, lastEvent: now}
	target.runs[run] = struct{}{}
	return run
}

// Head records that the head of an answer has arrived.
func (m *Monitor) Head(now time.Duration, run *Run) {
	m.contacts.add(now, run.send.Engine)
	run.engine.heardFromRun(now)
}

// Event records an event of a stream. identified is set if the stream can be resumed after it.
func (m *Monitor) Event(now time.Duration, run *Run, identified bool) {
	m.Head(now, run)
	if run.begun {
		gap := now - run.lastEvent
		run.longestGap = max(run.longestGap, gap)
		m.recordGap(gap)
	}
	run.begun, run.identified, run.lastEvent = true, identified, now
}

func (m *Monitor) recordGap(gap time.Duration) {
	if m.typicalGap == 0 {
		m.typicalGap = gap
		return
	}
	m.typicalGap += time.Duration(gapWeight * float64(gap-m.typicalGap))
}

// Heard records a sign of life from an engine other than an answer: an answered probe or poll.
func (m *Monitor) Heard(now time.Duration, id fleet.EngineID) {
	m.contacts.add(now, id)
	if target := m.engines[id]; target != nil {
		target.heardOtherwise(now)
	}
}

// HeardSince reports whether anything has come since a time from an engine with requests under way.
func (m *Monitor) HeardSince(id fleet.EngineID, since time.Duration) bool {
	target := m.engines[id]
	return target != nil && target.lastSign > 0 && target.lastSign >= since
}

// PeerHeard records that another node has answered this one.
func (m *Monitor) PeerHeard(now time.Duration) { m.contacts.peerAt = now }

// PeerSuspects records that another node has found an engine silent.
func (m *Monitor) PeerSuspects(id fleet.EngineID) {
	if target := m.engines[id]; target != nil {
		target.peerSuspected = true
	}
}

// MayMove reports whether a request named in Verdict.Moves is still to be sent elsewhere: its engine
// may have been heard since.
func (m *Monitor) MayMove(now time.Duration, run *Run) bool {
	return run.engine.silent && m.mayMove(now, run)
}

// Moved records that a request named in Verdict.Moves is sent elsewhere. Call End once it has ended
// at its first engine, or Stay if it goes on there.
func (m *Monitor) Moved(run *Run) { run.moved = true }

// Stay records that a moved request goes on at its engine after all. It may be moved again at movableAt.
func (m *Monitor) Stay(run *Run, movableAt time.Duration) {
	run.moved, run.movableAt = false, movableAt
}

// IsSilent reports whether nothing has come from a request's engine since it was found silent.
func (m *Monitor) IsSilent(run *Run) bool { return run.engine.silent }

// End records that a request has ended at its engine.
func (m *Monitor) End(run *Run) {
	if _, present := run.engine.runs[run]; !present {
		return
	}
	m.runs--
	delete(run.engine.runs, run)
	if len(run.engine.runs) == 0 {
		delete(m.engines, run.send.Engine)
	}
}

// Evaluate returns what is to be done now. Call it at least each MaxEvaluationInterval while
// requests are under way.
func (m *Monitor) Evaluate(now time.Duration) Verdict {
	paused := now-m.evaluatedAt > MaxEvaluationInterval
	m.evaluatedAt = now
	if paused {
		m.excuse(now)
		return Verdict{}
	}
	verdict := Verdict{}
	late, heard := m.countLateAndHeard(now)
	for _, id := range slices.Sorted(maps.Keys(m.engines)) {
		target := m.engines[id]
		switch {
		case target.silent:
			m.addFailedTrials(now, target, &verdict)
		case !m.isSuspect(now, target):
			target.clearSuspicion()
		case !target.probing:
			target.startProbe(now)
			verdict.Probes = append(verdict.Probes, id)
		case now < target.probedAt+ProbeTimeout:
		case late <= heard:
			verdict.Silences = append(verdict.Silences, m.markSilent(now, target))
		case !m.isCorroborated(target, late):
			m.excuse(now)
			return verdict
		case target.unansweredProbes+1 < corroboratedProbes:
			target.unansweredProbes++
			target.startProbe(now)
			verdict.Probes = append(verdict.Probes, id)
		default:
			verdict.Silences = append(verdict.Silences, m.markSilent(now, target))
		}
	}
	m.addMoves(now, &verdict)
	return verdict
}

// countLateAndHeard returns the numbers of engines in use that are late and that were heard of late,
// without those known to be silent.
func (m *Monitor) countLateAndHeard(now time.Duration) (late, heard int) {
	for _, target := range m.engines {
		switch {
		case target.silent:
		case m.isLate(now, target):
			late++
		case target.lastSign > 0 && now < target.lastSign+suspicionFloor:
			heard++
		}
	}
	return late, heard
}

// isCorroborated reports whether another engine was heard during the current probe. A peer counts
// only if the engine is the only late one: a node may have lost its link to all engines alone.
func (m *Monitor) isCorroborated(target *engine, late int) bool {
	if m.contacts.otherEngineSince(target.id, target.probedAt) {
		return true
	}
	return late <= 1 && m.contacts.peerAt >= target.probedAt
}

// excuse discards all evidence: what came late had a cause that isn't the engines'.
func (m *Monitor) excuse(now time.Duration) {
	m.excusedAt = now
	for _, target := range m.engines {
		target.clearSuspicion()
	}
}

// isSuspect reports whether an engine is to be probed: a request there is overdue, or the engine is
// late and a peer has found it silent.
func (m *Monitor) isSuspect(now time.Duration, target *engine) bool {
	for run := range target.runs {
		if m.isOverdue(now, run) {
			return true
		}
	}
	return target.peerSuspected && m.isLate(now, target)
}

func (m *Monitor) isLate(now time.Duration, target *engine) bool {
	for run := range target.runs {
		expected := m.expected(run)
		allowed := min(max(time.Duration(lateFactor*float64(expected)), lateFloor), lateCeiling)
		if expected > 0 && m.silenceOf(now, run) >= allowed {
			return true
		}
	}
	return false
}

// isOverdue reports whether a request's engine has been quiet for longer than the request explains.
func (m *Monitor) isOverdue(now time.Duration, run *Run) bool {
	explained := m.explained(run)
	return explained > 0 && m.silenceOf(now, run) >= explained
}

// silenceOf returns for how long a request has waited while nothing came from its engine.
func (m *Monitor) silenceOf(now time.Duration, run *Run) time.Duration {
	return now - max(run.lastEvent, run.engine.lastSign, m.excusedAt)
}

// explained returns the time without a sign that a request explains, 0 if no time is known.
func (m *Monitor) explained(run *Run) time.Duration {
	expected := m.expected(run)
	if expected == 0 {
		return 0
	}
	return time.Duration(run.engine.patience) * min(max(suspicionFactor*expected, suspicionFloor), suspicionCeiling)
}

// expected returns the expected time from a request's start or last event to its next event, 0 if
// unknown.
func (m *Monitor) expected(run *Run) time.Duration {
	if !run.begun {
		return run.send.Expected
	}
	return max(m.typicalGap, run.longestGap)
}

func (m *Monitor) markSilent(now time.Duration, target *engine) Silence {
	target.silent, target.silentAt, target.moves = true, now, firstMoves
	return m.silence(target)
}

func (m *Monitor) silence(target *engine) Silence {
	silence := Silence{Engine: target.id, Since: target.lastSign, UnderWay: len(target.runs)}
	for run := range target.runs {
		if explained := m.explained(run); explained > 0 && (silence.Explained == 0 || explained < silence.Explained) {
			silence.Explained = explained
		}
		if target.lastSign == 0 && (silence.Since == 0 || run.sentAt < silence.Since) {
			silence.Since = run.sentAt
		}
	}
	return silence
}

// addFailedTrials names a silent engine again if a request that was sent there later got no sign.
func (m *Monitor) addFailedTrials(now time.Duration, target *engine, verdict *Verdict) {
	failed := false
	for run := range target.runs {
		if run.sentAt > target.silentAt && !run.trialFailed && m.isOverdue(now, run) {
			run.trialFailed, failed = true, true
		}
	}
	if failed {
		verdict.Silences = append(verdict.Silences, m.silence(target))
	}
}

// addMoves names requests at silent engines, first those that can still meet their target.
func (m *Monitor) addMoves(now time.Duration, verdict *Verdict) {
	for _, id := range slices.Sorted(maps.Keys(m.engines)) {
		target := m.engines[id]
		if !target.silent {
			continue
		}
		var moves []*Run
		for run := range target.runs {
			if m.mayMove(now, run) {
				moves = append(moves, run)
			}
		}
		slices.SortFunc(moves, func(a, b *Run) int {
			return cmp.Or(cmp.Compare(a.targetClass(now), b.targetClass(now)), cmp.Compare(a.number, b.number))
		})
		verdict.Moves = append(verdict.Moves, moves[:min(len(moves), target.moves)]...)
		target.moves = min(2*target.moves, maxMoves)
	}
}

// mayMove reports whether a request at a silent engine is to be sent elsewhere.
func (m *Monitor) mayMove(now time.Duration, run *Run) bool {
	switch {
	case run.moved, now < run.movableAt, now+run.send.Expected >= run.send.Deadline:
		return false
	case run.sentAt > run.engine.silentAt && !m.isOverdue(now, run):
		return false
	case run.begun:
		return run.send.Resumable && run.identified && now-run.lastEvent >= resumeFactor*run.send.Gap
	default:
		return run.send.Repeatable
	}
}
