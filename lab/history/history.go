// Package history records the events of a simulated fleet as observed by callers, engines and
// operators, and checks the record against the system's invariants. The checkers are independent of
// the system's implementation.
package history

import (
	"fmt"
	"io"
	"time"
)

// Event is a recorded event. Each implementation is a struct of plain values.
type Event interface{ event() }

// Entry is an event and its virtual time.
type Entry struct {
	At    time.Duration
	Event Event
}

// History is the record of one run, ordered by time.
type History struct {
	Entries []Entry
	// End is the virtual time at which the run ended.
	End time.Duration
}

// Add appends an event.
func (h *History) Add(at time.Duration, event Event) {
	h.Entries = append(h.Entries, Entry{At: at, Event: event})
	h.End = max(h.End, at)
}

// Write prints the history, one event per line.
func (h *History) Write(to io.Writer) error {
	for _, entry := range h.Entries {
		if _, err := fmt.Fprintln(to, entry); err != nil {
			return err
		}
	}
	return nil
}

// String formats the time in seconds, the type of the event and its fields.
func (e Entry) String() string {
	return fmt.Sprintf("%10.6f %T %+v", e.At.Seconds(), e.Event, e.Event)
}

// Invariant names a checked invariant.
type Invariant string

// Invariants, in the order of the list in docs/PROOFS.md.
const (
	CacheEntries   Invariant = "cache-entries"
	StreamOrder    Invariant = "stream-order"
	RestartServes  Invariant = "restart-serves"
	OwnAnswer      Invariant = "own-answer"
	NotRun         Invariant = "not-run"
	AtMostOnce     Invariant = "at-most-once"
	LeavingEngine  Invariant = "leaving-engine"
	PlannedStop    Invariant = "planned-stop"
	Configuration  Invariant = "configuration"
	Commands       Invariant = "commands"
	FencedOrders   Invariant = "fenced-orders"
	RequestOutcome Invariant = "request-outcome"
)

// Violation is a violation of an invariant.
type Violation struct {
	Invariant Invariant
	At        time.Duration
	Message   string
}

// String formats the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.6f: %s", v.Invariant, v.At.Seconds(), v.Message)
}

// Limits are the time limits that the checkers apply.
type Limits struct {
	// Answer is how long after its deadline a request may remain without an answer.
	Answer time.Duration
	// Restart is how long after its start a router may take to place a request.
	Restart time.Duration
	// Leaving is how long an engine may accept dispatches after it is known to be leaving.
	Leaving time.Duration
	// Configuration is how long a committed revision may take until every node has applied it.
	Configuration time.Duration
	// Settle is how long the effects of a fault on requests may last after its end.
	Settle time.Duration
}

// DefaultLimits returns the limits that simulated runs are checked against. All but Settle count
// only time without faults.
func DefaultLimits() Limits {
	return Limits{
		Answer:        2 * time.Second,
		Restart:       3 * time.Second,
		Leaving:       5 * time.Second,
		Configuration: 5 * time.Second,
		Settle:        5 * time.Second,
	}
}

// Check runs all checkers and returns their violations in the order of the checkers.
func Check(history *History, limits Limits) []Violation {
	var violations []Violation
	for _, check := range []func(*History, Limits) []Violation{
		checkCacheEntries, checkStreamOrder, checkRestartServes, checkOwnAnswer, checkNotRun, checkAtMostOnce,
		checkLeavingEngine, checkPlannedStop, checkConfiguration, checkCommands, checkFencedOrders, checkRequestOutcome,
	} {
		violations = append(violations, check(history, limits)...)
	}
	return violations
}
