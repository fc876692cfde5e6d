package attempt

import (
	"math/rand/v2"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Machine is the state machine of one request. It is not safe for concurrent use.
type Machine struct {
	request Request
	policy  Policy
	budget  RetryBudget
	random  *rand.Rand

	phase     Phase
	operation Operation
	attempt   fleet.Attempt
	now       time.Duration
	actions   []Action
	stats     Stats

	// grant is the grant of the current attempt; grantOpen is set until its router has been sent a
	// final report.
	grant     Granted
	grantOpen bool
	// mayRun is set if the current attempt may be running or have run, earlierMayHaveRun if any
	// earlier attempt may have run.
	mayRun            bool
	earlierMayHaveRun bool
	// accepted is set once the engine has confirmed that it holds the stream.
	accepted           bool
	firstTokenReported bool

	excluded   []fleet.EngineRun
	emitted    []string
	placements int
	resumes    int
	cancels    int

	promptTokens int
	cachedTokens int
}

// New returns a machine for one request. The random source supplies the jitter of delays; machines
// driven by the same goroutine may share it.
func New(request Request, policy Policy, budget RetryBudget, random *rand.Rand) *Machine {
	return &Machine{request: request, policy: policy.withDefaults(), budget: budget, random: random}
}

// Start returns the first actions. It must be called exactly once, before Handle.
func (m *Machine) Start(now time.Duration) []Action {
	m.now = now
	m.budget.Deposit(now)
	m.requestPlacement(nil, 0)
	return m.takeActions()
}

// Phase returns what the machine is waiting for.
func (m *Machine) Phase() Phase { return m.phase }

// Stats returns the counters so far.
func (m *Machine) Stats() Stats { return m.stats }

// Emitted returns the number of tokens passed to the caller.
func (m *Machine) Emitted() int { return len(m.emitted) }

// Handle processes an event and returns the actions to carry out. It may be called after the
// terminal action; a grant that arrives then is reported as abandoned.
func (m *Machine) Handle(now time.Duration, event Event) []Action {
	m.now = max(m.now, now)
	if m.isCurrent(event) {
		m.handle(event)
	} else {
		m.handleStale(event)
	}
	return m.takeActions()
}

func (m *Machine) takeActions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

func (m *Machine) handle(event Event) {
	switch event := event.(type) {
	case Granted:
		m.onGranted(event)
	case Refused:
		m.fail(event.Code, event.Reason, event.RetryAfter)
	case Redirected:
		m.retryPlacement(event.Routers)
	case PlacementFailed:
		m.retryPlacement(nil)
	case DispatchNotSent:
		m.onNotDispatched(resultcode.NoEngine, "engine can't be reached", true)
	case DispatchRejected:
		m.onDispatchRejected(event)
	case DispatchUnknown:
		m.onDispatchUnknown(event.TimedOut)
	case FrameReceived:
		m.onFrame(event.Frame)
	case StreamBroken:
		m.resume()
	case ResumeRejected:
		m.onResumeRejected(event)
	case ResumeFailed:
		m.onResumeFailed()
	case CancelAnswered:
		m.onCancelAnswered(event.State)
	case CancelFailed:
		m.onCancelFailed(event.Code)
	case CallerGone:
		m.onCallerGone()
	case DeadlinePassed:
		m.onDeadline()
	case Stopping:
		m.onStopping()
	}
}

// isCurrent reports whether an event belongs to the operation in flight.
func (m *Machine) isCurrent(event Event) bool {
	if m.phase == PhaseFinished {
		return false
	}
	operation, phases := answeredOperation(event)
	if operation == 0 {
		return phases == nil
	}
	if operation != m.operation {
		return false
	}
	for _, phase := range phases {
		if phase == m.phase {
			return true
		}
	}
	return false
}

// answeredOperation returns the operation that an event answers and the phases in which the answer
// is valid; the phases are nil if the event is not an answer.
func answeredOperation(event Event) (Operation, []Phase) {
	switch event := event.(type) {
	case Granted:
		return event.Operation, []Phase{PhasePlacing}
	case Refused:
		return event.Operation, []Phase{PhasePlacing}
	case Redirected:
		return event.Operation, []Phase{PhasePlacing}
	case PlacementFailed:
		return event.Operation, []Phase{PhasePlacing}
	case DispatchNotSent:
		return event.Operation, []Phase{PhaseDispatching}
	case DispatchRejected:
		return event.Operation, []Phase{PhaseDispatching}
	case DispatchUnknown:
		return event.Operation, []Phase{PhaseDispatching}
	case FrameReceived:
		return event.Operation, []Phase{PhaseDispatching, PhaseResuming, PhaseStreaming}
	case StreamBroken:
		return event.Operation, []Phase{PhaseDispatching, PhaseResuming, PhaseStreaming}
	case ResumeRejected:
		return event.Operation, []Phase{PhaseResuming}
	case ResumeFailed:
		return event.Operation, []Phase{PhaseResuming}
	case CancelAnswered:
		return event.Operation, []Phase{PhaseFencing}
	case CancelFailed:
		return event.Operation, []Phase{PhaseFencing}
	default:
		return 0, nil
	}
}

// handleStale counts an event of a finished operation. If it is a grant, its router is informed
// that the grant is abandoned.
func (m *Machine) handleStale(event Event) {
	if _, phases := answeredOperation(event); phases == nil {
		return
	}
	m.stats.DroppedEvents++
	switch late := event.(type) {
	case Granted:
		if late.Operation != m.grant.Operation {
			m.emit(Report{Attempt: late.Attempt, Run: late.Run, Phase: ReportAbandoned})
		}
	case FrameReceived:
		// The frame is too late to be passed on, but it proves that the engine accepted the stream.
		m.accepted = m.accepted || late.Frame.Stream == m.stream()
	}
}

// nextOperation enters a phase and returns the number of its operation.
func (m *Machine) nextOperation(phase Phase) Operation {
	m.phase = phase
	m.operation++
	return m.operation
}

func (m *Machine) stream() fleet.StreamID {
	return fleet.NewStreamID(m.request.ID, m.attempt)
}

// isRejectedBeforeRun reports whether an engine's error code proves that the dispatch did not run.
func isRejectedBeforeRun(code engine.ErrorCode) bool {
	failure := engine.Error{Code: code, Sent: true}
	return failure.Outcome() == engine.OutcomeRejected
}
