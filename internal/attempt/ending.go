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

// fail ends the request with an error at once: a request that has been given up
// gains nothing by waiting.
func (m *Machine) fail(code resultcode.Code, reason string, retryAfter time.Duration) {
	m.phase = PhaseFinished
	code = m.truthful(code)
	entry := resultcode.Lookup(code)
	if !entry.NotRun && !m.request.Repeatable {
		retryAfter = 0 // coming back could run it twice
	} else if retryAfter <= 0 && entry.Status >= statusRetryable {
		retryAfter = m.policy.RetryAfter + time.Duration(m.random.Int64N(int64(m.policy.RetryAfter)))
	}
	m.emit(Fail{Code: code, Reason: reason, RetryAfter: retryAfter})
}

// statusRetryable is the lowest HTTP status whose answer tells when to come back.
const statusRetryable = 429

// truthful replaces a code that says "not run" when that isn't certain, and one
// that hides that the caller has a part of the output.
func (m *Machine) truthful(code resultcode.Code) resultcode.Code {
	if code == resultcode.DeadlineExceeded {
		return code
	}
	if len(m.emitted) > 0 {
		return resultcode.StreamInterrupted
	}
	if m.certainlyNotRun() || !resultcode.Lookup(code).NotRun {
		return code
	}
	if !m.request.Repeatable {
		return resultcode.OutcomeUnknown
	}
	return resultcode.EngineFailed
}

func (m *Machine) certainlyNotRun() bool { return !m.mayRun && !m.mayHaveRun }

func (m *Machine) onCallerGone() {
	m.withdraw()
	m.phase = PhaseFinished
	m.emit(Abort{})
}

func (m *Machine) onDeadline() {
	m.withdraw()
	if m.certainlyNotRun() {
		m.fail(resultcode.QueueTimeout, "deadline passed before an engine took the request", 0)
		return
	}
	m.fail(resultcode.DeadlineExceeded, "deadline passed", 0)
}

// onStopping relies on truthful for a request that may have run.
func (m *Machine) onStopping() {
	m.withdraw()
	m.fail(resultcode.Stopping, "agent is stopping", 0)
}

// withdraw ends the present attempt because its request ends.
func (m *Machine) withdraw() {
	if m.mayRun {
		m.leave(false)
		return
	}
	m.report(ReportAbandoned, false)
}
