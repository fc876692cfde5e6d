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
	// risingSmoothing is the part of one look in a mean rate that rises: a second or two count,
	// since a place's requests are few and their number varies by a sixth from look to look.
	// fallingWeight is that of a falling one: a place whose nodes have vanished is remembered
	// for some ten seconds, so that others are ready before its callers come.
	risingSmoothing  = 0.1
	fallingSmoothing = 0.02
	// replanThreshold is the change of a rate, as a part of the planned one, that makes another
	// plan. All nodes look at other moments, and would differ in who serves with each of
	// smaller ones.
	replanThreshold = 0.25
	// minOriginShare is the part of the rate of all under which a place isn't told apart.
	minOriginShare = 0.02
)

// originTracker knows from which places requests come, and which nodes are under pressure: a node
// that shares loads by what the others tell, any other by its source's word.
type originTracker struct {
	mutex sync.Mutex
	// reported is the rates by another node's word.
	reported     map[membership.Location]float64
	reportedAt   time.Duration
	meanRates    map[membership.Location]float64
	plannedRates map[membership.Location]float64

	pressures map[fleet.NodeID]reportedPressure
	weights   map[fleet.NodeID]float64
}

// reportedPressure is the word on a node's pressure.
type reportedPressure struct {
	pressure nodecapacity.Pressure
	// measured is when it was measured, by this node's clock.
	measured time.Duration
}

func newOriginTracker() *originTracker {
	return &originTracker{
		meanRates: make(map[membership.Location]float64),
		pressures: make(map[fleet.NodeID]reportedPressure),
	}
}

// reportRates takes in another node's word on the rates by place. No rates say nothing.
func (o *originTracker) reportRates(now time.Duration, rates map[membership.Location]float64) {
	if len(rates) == 0 {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.reported, o.reportedAt = rates, now
}

// reportedRates returns the last word of another node, if it isn't too old.
func (o *originTracker) reportedRates(now time.Duration) map[membership.Location]float64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if now > o.reportedAt+rateLifetime {
		return nil
	}
	return o.reported
}

// plan takes in the rates at one look and returns those to plan for; the same map as long as
// none has changed much.
func (o *originTracker) plan(rates map[membership.Location]float64) map[membership.Location]float64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for place := range rates {
		if _, known := o.meanRates[place]; !known {
			o.meanRates[place] = 0
		}
	}
	total := 0.0
	for place, mean := range o.meanRates {
		weight := risingSmoothing
		if rates[place] < mean {
			weight = fallingSmoothing
		}
		o.meanRates[place] = mean + (rates[place]-mean)*weight
		total += o.meanRates[place]
	}
	if o.needsReplan(total) {
		o.plannedRates = make(map[membership.Location]float64, len(o.meanRates))
		for place, mean := range o.meanRates {
			if mean > minOriginShare*total {
				o.plannedRates[place] = mean
			}
		}
	}
	return o.plannedRates
}

// needsReplan tells whether a mean rate differs much from the planned one; the mutex is held.
func (o *originTracker) needsReplan(total float64) bool {
	for place, mean := range o.meanRates {
		planned := o.plannedRates[place]
		if math.Abs(mean-planned) > replanThreshold*max(planned, minOriginShare*total) {
			return true
		}
	}
	return false
}

// setPressure takes in a node's pressure, measured at a time by this node's clock. The newer word
// counts.
func (o *originTracker) setPressure(measured time.Duration, node fleet.NodeID, pressure nodecapacity.Pressure) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if known, found := o.pressures[node]; found && known.measured > measured {
		return
	}
	o.pressures[node] = reportedPressure{pressure: pressure, measured: measured}
}

// nodesUnderPressure returns the nodes under pressure by words that aren't too old, and forgets others.
func (o *originTracker) nodesUnderPressure(now time.Duration) map[fleet.NodeID]reportedPressure {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	pressed := make(map[fleet.NodeID]reportedPressure)
	for node, told := range o.pressures {
		switch {
		case now > told.measured+rateLifetime:
			delete(o.pressures, node)
		case told.pressure != nodecapacity.Free:
			pressed[node] = told
		}
	}
	return pressed
}

// isUnreachable tells whether a node is said to be unreachable.
func (o *originTracker) isUnreachable(now time.Duration, node fleet.NodeID) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	told, found := o.pressures[node]
	return found && told.pressure == unreachable && now <= told.measured+rateLifetime
}

// capacityWeights returns by which part of their capacity nodes under pressure count; the same
// map as long as nothing has changed.
func (o *originTracker) capacityWeights(now time.Duration) map[fleet.NodeID]float64 {
	weights := make(map[fleet.NodeID]float64)
	for node, told := range o.nodesUnderPressure(now) {
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
		return g.origins.reportedRates(now)
	}
	view := g.peers.View()
	taken := make(map[membership.Location]float64)
	for node, rate := range rates {
		if member, found := view.Find(node); found && rate > 0 {
			taken[membership.Location{Region: member.Region, Zone: member.Zone}] += rate
		}
	}
	if roles := g.roles.Load(); roles != nil {
		return roles.Origins(taken)
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
	for node, told := range g.origins.nodesUnderPressure(now) {
		nodes = append(nodes, &rpc.NodePressure{
			Node: string(node), Pressure: uint32(told.pressure), AgeMillis: uint32(max(now-told.measured, 0).Milliseconds()),
		})
	}
	return places, nodes
}

// applyOriginReport takes in what another node tells of places and pressures. A word without a
// summed rate comes from a node that doesn't know the rates itself.
func (g *Gateway) applyOriginReport(now time.Duration, places []*rpc.PlaceRate, nodes []*rpc.NodePressure) {
	rates := make(map[membership.Location]float64, len(places))
	for _, told := range places {
		place := membership.Location{Region: fleet.RegionName(told.GetRegion()), Zone: fleet.ZoneName(told.GetZone())}
		rates[place] = decodeRate(told.GetRate())
	}
	g.origins.reportRates(now, rates)
	for _, told := range nodes {
		measured := now - time.Duration(told.GetAgeMillis())*time.Millisecond
		g.origins.setPressure(measured, fleet.NodeID(told.GetNode()), decodePressure(told.GetPressure()))
	}
}

// decodePressure reads a pressure, or the word that a node is unreachable, from its transmitted
// form; one that this node doesn't know counts as the highest.
func decodePressure(encoded uint32) nodecapacity.Pressure {
	return nodecapacity.Pressure(min(encoded, uint32(unreachable)))
}
