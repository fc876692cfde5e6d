package placement

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// Explanation describes how an attempt was decided.
type Explanation struct {
	Key          Key
	Tenant       fleet.TenantName
	Class        fleet.ClassName
	ModelVersion fleet.ModelVersion
	Submitted    time.Duration
	// Decided is the time of the outcome; Decided minus Submitted is the wait.
	Decided time.Duration
	// Outcome is nil while the attempt waits; Waiting then gives the reason.
	Outcome Outcome
	Waiting string
	// Decision is the scheduler's decision; nil if the scheduler wasn't run or found no engine.
	Decision *scheduling.Decision
}

// history is a ring buffer of the latest explanations.
type history struct {
	ring []Explanation
	next int
	size int
}

func newHistory(capacity int) *history {
	return &history{ring: make([]Explanation, 0, capacity), size: capacity}
}

func (h *history) add(explanation Explanation) {
	if len(h.ring) < h.size {
		h.ring = append(h.ring, explanation)
	} else {
		h.ring[h.next] = explanation
	}
	h.next = (h.next + 1) % h.size
}

// last returns the most recently added explanation.
func (h *history) last() *Explanation {
	return &h.ring[(h.next+h.size-1)%h.size]
}

// find returns the latest explanations of a request, newest first.
func (h *history) find(request fleet.RequestID) []Explanation {
	var found []Explanation
	for age := 1; age <= len(h.ring); age++ {
		explanation := h.ring[(h.next+h.size-age)%h.size]
		if explanation.Key.Request == request {
			found = append(found, explanation)
		}
	}
	return found
}

// Explain returns the explanations of a request's attempts: first the waiting ones by falling
// attempt number, then the recent decisions, newest first.
func (c *Core) Explain(request fleet.RequestID) []Explanation {
	var explanations []Explanation
	for key, waiting := range c.waiting {
		if key.Request == request {
			explanations = append(explanations, waiting.explain())
		}
	}
	sortNewestFirst(explanations)
	return append(explanations, c.history.find(request)...)
}

func (w *waitingRequest) explain() Explanation {
	return Explanation{
		Key:          w.request.Key,
		Tenant:       w.request.Tenant,
		Class:        w.request.Class,
		ModelVersion: w.request.ModelVersion,
		Submitted:    w.submitted,
		Waiting:      w.reason,
	}
}
