package liveness

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// resumeFactor is the number of target gaps for which a stream that has begun must have paused
// before it is resumed elsewhere.
const resumeFactor = 2

// Send is a request that is sent to an engine. Times are on the clock of the calls.
type Send struct {
	Engine fleet.EngineID
	// Expected is the predicted time to the first event; 0 if the answer comes only when it is
	// complete, which says nothing about the engine before.
	Expected time.Duration
	// Gap is the target for the pause between two events; 0 if there is none.
	Gap time.Duration
	// Target is when the first event is due, Deadline when the caller gives up.
	Target, Deadline time.Duration
	// Repeatable is set if the request may run again before its first event, Resumable if the stream
	// may continue elsewhere after an event.
	Repeatable, Resumable bool
}

// Run is a request under way at an engine.
type Run struct {
	send      Send
	engine    *engine
	number    uint64
	sentAt    time.Duration
	lastEvent time.Duration
	// longestGap is the longest interval between two events so far.
	longestGap time.Duration
	begun      bool
	identified bool
	moved      bool
	// movableAt is when the request may be moved again, after a move that failed.
	movableAt time.Duration
	// trialFailed is set once the request has shown that an engine is still silent.
	trialFailed bool
}

// Engine returns the engine to which the request was sent.
func (r *Run) Engine() fleet.EngineID { return r.send.Engine }

// HasBegun reports whether an event of the answer has arrived.
func (r *Run) HasBegun() bool { return r.begun }

// targetClass returns 0 if the request can still meet its target elsewhere, otherwise 1.
func (r *Run) targetClass(now time.Duration) int {
	if r.begun || now+r.send.Expected <= r.send.Target {
		return 0
	}
	return 1
}
