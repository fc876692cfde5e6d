package liveness

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// engine is the state of an engine with requests under way.
type engine struct {
	id   fleet.EngineID
	runs map[*Run]struct{}
	// lastSign is when anything last came from the engine; 0 if nothing has since its first request.
	lastSign time.Duration
	// patience multiplies the time that requests explain, from 1 to maxPatience.
	patience int
	// peerSuspected is set once another node has found the engine silent, until it is heard.
	peerSuspected bool
	// probing is set while a probe may be answered, which was sent at probedAt. unansweredProbes
	// counts the ones before it.
	probing          bool
	probedAt         time.Duration
	unansweredProbes int
	silent           bool
	silentAt         time.Duration
	// moves is the number of requests that the next evaluation may move.
	moves int
}

func newEngine(id fleet.EngineID) *engine {
	return &engine{id: id, runs: make(map[*Run]struct{}), patience: 1}
}

// heardFromRun records a sign of life by a request, whose progress shows that the queue moves.
func (e *engine) heardFromRun(now time.Duration) {
	e.lastSign, e.silent, e.peerSuspected, e.patience = now, false, false, 1
	e.clearSuspicion()
}

// heardOtherwise records a sign of life that shows no progress of requests.
func (e *engine) heardOtherwise(now time.Duration) {
	if e.probing {
		e.patience = min(e.patience*2, maxPatience)
	}
	e.lastSign, e.silent, e.peerSuspected = now, false, false
	e.clearSuspicion()
}

func (e *engine) startProbe(now time.Duration) { e.probing, e.probedAt = true, now }

func (e *engine) clearSuspicion() { e.probing, e.unansweredProbes = false, 0 }

// contacts holds when this node last heard from two different engines and from a peer.
type contacts struct {
	engines [2]contact
	peerAt  time.Duration
}

type contact struct {
	engine fleet.EngineID
	at     time.Duration
}

// add records a sign of life from an engine.
func (c *contacts) add(now time.Duration, id fleet.EngineID) {
	if c.engines[0].engine != id {
		c.engines[1] = c.engines[0]
	}
	c.engines[0] = contact{engine: id, at: now}
}

// otherEngineSince reports whether another engine has been heard since a time.
func (c *contacts) otherEngineSince(id fleet.EngineID, since time.Duration) bool {
	for _, entry := range c.engines {
		if entry.engine != id && entry.engine != "" && entry.at >= since {
			return true
		}
	}
	return false
}
