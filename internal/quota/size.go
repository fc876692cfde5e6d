package quota

import (
	"math"
	"time"
)

const (
	// sizePeriod is the time constant of the moving average of requests' sizes. It spans several long
	// requests at one of 60 nodes, since sizes aren't reported to peers.
	sizePeriod = 10 * time.Second
	// cheapFraction is the fraction of the usual size up to which a request is cheap: at least ten
	// callers are then served for the units of one.
	cheapFraction = 0.1
	// cheapPart bounds what cheap requests may take first, as a fraction of what a priority may use.
	// The rest stays with the others of the priority.
	cheapPart = 0.75
)

// sizeClass divides the requests of a priority by their size.
type sizeClass int

const (
	usualSize sizeClass = iota
	cheapSize
	sizeClassCount
)

// sizeMeter keeps the sizes of the requests of one priority that callers send to this node.
type sizeMeter struct {
	// units is a moving sum of what requests ask for, cheap the part of cheap ones, squares the sum of
	// the squares.
	units   float64
	cheap   float64
	squares float64
	at      time.Duration
}

// ask records a request and returns its class. An amount above limit counts as limit, so that one
// absurd request doesn't make all others cheap for long.
func (m *sizeMeter) ask(now time.Duration, amount, limit float64) sizeClass {
	if now > m.at {
		factor := math.Exp(-(now - m.at).Seconds() / sizePeriod.Seconds())
		m.units, m.cheap, m.squares = m.units*factor, m.cheap*factor, m.squares*factor
		m.at = now
	}
	amount = min(amount, limit)
	if !(amount > 0) {
		return usualSize
	}
	m.units += amount
	m.squares += amount * amount
	if amount > cheapFraction*m.usual() {
		return usualSize
	}
	m.cheap += amount
	return cheapSize
}

// usual returns the mean size by units: that of the request in which a unit is usually asked for. The
// mean by requests would follow many short ones, beside which nothing is cheap.
func (m *sizeMeter) usual() float64 {
	if m.units <= 0 {
		return 0
	}
	return m.squares / m.units
}

// classDemand returns the demand of a class of a priority at all nodes, if its part is the same as here.
func (a *account) classDemand(priority int, class sizeClass) float64 {
	sizes, demand := &a.sizes[priority], a.demand.of(priority)
	if sizes.units <= 0 {
		return demand
	}
	cheap := demand * min(sizes.cheap/sizes.units, 1)
	if class == cheapSize {
		return cheap
	}
	return demand - cheap
}

// classRate returns the part of a priority's rate for one of its classes: cheap requests take what they
// ask for first, up to cheapPart.
func (a *account) classRate(priority int, class sizeClass, rate float64) float64 {
	if class == cheapSize {
		return cheapPart * rate
	}
	return rate - a.cheapUse(priority, rate)
}

// cheapUse returns the units per second of a priority's rate that its cheap requests take first.
func (a *account) cheapUse(priority int, rate float64) float64 {
	return min(a.classDemand(priority, cheapSize), cheapPart*rate)
}
