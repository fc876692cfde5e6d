// Package history records what happened in a simulated fleet, as callers,
// engines and operators saw it, and checks the record against the system's
// invariants. Checkers know nothing of how the system decides.
package history

import (
	"fmt"
	"io"
	"time"
)

// Event is something that happened. Each is a struct of plain values.
type Event interface{ event() }

// Entry is an event and its virtual time.
type Entry struct {
	At    time.Duration
	Event Event
}

// History is the record of one run, in order of time.
type History struct {
	Entries []Entry
	// End is the virtual time at which the run ended.
	End time.Duration
}

// Add records an event.
func (h *History) Add(at time.Duration, event Event) {
	h.Entries = append(h.Entries, Entry{At: at, Event: event})
	h.End = max(h.End, at)
}

// Write prints the history, one line an event.
func (h *History) Write(to io.Writer) error {
	for _, entry := range h.Entries {
		if _, err := fmt.Fprintln(to, entry); err != nil {
			return err
		}
	}
	return nil
}

// String prints the time in seconds, the kind of the event and its fields.
func (e Entry) String() string {
	return fmt.Sprintf("%10.6f %T %+v", e.At.Seconds(), e.Event, e.Event)
}

// Invariant names what a checker checks.
type Invariant string

// The invariants, in the order of the list in docs/PROOFS.md.
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

// Violation is a breach of an invariant.
type Violation struct {
	Invariant Invariant
	At        time.Duration
	Message   string
}

// String prints a violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.6f: %s", v.Invariant, v.At.Seconds(), v.Message)
}

// Limits are the times that the checkers allow.
type Limits struct {
	// Answer is how long after its deadline a request may lack an answer.
	Answer time.Duration
	// Restart is how long after its start a router may take to place a request.
	Restart time.Duration
	// Leaving is how long after the word that it leaves an engine may get work.
	Leaving time.Duration
	// Configuration is how long an accepted revision may take to be in force at
	// every node.
	Configuration time.Duration
	// Settle is how long after a fault its effects on a request may last.
	Settle time.Duration
}

// DefaultLimits are the limits that the simulation is checked against. Each
// counts only the time without an injected fault.
func DefaultLimits() Limits {
	return Limits{
		Answer:        2 * time.Second,
		Restart:       3 * time.Second,
		Leaving:       5 * time.Second,
		Configuration: 5 * time.Second,
		Settle:        5 * time.Second,
	}
}

// Check runs every checker and returns the violations, checker by checker.
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
