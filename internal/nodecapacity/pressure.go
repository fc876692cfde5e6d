package nodecapacity

import "time"

// Usage is how much of each limit a node uses, as fractions of the limits.
type Usage [resourceCount]float64

// IsScarce reports whether memory or descriptors run short.
func (u Usage) IsScarce() bool { return u.exhaustible() > busyAbove }

// exhaustible returns the usage of the resources without which a node stops working.
func (u Usage) exhaustible() float64 { return max(u[Memory], u[Descriptors]) }

// Pressure is how close to its limits a node is.
type Pressure uint8

// Pressures, the lowest first.
const (
	// Free means that the node accepts new callers.
	Free Pressure = iota
	// Busy means that callers are directed to other nodes as far as these have room.
	Busy
	// Full means that the node refuses further requests.
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

// Weight returns the fraction of its capacity with which a node counts when callers are distributed.
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

// Thresholds at which the pressure changes, as fractions of the limits, and weights.
const (
	// busyAbove leaves headroom for a rising load, since callers cache the directory's answers for
	// some seconds.
	busyAbove = 0.75
	// freeBelow is well below busyAbove for hysteresis, since directing callers elsewhere reduces the
	// load.
	freeBelow = 0.55
	// fullAbove is the usage of memory or descriptors above which requests are refused. The rest is
	// for requests in flight and traffic between nodes.
	fullAbove = 0.92
	// fullBelow is the usage below which requests are accepted again.
	fullBelow = 0.85
	// freeAfter is how long the usage must stay below freeBelow until the node is free. It exceeds the
	// time for which callers cache an answer.
	freeAfter  = 4 * time.Second
	busyWeight = 0.5
	fullWeight = 0.1
)

// Meter derives a node's pressure from its usage. Its zero value is free. It isn't safe for
// concurrent use.
type Meter struct {
	pressure Pressure
	scarcest Resource
	// lowSince is when the usage fell below freeBelow; valid while low is set.
	lowSince time.Duration
	low      bool
}

// Observe records the usage at now and returns the pressure. Only memory and descriptors make a node
// full: without them the process is killed or can't accept connections, while a shortage of
// processor time or bandwidth only delays requests.
func (m *Meter) Observe(now time.Duration, usage Usage) Pressure {
	most := Processor
	for resource := range resourceCount {
		if usage[resource] > usage[most] {
			most = resource
		}
	}
	exhaustible := usage.exhaustible()
	switch {
	case exhaustible > fullAbove || (m.pressure == Full && exhaustible > fullBelow):
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

// ScarcestResource returns the resource with the highest usage at the last observation.
func (m *Meter) ScarcestResource() Resource { return m.scarcest }
