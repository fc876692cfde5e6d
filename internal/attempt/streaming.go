package attempt

import (
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

func (m *Machine) onDispatchRejected(event DispatchRejected) {
	if !isRejectedBeforeRun(event.Code) {
		m.onDispatchUnknown(false)
		return
	}
	reason := "engine: " + event.Message
	switch event.Code {
	case engine.ErrorBadRequest:
		m.markNotRun(false)
		m.fail(resultcode.InvalidParameter, reason, 0)
	case engine.ErrorOverloaded:
		m.onNotDispatched(resultcode.Overloaded, reason, false)
	case engine.ErrorVersionNotLoaded:
		m.onNotDispatched(resultcode.StaleWeights, reason, false)
	default:
		m.onNotDispatched(resultcode.NoEngine, reason, event.Code == engine.ErrorWrongIncarnation)
	}
}

func (m *Machine) onNotDispatched(cause resultcode.Code, reason string, engineLost bool) {
	m.markNotRun(engineLost)
	m.retryElsewhere(cause, reason)
}

// onDispatchUnknown resumes a dispatch that may have taken effect. A repeatable request whose
// engine timed out is retried on another engine instead.
func (m *Machine) onDispatchUnknown(timedOut bool) {
	if m.request.Repeatable && timedOut {
		m.cancelAttempt(false)
		m.retryElsewhere(resultcode.EngineFailed, "dispatch failed")
		return
	}
	m.resume()
}

func (m *Machine) onFrame(frame engine.Frame) {
	if frame.Stream != m.stream() {
		m.stats.DroppedEvents++
		return
	}
	if m.phase != PhaseStreaming {
		m.phase = PhaseStreaming
	}
	switch frame.Kind {
	case engine.FrameAccepted:
		m.onAccepted(frame)
	case engine.FrameToken:
		m.onToken(frame)
	case engine.FrameDone:
		m.onDone(frame)
	case engine.FrameError:
		m.onStreamError(frame)
	}
}

func (m *Machine) onAccepted(frame engine.Frame) {
	m.promptTokens = frame.PromptTokens
	m.cachedTokens = frame.CachedTokens
	if m.accepted {
		return
	}
	m.accepted = true
	m.report(ReportAccepted, false)
}

func (m *Machine) onToken(frame engine.Frame) {
	m.accepted = true
	switch {
	case frame.Index < len(m.emitted):
		m.stats.DroppedEvents++
		return
	case frame.Index > len(m.emitted):
		m.resume()
		return
	}
	m.emitted = append(m.emitted, frame.Text)
	m.resumes = 0
	m.emit(EmitToken{Index: frame.Index, Text: frame.Text})
	if !m.firstTokenReported {
		m.firstTokenReported = true
		m.report(ReportFirstToken, false)
	}
}

func (m *Machine) onDone(frame engine.Frame) {
	m.accepted = true
	if frame.Count != len(m.emitted) {
		m.resume()
		return
	}
	m.promptTokens = frame.PromptTokens
	m.cachedTokens = frame.CachedTokens
	m.report(ReportFinished, false)
	m.finish(Finish{
		Reason:       frame.FinishReason,
		PromptTokens: m.promptTokens,
		CachedTokens: m.cachedTokens,
		OutputTokens: len(m.emitted),
	})
}

// onStreamError handles an error frame, by which the engine ends the stream.
func (m *Machine) onStreamError(frame engine.Frame) {
	m.accepted = true
	m.cancelAttempt(false)
	m.continueOrFail("engine: " + frame.Message)
}

// resume reads the stream again at the same engine run. Nothing runs or is computed twice.
func (m *Machine) resume() {
	if m.resumes >= m.policy.MaxResumes {
		m.onResumesExhausted()
		return
	}
	delay := m.backoff(m.resumes)
	if m.resumes == 0 {
		delay = 0
	}
	m.resumes++
	m.stats.Resumes++
	m.emit(Resume{
		Operation: m.nextOperation(PhaseResuming),
		Run:       m.grant.Run,
		Address:   m.grant.Address,
		Stream:    m.stream(),
		Offset:    len(m.emitted),
		Delay:     delay,
	})
}

func (m *Machine) onResumeFailed() {
	if m.request.Repeatable {
		m.cancelAttempt(true)
		m.continueOrFail("engine can't be reached")
		return
	}
	m.resume()
}

func (m *Machine) onResumeRejected(event ResumeRejected) {
	replaced := event.Incarnation != 0 && event.Incarnation != m.grant.Run.Incarnation
	if m.needsFencing() && !replaced {
		m.cancelAndFence()
		return
	}
	m.cancelAttempt(replaced)
	m.continueOrFail("engine no longer holds the stream")
}

func (m *Machine) onResumesExhausted() {
	if m.needsFencing() {
		m.cancelAndFence()
		return
	}
	m.cancelAttempt(false)
	m.continueOrFail("stream could not be resumed")
}

// needsFencing reports whether a cancel can still prove that the dispatch never ran. Once the
// engine has accepted the stream, it cannot.
func (m *Machine) needsFencing() bool { return !m.request.Repeatable && !m.accepted }

func (m *Machine) cancelAndFence() {
	if m.cancels >= m.policy.MaxCancels {
		m.cancelAttempt(true)
		m.fail(resultcode.OutcomeUnknown, "engine can't be asked what became of the dispatch", 0)
		return
	}
	delay := m.backoff(m.cancels)
	if m.cancels == 0 {
		delay = 0
	}
	m.cancels++
	m.emit(CancelAndFence{
		Operation: m.nextOperation(PhaseFencing),
		Run:       m.grant.Run,
		Address:   m.grant.Address,
		Stream:    m.stream(),
		Delay:     delay,
	})
}

// onCancelAnswered handles the state found by a cancel. The request may be placed again only if the
// stream never ran, since it is fenced from then on.
func (m *Machine) onCancelAnswered(state engine.CancelState) {
	switch {
	case state == engine.CancelNeverRan && !m.accepted:
		m.onNotDispatched(resultcode.NoEngine, "dispatch was lost", false)
	case state == engine.CancelFinished:
		m.accepted = true
		m.resumes = m.policy.MaxResumes - 1
		m.resume()
	default:
		m.cancelAttempt(false)
		m.fail(resultcode.OutcomeUnknown, "request was stopped after it had begun", 0)
	}
}

func (m *Machine) onCancelFailed(code engine.ErrorCode) {
	if code == engine.ErrorWrongIncarnation {
		m.cancelAttempt(true)
		m.fail(resultcode.OutcomeUnknown, "engine was replaced after the dispatch", 0)
		return
	}
	m.cancelAndFence()
}

// continueOrFail continues on another engine after the tokens that the caller has. A request that
// is not repeatable fails, because it has begun.
func (m *Machine) continueOrFail(reason string) {
	if !m.request.Repeatable {
		m.fail(resultcode.OutcomeUnknown, reason, 0)
		return
	}
	m.retryElsewhere(resultcode.EngineFailed, reason)
}
