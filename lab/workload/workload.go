// Package workload generates request traces from a seed: prompts with three nested levels of skewed
// popularity, short lookups, a batch flood, and a shift of the most popular prefix. The emulator
// replays them.
package workload

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Kind is the kind of a request, by which results are reported.
type Kind string

// Kinds of requests.
const (
	// KindQuestion has a long nested prefix and class ClassUrgent.
	KindQuestion Kind = "question"
	// KindDraft has a long nested prefix, a long output and class ClassStandard.
	KindDraft Kind = "draft"
	// KindLookup has a short prompt and class ClassUrgent.
	KindLookup Kind = "lookup"
	// KindBatch has a long nested prefix and class ClassBatch. A flood consists of such requests.
	KindBatch Kind = "batch"
)

// Segment is one level of a nested prompt. Equal identifiers mean equal text.
type Segment struct {
	ID     uint64
	Tokens int
}

// Request is a request of a trace, with its time of arrival.
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
	// NonRepeatable marks a request that must run at most once.
	NonRepeatable bool
}

// PromptTokens returns the length of the whole prompt in tokens.
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
