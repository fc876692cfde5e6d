package readmission

import (
	"math"
	"time"
)

// demandPeriod is the time constant of the demand's average: bursts last some seconds.
const demandPeriod = time.Second

// minDemandWeight bounds the rate that the first requests of a burst seem to come at, in seconds.
const minDemandWeight = 0.05

// guaranteedFraction is the part of its even share of the rate that a kind of request gets however
// much the more urgent ones ask for.
const guaranteedFraction = 0.25

// demand is what a tenant's callers have asked this node for lately, in units by priority. Older
// requests count less.
type demand struct {
	units [PriorityCount]float64
	// weight is the seconds that units stands for.
	weight float64
	at     time.Duration
}

func (d *demand) add(now time.Duration, priority int, units float64) {
	if d.weight == 0 {
		d.at = now
	}
	decay := math.Exp(-(now - d.at).Seconds() / demandPeriod.Seconds())
	d.weight = max(d.weight*decay+(1-decay)*demandPeriod.Seconds(), minDemandWeight)
	for level := range d.units {
		d.units[level] *= decay
	}
	d.units[priority] += units
	d.at = now
}

// part returns the part of a rate for the tickets of a priority, in units per second. The more urgent
// requests get what they ask for, the others what is left, and each its guaranteed part.
func (d *demand) part(rate float64, priority int) float64 {
	total := 0.0
	for _, units := range d.units {
		total += units
	}
	if total <= 0 {
		return rate
	}
	guaranteed := func(level int) float64 { return guaranteedFraction * rate * d.units[level] / total }
	left := rate * (1 - guaranteedFraction)
	for level := range priority {
		left -= min(left, max(d.units[level]/d.weight-guaranteed(level), 0))
	}
	return guaranteed(priority) + min(left, max(d.units[priority]/d.weight-guaranteed(priority), 0))
}
