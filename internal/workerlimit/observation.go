package workerlimit

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Rate is a limit in requests a second from all nodes together.
type Rate float64

// Statement is what the head of one answer says of the worker's limit.
type Statement struct {
	Kind StatementKind
	// Rate is set for Limited.
	Rate Rate
}

// StatementKind tells whether an answer names a limit.
type StatementKind uint8

// Kinds of statements.
const (
	// Unlimited is an answer that names no limit: none holds any more.
	Unlimited StatementKind = iota
	// Limited is an answer that names one.
	Limited
	// Unreadable is an answer whose limit can't be read: it says nothing.
	Unreadable
)

// Observation is a statement of a run of a worker and when it was made.
type Observation struct {
	Worker fleet.EngineID
	// StartTime is when the run started, by the worker's clock; 0 if that isn't known.
	StartTime uint64
	// Limited is false if no limit holds; Rate is set otherwise.
	Limited bool
	Rate    Rate
	// RequestedAt and Answered are times between which the statement was made, on this process's
	// steady clock: a time before the request reached the worker and one after its answer left.
	RequestedAt time.Duration
	AnsweredAt  time.Duration
}

// isStricterThan tells whether an observation allows less than another.
func (o *Observation) isStricterThan(than *Observation) bool {
	switch {
	case !o.Limited:
		return false
	case !than.Limited:
		return true
	default:
		return o.Rate < than.Rate
	}
}

// isSame tells whether two observations say the isSame.
func (o *Observation) isSame(other *Observation) bool {
	return o.Limited == other.Limited && o.Rate == other.Rate
}

// merge returns what two observations of one run say together. Where neither is certainly the newer,
// the stricter one holds until a request that was sent after it is answered otherwise.
func merge(known, heard Observation) Observation {
	switch {
	case heard.isSame(&known):
		known.RequestedAt, known.AnsweredAt = max(known.RequestedAt, heard.RequestedAt), max(known.AnsweredAt, heard.AnsweredAt)
		return known
	case heard.RequestedAt >= known.AnsweredAt:
		return heard
	case heard.AnsweredAt <= known.RequestedAt || !heard.isStricterThan(&known):
		return known
	default:
		return heard
	}
}
