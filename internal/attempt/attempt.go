// Package attempt decides how one request is carried: where it is placed, when
// it is dispatched, resumed, cancelled or tried again, and what its caller is
// told. It is a state machine without I/O, clock or goroutines: the agent and
// the simulation feed it events and carry out its actions.
//
// It holds three guarantees. A caller gets each token once, in order, and a
// regular end only after the whole output. A request that isn't repeatable is
// dispatched again only if every earlier dispatch certainly did not run. A
// result that says "not run" is given only if no attempt may have run.
package attempt

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Request is what the machine needs to know of a request.
type Request struct {
	ID fleet.RequestID
	// Repeatable is false for a request that must run at most once.
	Repeatable bool
	// Deadline is the time, on the clock of the events, after which the request
	// is of no use; 0 means none.
	Deadline time.Duration
}

// Policy bounds the tries of one request. A zero field takes its default.
type Policy struct {
	// MaxDispatches bounds the attempts at engines, the first included.
	MaxDispatches int
	// MaxPlacements bounds the questions to routers that led to no dispatch,
	// counted anew after each dispatch.
	MaxPlacements int
	// MaxResumes bounds the resumes in a row that bring no new token.
	MaxResumes int
	// MaxCancels bounds the tries to learn a stream's state by cancelling it.
	MaxCancels int
	// BackoffBase is the greatest first delay; it doubles with each try.
	BackoffBase time.Duration
	// BackoffMax bounds the delay.
	BackoffMax time.Duration
	// RetryAfter is the least time a caller is told to stay away when nothing
	// better is known; up to as much again is added at random.
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

// Phase tells what a machine waits for.
type Phase int

// The phases of a request.
const (
	// PhasePlacing waits for a router's answer.
	PhasePlacing Phase = iota
	// PhaseDispatching waits for an engine to accept the stream.
	PhaseDispatching
	// PhaseStreaming receives tokens.
	PhaseStreaming
	// PhaseResuming waits for the same engine run to go on with the stream.
	PhaseResuming
	// PhaseFencing waits to learn whether a dispatch took effect.
	PhaseFencing
	// PhaseFinished has had its terminal action.
	PhaseFinished
)

var phaseNames = [...]string{"placing", "dispatching", "streaming", "resuming", "barring", "finished"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// Stats counts what happened to one request.
type Stats struct {
	// Dispatches counts the attempts at engines.
	Dispatches int
	// Retries counts the attempts drawn from the retry budget.
	Retries int
	// Resumes counts the resumes asked for.
	Resumes int
	// DroppedEvents counts answers and frames of operations that are over, of
	// other streams, or of tokens already passed on.
	DroppedEvents int
}
