package attempt

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/resultcode"
)

func (m *Machine) finish(action Finish) {
	m.mayRun = false
	m.phase = PhaseFinished
	m.emit(action)
}

// fail ends the request with an error.
func (m *Machine) fail(code resultcode.Code, reason string, retryAfter time.Duration) {
	m.phase = PhaseFinished
	code = m.accurateCode(code)
	entry := resultcode.Lookup(code)
	if !entry.NotRun && !m.request.Repeatable {
		retryAfter = 0 // a retry could run it twice
	} else if retryAfter <= 0 && entry.Status >= minRetryableStatus {
		retryAfter = m.policy.RetryAfter + time.Duration(m.random.Int64N(int64(m.policy.RetryAfter)))
	}
	m.emit(Fail{Code: code, Reason: reason, RetryAfter: retryAfter})
}

// minRetryableStatus is the lowest HTTP status that carries a Retry-After.
const minRetryableStatus = 429

// accurateCode replaces a code that says "not run" if the request may have run, and any code but an
// exceeded deadline if the caller already has part of the output.
func (m *Machine) accurateCode(code resultcode.Code) resultcode.Code {
	if code == resultcode.DeadlineExceeded {
		return code
	}
	if len(m.emitted) > 0 {
		return resultcode.StreamInterrupted
	}
	if m.isKnownNotRun() || !resultcode.Lookup(code).NotRun {
		return code
	}
	if !m.request.Repeatable {
		return resultcode.OutcomeUnknown
	}
	return resultcode.EngineFailed
}

func (m *Machine) isKnownNotRun() bool { return !m.mayRun && !m.earlierMayHaveRun }

func (m *Machine) onCallerGone() {
	m.releaseAttempt()
	m.phase = PhaseFinished
	m.emit(Abort{})
}

func (m *Machine) onDeadline() {
	m.releaseAttempt()
	if m.isKnownNotRun() {
		m.fail(resultcode.QueueTimeout, "deadline passed before an engine took the request", 0)
		return
	}
	m.fail(resultcode.DeadlineExceeded, "deadline passed", 0)
}

// onStopping relies on accurateCode for a request that may have run.
func (m *Machine) onStopping() {
	m.releaseAttempt()
	m.fail(resultcode.Stopping, "agent is stopping", 0)
}

// releaseAttempt ends the current attempt because the request ends.
func (m *Machine) releaseAttempt() {
	if m.mayRun {
		m.cancelAttempt(false)
		return
	}
	m.report(ReportAbandoned, false)
}
