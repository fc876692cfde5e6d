package nodecapacity

import "time"

// Usage is how much of each limit a node uses, as parts of the limits.
type Usage [resourceCount]float64

// Pressure says how near to its limits a node is.
type Pressure uint8

// Pressures, the least first.
const (
	// Free means that callers may come.
	Free Pressure = iota
	// Busy means that callers are to be sent elsewhere, as far as others have room.
	Busy
	// Full means that more can't be carried: what comes all the same is refused.
	Full
)

// String returns the pressure's lower-case name.
func (p Pressure) String() string {
	switch p {
	case Busy:
		return "busy"
	case Full:
		return "full"
	default:
		return "free"
	}
}

// Weight is the part of its capacity by which a node under pressure counts when callers
// are spread.
func (p Pressure) Weight() float64 {
	switch p {
	case Busy:
		return busyWeight
	case Full:
		return fullWeight
	default:
		return 1
	}
}

// Parts of the limits at which the pressure changes.
const (
	// busyAbove leaves the directory the time that callers keep its answers, some three
	// seconds, while the load rises.
	busyAbove = 0.75
	// freeBelow is well below busyAbove, since turning callers away takes load off.
	freeBelow = 0.55
	// fullAbove is where memory and descriptors are refused. The rest is for what is under
	// way: connections to workers, answers, and what other nodes tell.
	fullAbove = 0.92
	// fullBelow ends it.
	fullBelow = 0.85
	// freeAfter is how long the usage must be below freeBelow until callers come again, a
	// little more than callers keep an answer.
	freeAfter  = 4 * time.Second
	busyWeight = 0.5
	fullWeight = 0.1
)

// Meter follows a node's usage. Its zero value is free. It isn't safe for concurrent use.
type Meter struct {
	pressure Pressure
	scarcest Resource
	// lowSince is since when the usage is below freeBelow, if low is set.
	lowSince time.Duration
	low      bool
}

// Observe takes in the usage at now and returns the pressure. Only memory and descriptors
// make a node full: a process ends or goes deaf without them, while a processor or link
// that is short makes it late, which callers who are already here may prefer to a refusal.
func (m *Meter) Observe(now time.Duration, usage Usage) Pressure {
	most := Processor
	for resource := range resourceCount {
		if usage[resource] > usage[most] {
			most = resource
		}
	}
	hard := max(usage[Memory], usage[Descriptors])
	switch {
	case hard > fullAbove || (m.pressure == Full && hard > fullBelow):
		m.pressure, m.low = Full, false
	case m.pressure == Full || usage[most] > busyAbove:
		m.pressure, m.low = Busy, false
	case usage[most] > freeBelow:
		m.low = false
	case m.pressure == Busy && !m.low:
		m.low, m.lowSince = true, now
	case m.pressure == Busy && now >= m.lowSince+freeAfter:
		m.pressure, m.low = Free, false
	}
	m.scarcest = most
	return m.pressure
}

// Pressure returns the pressure at the last observation.
func (m *Meter) Pressure() Pressure { return m.pressure }

// ScarcestResource returns the resource that was used most at the last observation.
func (m *Meter) ScarcestResource() Resource { return m.scarcest }
