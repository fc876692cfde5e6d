// Package attempt decides how a single request is carried: when it is placed, dispatched, resumed,
// cancelled or retried, and which result its caller gets. The state machine has no I/O, clock or
// goroutines: the agent and the simulation feed it events and carry out its actions.
//
// The machine guarantees that a caller receives each token once, in order, and a regular end only
// after the complete output; that a request that is not repeatable is dispatched again only if no
// earlier dispatch can have run; and that a result that says "not run" is returned only if no
// attempt can have run.
package attempt

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Request describes the request to the machine.
type Request struct {
	ID fleet.RequestID
	// Repeatable is false for a request that must run at most once.
	Repeatable bool
	// Deadline is the time, on the clock of the events, after which the result is useless; 0 means
	// none.
	Deadline time.Duration
}

// Policy limits the attempts of one request. Zero fields take their defaults.
type Policy struct {
	// MaxDispatches limits the dispatches to engines, including the first.
	MaxDispatches int
	// MaxPlacements limits the consecutive placement requests that do not lead to a dispatch.
	MaxPlacements int
	// MaxResumes limits the consecutive resumes that bring no new token.
	MaxResumes int
	// MaxCancels limits the cancels sent to find out whether a dispatch ran.
	MaxCancels int
	// BackoffBase is the upper bound of the first delay; it doubles with each retry.
	BackoffBase time.Duration
	// BackoffMax limits the upper bound of the delay.
	BackoffMax time.Duration
	// RetryAfter is the minimum Retry-After sent when no better value is known; jitter of up to the
	// same amount is added.
	RetryAfter time.Duration
}

// Defaults of Policy.
const (
	DefaultMaxDispatches = 4
	DefaultMaxPlacements = 8
	DefaultMaxResumes    = 3
	DefaultMaxCancels    = 4
	DefaultBackoffBase   = 20 * time.Millisecond
	DefaultBackoffMax    = time.Second
	DefaultRetryAfter    = time.Second
)

func (p Policy) withDefaults() Policy {
	setDefault(&p.MaxDispatches, DefaultMaxDispatches)
	setDefault(&p.MaxPlacements, DefaultMaxPlacements)
	setDefault(&p.MaxResumes, DefaultMaxResumes)
	setDefault(&p.MaxCancels, DefaultMaxCancels)
	setDefault(&p.BackoffBase, DefaultBackoffBase)
	setDefault(&p.BackoffMax, DefaultBackoffMax)
	setDefault(&p.RetryAfter, DefaultRetryAfter)
	return p
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Phase is what a machine is waiting for.
type Phase int

// Phases of a request.
const (
	// PhasePlacing waits for a router's answer.
	PhasePlacing Phase = iota
	// PhaseDispatching waits for an engine to accept the stream.
	PhaseDispatching
	// PhaseStreaming receives tokens.
	PhaseStreaming
	// PhaseResuming waits for the same engine run to continue the stream.
	PhaseResuming
	// PhaseFencing waits for the answer to a cancel that shows whether a dispatch ran.
	PhaseFencing
	// PhaseFinished follows the terminal action.
	PhaseFinished
)

var phaseNames = [...]string{"placing", "dispatching", "streaming", "resuming", "fencing", "finished"}

// String returns the name of the phase.
func (p Phase) String() string { return phaseNames[p] }

// Stats holds the counters of one request.
type Stats struct {
	// Dispatches counts the dispatches to engines.
	Dispatches int
	// Retries counts the attempts charged to the retry budget.
	Retries int
	// Resumes counts the resumes sent.
	Resumes int
	// DroppedEvents counts the answers and frames that were ignored because they belong to a
	// finished operation or another stream, or repeat a token.
	DroppedEvents int
}
