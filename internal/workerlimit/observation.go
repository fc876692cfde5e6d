package workerlimit

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Rate is a limit in requests per second, summed over all nodes.
type Rate float64

// AdvertisedLimit is the worker's limit as advertised in the header of one answer.
type AdvertisedLimit struct {
	Kind AdvertisedLimitKind
	// Rate is set for Limited.
	Rate Rate
}

// AdvertisedLimitKind is whether an answer contains a limit.
type AdvertisedLimitKind uint8

// Kinds of advertised limits.
const (
	// Unlimited is an answer without a limit: any earlier one no longer applies.
	Unlimited AdvertisedLimitKind = iota
	// Limited is an answer with a limit.
	Limited
	// Unreadable is an answer whose limit can't be parsed. It is ignored.
	Unreadable
)

// Observation is a limit advertised by a worker's run, with bounds of the time of its answer.
type Observation struct {
	Worker fleet.EngineID
	// StartTime is when the run started, by the worker's clock; 0 if that isn't known.
	StartTime uint64
	// Limited is set if a limit applies, which is Rate.
	Limited bool
	Rate    Rate
	// RequestedAt and AnsweredAt are the earliest and latest time at which the worker can have
	// answered, on this process's steady clock.
	RequestedAt time.Duration
	AnsweredAt  time.Duration
}

// isStricterThan reports whether an observation allows less than another.
func (o *Observation) isStricterThan(other *Observation) bool {
	switch {
	case !o.Limited:
		return false
	case !other.Limited:
		return true
	default:
		return o.Rate < other.Rate
	}
}

// isSame reports whether two observations state the same limit.
func (o *Observation) isSame(other *Observation) bool {
	return o.Limited == other.Limited && o.Rate == other.Rate
}

// merge combines two observations of one run. If their times overlap, so that neither is certainly
// newer, the stricter one applies until a later request is answered otherwise.
func merge(known, received Observation) Observation {
	switch {
	case received.isSame(&known):
		known.RequestedAt, known.AnsweredAt = max(known.RequestedAt, received.RequestedAt), max(known.AnsweredAt, received.AnsweredAt)
		return known
	case received.RequestedAt >= known.AnsweredAt:
		return received
	case received.AnsweredAt <= known.RequestedAt || !received.isStricterThan(&known):
		return known
	default:
		return received
	}
}
