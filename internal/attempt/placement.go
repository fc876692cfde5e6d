package attempt

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// requestPlacement asks a router for an engine under a new attempt number.
func (m *Machine) requestPlacement(preferred []fleet.Address, delay time.Duration) {
	m.attempt++
	m.accepted = false
	m.firstTokenReported = false
	m.resumes = 0
	m.cancels = 0
	m.emit(RequestPlacement{
		Operation:          m.nextOperation(PhasePlacing),
		Attempt:            m.attempt,
		Excluded:           slices.Clone(m.excluded),
		ContinuationTokens: len(m.emitted),
		Preferred:          preferred,
		Delay:              delay,
	})
}

// retryPlacement asks another router after one that placed nothing. It does not charge the retry
// budget because no engine has received the attempt. The first retry is sent at once; later ones
// back off.
func (m *Machine) retryPlacement(preferred []fleet.Address) {
	m.placements++
	if m.placements >= m.policy.MaxPlacements {
		m.fail(resultcode.NoRouter, "no router placed the request", 0)
		return
	}
	var delay time.Duration
	if m.placements > 1 {
		delay = m.backoff(m.placements - 2)
	}
	if m.isPastDeadline(m.now + delay) {
		m.fail(resultcode.NoRouter, "no router placed the request before its deadline", 0)
		return
	}
	m.requestPlacement(preferred, delay)
}

func (m *Machine) onGranted(grant Granted) {
	if grant.Attempt != m.attempt {
		m.stats.DroppedEvents++
		m.retryPlacement(nil)
		return
	}
	m.grant = grant
	m.grantOpen = true
	if m.isPastDeadline(m.now) {
		m.onDeadline()
		return
	}
	if grant.ValidUntil > 0 && m.now > grant.ValidUntil {
		m.report(ReportAbandoned, false)
		m.retryPlacement(nil)
		return
	}
	m.dispatch()
}

func (m *Machine) dispatch() {
	m.mayRun = true
	m.placements = 0
	m.stats.Dispatches++
	m.emit(Dispatch{
		Operation:    m.nextOperation(PhaseDispatching),
		Attempt:      m.attempt,
		Run:          m.grant.Run,
		Address:      m.grant.Address,
		Stream:       m.stream(),
		Priority:     m.grant.Priority,
		Continuation: slices.Clone(m.emitted),
	})
}

// retryElsewhere requests another engine if policy, deadline and retry budget allow it. The caller
// must have ended the current attempt by cancelAttempt or markNotRun.
func (m *Machine) retryElsewhere(cause resultcode.Code, reason string) {
	if m.stats.Dispatches >= m.policy.MaxDispatches {
		m.fail(cause, reason, 0)
		return
	}
	delay := m.backoff(m.stats.Dispatches - 1)
	if m.isPastDeadline(m.now + delay) {
		m.fail(cause, reason, 0)
		return
	}
	if !m.budget.Withdraw(m.now) {
		m.fail(resultcode.RetryBudget, reason+"; the retry budget is spent", 0)
		return
	}
	m.stats.Retries++
	m.requestPlacement(nil, delay)
}

// cancelAttempt ends the current attempt as failed: it sends a best-effort cancel if the attempt
// may be running, and excludes the engine run.
func (m *Machine) cancelAttempt(engineLost bool) {
	if m.mayRun {
		m.emit(CancelAndFence{Run: m.grant.Run, Address: m.grant.Address, Stream: m.stream()})
	}
	m.earlierMayHaveRun = m.earlierMayHaveRun || m.mayRun
	m.mayRun = false
	m.exclude(m.grant.Run)
	m.report(ReportFailed, engineLost)
}

// markNotRun ends the current attempt as failed and known not to have run, and excludes the engine
// run.
func (m *Machine) markNotRun(engineLost bool) {
	m.mayRun = false
	m.exclude(m.grant.Run)
	m.report(ReportFailed, engineLost)
}

func (m *Machine) exclude(run fleet.EngineRun) {
	if !slices.Contains(m.excluded, run) {
		m.excluded = append(m.excluded, run)
	}
}

// report sends the router a report on the current grant, if it is still open. Any phase other than
// accepted and first token closes it.
func (m *Machine) report(phase ReportPhase, engineLost bool) {
	if !m.grantOpen {
		return
	}
	m.emit(Report{
		Attempt:      m.grant.Attempt,
		Run:          m.grant.Run,
		Phase:        phase,
		CachedTokens: m.cachedTokens,
		OutputTokens: len(m.emitted),
		EngineLost:   engineLost,
	})
	m.grantOpen = phase == ReportAccepted || phase == ReportFirstToken
}

func (m *Machine) isPastDeadline(when time.Duration) bool {
	return m.request.Deadline > 0 && when >= m.request.Deadline
}

// backoff returns a random delay below a bound that doubles with each try ("full jitter": Brooker,
// "Exponential Backoff And Jitter", AWS 2015).
func (m *Machine) backoff(try int) time.Duration {
	bound := m.policy.BackoffBase
	for range try {
		bound = min(2*bound, m.policy.BackoffMax)
	}
	return time.Duration(m.random.Int64N(int64(bound)))
}
