package gateway

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/nodecapacity"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// Constants of the rates that are planned for by place.
const (
	// risingWeight is the part of one look in a mean rate that rises: a second or two count,
	// since a place's requests are few and their number varies by a sixth from look to look.
	// fallingWeight is that of a falling one: a place whose nodes have vanished is remembered
	// for some ten seconds, so that others are ready before its callers come.
	risingWeight  = 0.1
	fallingWeight = 0.02
	// originStep is the change of a rate, as a part of the planned one, that makes another
	// plan. All nodes look at other moments, and would differ in who serves with each of
	// smaller ones.
	originStep = 0.25
	// leastOrigin is the part of the rate of all under which a place isn't told apart.
	leastOrigin = 0.02
)

// origins knows from which places requests come, and which nodes are under pressure: a node
// that shares loads by what the others tell, any other by its source's word.
type origins struct {
	mutex sync.Mutex
	// source is the rates by another node's word.
	source   map[membership.Location]float64
	sourceAt time.Duration
	means    map[membership.Location]float64
	planned  map[membership.Location]float64

	pressures map[fleet.NodeID]toldPressure
	weights   map[fleet.NodeID]float64
}

// toldPressure is the word on a node's pressure.
type toldPressure struct {
	pressure nodecapacity.Pressure
	// measured is when it was measured, by this node's clock.
	measured time.Duration
}

func newOrigins() *origins {
	return &origins{
		means:     make(map[membership.Location]float64),
		pressures: make(map[fleet.NodeID]toldPressure),
	}
}

// told takes in another node's word on the rates by place. No rates say nothing.
func (o *origins) told(now time.Duration, rates map[membership.Location]float64) {
	if len(rates) == 0 {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.source, o.sourceAt = rates, now
}

// rates returns the last word of another node, if it isn't too old.
func (o *origins) rates(now time.Duration) map[membership.Location]float64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if now > o.sourceAt+rateValid {
		return nil
	}
	return o.source
}

// plan takes in the rates at one look and returns those to plan for; the same map as long as
// none has changed much.
func (o *origins) plan(rates map[membership.Location]float64) map[membership.Location]float64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for place := range rates {
		if _, known := o.means[place]; !known {
			o.means[place] = 0
		}
	}
	total := 0.0
	for place, mean := range o.means {
		weight := risingWeight
		if rates[place] < mean {
			weight = fallingWeight
		}
		o.means[place] = mean + (rates[place]-mean)*weight
		total += o.means[place]
	}
	if o.outdated(total) {
		o.planned = make(map[membership.Location]float64, len(o.means))
		for place, mean := range o.means {
			if mean > leastOrigin*total {
				o.planned[place] = mean
			}
		}
	}
	return o.planned
}

// outdated tells whether a mean rate differs much from the planned one; the mutex is held.
func (o *origins) outdated(total float64) bool {
	for place, mean := range o.means {
		planned := o.planned[place]
		if math.Abs(mean-planned) > originStep*max(planned, leastOrigin*total) {
			return true
		}
	}
	return false
}

// press takes in a node's pressure, measured at a time by this node's clock. The newer word
// counts.
func (o *origins) press(measured time.Duration, node fleet.NodeID, pressure nodecapacity.Pressure) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if known, found := o.pressures[node]; found && known.measured > measured {
		return
	}
	o.pressures[node] = toldPressure{pressure: pressure, measured: measured}
}

// pressed returns the nodes under pressure by words that aren't too old, and forgets others.
func (o *origins) pressed(now time.Duration) map[fleet.NodeID]toldPressure {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	pressed := make(map[fleet.NodeID]toldPressure)
	for node, told := range o.pressures {
		switch {
		case now > told.measured+rateValid:
			delete(o.pressures, node)
		case told.pressure != nodecapacity.Free:
			pressed[node] = told
		}
	}
	return pressed
}

// silent tells whether a node is said to be unreachable.
func (o *origins) silent(now time.Duration, node fleet.NodeID) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	told, found := o.pressures[node]
	return found && told.pressure == unreachable && now <= told.measured+rateValid
}

// planWeights returns by which part of their capacity nodes under pressure count; the same
// map as long as nothing has changed.
func (o *origins) planWeights(now time.Duration) map[fleet.NodeID]float64 {
	weights := make(map[fleet.NodeID]float64)
	for node, told := range o.pressed(now) {
		// A silent node's neighbours may be lost as well, unheard: none is taken in its
		// place before the membership knows.
		if told.pressure != unreachable {
			weights[node] = told.pressure.Weight()
		}
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !maps.Equal(weights, o.weights) {
		o.weights = weights
	}
	return o.weights
}

// originRates returns from which places requests come, as far as this node knows.
func (g *Gateway) originRates(now time.Duration) map[membership.Location]float64 {
	rates := g.demand.nodeRates(now, g.node)
	if rates == nil {
		return g.origins.rates(now)
	}
	view := g.peers.View()
	taken := make(map[membership.Location]float64)
	for node, rate := range rates {
		if member, found := view.Find(node); found && rate > 0 {
			taken[membership.Location{Region: member.Region, Zone: member.Zone}] += rate
		}
	}
	if roles := g.roles.Load(); roles != nil {
		return roles.DemandByOrigin(taken)
	}
	return taken
}

// originReport returns what this node tells those that watch it, or whom it watches.
func (g *Gateway) originReport(now time.Duration) ([]*rpc.PlaceRate, []*rpc.NodePressure) {
	var places []*rpc.PlaceRate
	for place, rate := range g.originRates(now) {
		places = append(places, &rpc.PlaceRate{Region: string(place.Region), Zone: string(place.Zone), Rate: encodeRate(rate)})
	}
	var nodes []*rpc.NodePressure
	for node, told := range g.origins.pressed(now) {
		nodes = append(nodes, &rpc.NodePressure{
			Node: string(node), Pressure: uint32(told.pressure), AgeMillis: uint32(max(now-told.measured, 0).Milliseconds()),
		})
	}
	return places, nodes
}

// takeOrigins takes in what another node tells of places and pressures. A word without a
// summed rate comes from a node that doesn't know the rates itself.
func (g *Gateway) takeOrigins(now time.Duration, places []*rpc.PlaceRate, nodes []*rpc.NodePressure) {
	rates := make(map[membership.Location]float64, len(places))
	for _, told := range places {
		place := membership.Location{Region: fleet.RegionName(told.GetRegion()), Zone: fleet.ZoneName(told.GetZone())}
		rates[place] = decodeRate(told.GetRate())
	}
	g.origins.told(now, rates)
	for _, told := range nodes {
		measured := now - time.Duration(told.GetAgeMillis())*time.Millisecond
		g.origins.press(measured, fleet.NodeID(told.GetNode()), decodePressure(told.GetPressure()))
	}
}

// decodePressure reads a pressure, or the word that a node is unreachable, from its transmitted
// form; one that this node doesn't know counts as the highest.
func decodePressure(encoded uint32) nodecapacity.Pressure {
	return nodecapacity.Pressure(min(encoded, uint32(unreachable)))
}
