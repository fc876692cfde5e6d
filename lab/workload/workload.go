// Package workload generates request traces from a seed: prompts nested three
// deep with skewed popularity, quick lookups, a batch flood, and a shift of the
// most popular prefix. The emulator, the load generator and the simulation
// replay the same traces.
package workload

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Kind tells what a request is for; results are reported by kind.
type Kind string

// Kinds of requests.
const (
	// KindQuestion has a long nested prefix and an urgent class.
	KindQuestion Kind = "question"
	// KindDraft has a long nested prefix, a long answer and a standard class.
	KindDraft Kind = "draft"
	// KindLookup is short and urgent.
	KindLookup Kind = "lookup"
	// KindBatch belongs to the flood of the lowest class.
	KindBatch Kind = "batch"
)

// Segment is one level of a nested prompt. Equal identifiers mean equal text.
type Segment struct {
	ID     uint64
	Tokens int
}

// Request is one arrival of a trace.
type Request struct {
	ID           fleet.RequestID
	At           time.Duration
	Kind         Kind
	Tenant       fleet.TenantName
	Class        fleet.ClassName
	ModelVersion fleet.ModelVersion
	Zone         fleet.ZoneName
	Segments     []Segment
	OutputTokens int
	// NonRepeatable requests run at most once.
	NonRepeatable bool
}

// PromptTokens returns the length of the whole prompt.
func (r Request) PromptTokens() int {
	total := 0
	for _, segment := range r.Segments {
		total += segment.Tokens
	}
	return total
}

// Trace is a sequence of requests in order of arrival.
type Trace struct {
	Fleet    Fleet
	Requests []Request
	Duration time.Duration
}
