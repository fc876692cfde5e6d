package retrybudget

import "time"

// Fractions of the slack that gateways have together.
const (
	servingSlackFraction = 0.8
	idleSlackFraction    = 0.15
	// allServingSlackFraction is that of the serving gateways where there are no others.
	allServingSlackFraction = 0.95
	// minSlackSharers is the least number of gateways among which the slack is divided, since some
	// gateways may not count a new one yet.
	minSlackSharers = 8
)

const (
	// settlingTime is the time after its start for which a restarted gateway has no share: its counts are
	// incomplete, and the process before it may still be finishing.
	settlingTime = 5 * time.Second
	// peakMemory is the least time for which the highest counts are remembered. Gateways that are cut
	// off still have their shares on the other side.
	peakMemory = 10 * time.Minute
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
//
// The shares of all gateways must add up to at most one, whatever each of them sees. So the slack is
// divided by the highest counts of late, and a gateway that sees fewer members than before leaves the
// part of the others to them: they may be cut off and have chosen gateways of their own to serve. A
// gateway that was started again can't know whether it sees the whole fleet, and has no share until
// one that has been there longer has told it.
type Share struct {
	members peak
	serving peak
	idle    peak
	// complete is set once the counts are known to be those of the whole fleet.
	complete bool
	// usableFrom is the time from which the gateway has a share.
	usableFrom time.Duration
}

// NewShare returns the share of a gateway that has just started. seesFleet is set if the whole fleet starts
// with it for the first time.
func NewShare(seesFleet bool) *Share { return &Share{complete: seesFleet, usableFrom: settlingTime} }

// NewShareOfOne returns the share of the only gateway. As it has no more than that of one of minSlackSharers,
// it needs not wait for the process before it.
func NewShareOfOne() *Share { return &Share{complete: true} }

// Learn records the highest counts of late of a gateway that knows the whole fleet. Only the first ones
// count: gateways would keep each other's alive otherwise.
func (s *Share) Learn(now time.Duration, counts Counts) {
	if s.complete {
		return
	}
	s.complete = true
	s.observe(now, counts)
}

// Peaks returns the highest counts of late, and whether they are those of the whole fleet.
func (s *Share) Peaks(now time.Duration) (Counts, bool) {
	return Counts{Members: s.members.at(now), Serving: s.serving.at(now)}, s.isUsable(now)
}

// At returns the part of the slack, from 0 to 1.
func (s *Share) At(now time.Duration, counts Counts) float64 {
	s.observe(now, counts)
	if !s.isUsable(now) {
		return 0
	}
	inSight := float64(counts.Members) / float64(max(s.members.at(now), 1))
	serving, idle := s.serving.at(now), s.idle.at(now)
	switch {
	case !counts.Serves:
		return inSight * idleSlackFraction / float64(max(idle, minSlackSharers))
	case idle == 0:
		return inSight * allServingSlackFraction / float64(max(serving, minSlackSharers))
	default:
		return inSight * servingSlackFraction / float64(max(serving, minSlackSharers))
	}
}

// isUsable reports whether the counts are good enough for a share. What a process has seen for as long
// as counts are remembered is taken for the fleet.
func (s *Share) isUsable(now time.Duration) bool {
	return now >= s.usableFrom && (s.complete || now >= peakMemory)
}

func (s *Share) observe(now time.Duration, counts Counts) {
	s.members.observe(now, counts.Members)
	s.serving.observe(now, counts.Serving)
	s.idle.observe(now, counts.Members-counts.Serving)
}

// peak is the highest value of the last peakMemory, or up to twice that time.
type peak struct {
	current, previous int
	rotatedAt         time.Duration
}

// observe adds a value.
func (p *peak) observe(now time.Duration, value int) {
	p.rotate(now)
	p.current = max(p.current, value)
}

// at returns the highest value.
func (p *peak) at(now time.Duration) int {
	p.rotate(now)
	return max(p.current, p.previous)
}

func (p *peak) rotate(now time.Duration) {
	if now >= p.rotatedAt+peakMemory {
		p.previous, p.current, p.rotatedAt = p.current, 0, now
	}
}
