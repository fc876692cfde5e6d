package retrybudget

import "time"

// Fractions of the slack that gateways spend together.
const (
	// servingSlackFraction is the part of the allowed slack that the serving gateways spend
	// together, with a margin since some gateways may not count a new one yet. The other gateways
	// have idleSlackFraction together.
	servingSlackFraction = 0.6
	idleSlackFraction    = 0.2
	// minSlackSharers is the least number of gateways among which the slack is divided.
	minSlackSharers = 8
)

// Counts are the numbers of gateways as one of them knows them.
type Counts struct {
	// Members is the number of gateways and Serving the number of those to which callers are sent,
	// both with this one.
	Members int
	Serving int
	// Serves is set if callers are sent to this gateway.
	Serves bool
}

// Share is a gateway's part of the slack.
type Share struct{}

// At returns the part of the slack, from 0 to 1.
func (s *Share) At(_ time.Duration, counts Counts) float64 {
	if counts.Serves {
		return servingSlackFraction / float64(max(counts.Serving, minSlackSharers))
	}
	return idleSlackFraction / float64(max(counts.Members-counts.Serving, minSlackSharers))
}
