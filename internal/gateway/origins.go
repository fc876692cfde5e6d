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

const (
	// risingSmoothing is the weight of one sample in the moving average of a rising rate. It
	// averages over a second or two, since the few requests of a location vary by
	// about a sixth between samples.
	risingSmoothing = 0.1
	// fallingSmoothing is the weight of one sample in the moving average of a falling rate. A
	// location whose gateways have vanished is remembered for about ten seconds, so that other
	// gateways are ready for its callers.
	fallingSmoothing = 0.02
	// replanThreshold is the relative change of a rate that causes a new plan. Gateways sample at
	// different moments and would disagree on the serving gateways after smaller changes.
	replanThreshold = 0.25
	// minOriginShare is the share of the total rate below which a location is not planned for
	// separately.
	minOriginShare = 0.02
)

// originTracker tracks the locations from which requests come and the gateways under pressure. A
// gateway that shares loads uses the reports of its peers; any other uses those of its source.
type originTracker struct {
	mutex sync.Mutex
	// reported holds the rates by location as reported by another gateway.
	reported     map[membership.Location]float64
	reportedAt   time.Duration
	meanRates    map[membership.Location]float64
	plannedRates map[membership.Location]float64

	pressures map[fleet.NodeID]reportedPressure
	factors   map[fleet.NodeID]float64
}

// reportedPressure is a gateway's pressure as reported by itself or by another gateway.
type reportedPressure struct {
	pressure nodecapacity.Pressure
	// measured is when it was measured, on this gateway's clock.
	measured time.Duration
}

func newOriginTracker() *originTracker {
	return &originTracker{
		meanRates: make(map[membership.Location]float64),
		pressures: make(map[fleet.NodeID]reportedPressure),
	}
}

// setReportedRates records the rates by location that another gateway reports. Empty rates are
// ignored.
func (o *originTracker) setReportedRates(now time.Duration, rates map[membership.Location]float64) {
	if len(rates) == 0 {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.reported, o.reportedAt = rates, now
}

// reportedRates returns the last rates that another gateway reported, or nil if they are too old.
func (o *originTracker) reportedRates(now time.Duration) map[membership.Location]float64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if now > o.reportedAt+rateLifetime {
		return nil
	}
	return o.reported
}

// plan adds a sample of the rates and returns those to plan for. It returns the same map until a
// rate has changed by more than replanThreshold.
func (o *originTracker) plan(rates map[membership.Location]float64) map[membership.Location]float64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for location := range rates {
		if _, known := o.meanRates[location]; !known {
			o.meanRates[location] = 0
		}
	}
	total := 0.0
	for location, mean := range o.meanRates {
		weight := risingSmoothing
		if rates[location] < mean {
			weight = fallingSmoothing
		}
		o.meanRates[location] = mean + (rates[location]-mean)*weight
		total += o.meanRates[location]
	}
	if o.needsReplan(total) {
		o.plannedRates = make(map[membership.Location]float64, len(o.meanRates))
		for location, mean := range o.meanRates {
			if mean > minOriginShare*total {
				o.plannedRates[location] = mean
			}
		}
	}
	return o.plannedRates
}

// needsReplan reports whether a moving average differs too much from its planned rate. The caller
// holds the mutex.
func (o *originTracker) needsReplan(total float64) bool {
	for location, mean := range o.meanRates {
		planned := o.plannedRates[location]
		if math.Abs(mean-planned) > replanThreshold*max(planned, minOriginShare*total) {
			return true
		}
	}
	return false
}

// setPressure records a gateway's pressure, measured at a time on this gateway's clock. It ignores
// measurements older than the known one.
func (o *originTracker) setPressure(measured time.Duration, node fleet.NodeID, pressure nodecapacity.Pressure) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if known, found := o.pressures[node]; found && known.measured > measured {
		return
	}
	o.pressures[node] = reportedPressure{pressure: pressure, measured: measured}
}

// nodesUnderPressure returns the gateways under pressure and drops reports that have expired.
func (o *originTracker) nodesUnderPressure(now time.Duration) map[fleet.NodeID]reportedPressure {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	underPressure := make(map[fleet.NodeID]reportedPressure)
	for node, report := range o.pressures {
		switch {
		case now > report.measured+rateLifetime:
			delete(o.pressures, node)
		case report.pressure != nodecapacity.Free:
			underPressure[node] = report
		}
	}
	return underPressure
}

// isUnreachable reports whether a gateway was last reported as unreachable.
func (o *originTracker) isUnreachable(now time.Duration, node fleet.NodeID) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	report, found := o.pressures[node]
	return found && report.pressure == pressureUnreachable && now <= report.measured+rateLifetime
}

// capacityFactors returns, for each gateway under pressure, the factor by which its planned
// capacity is multiplied. It returns the same map while nothing changes.
func (o *originTracker) capacityFactors(now time.Duration) map[fleet.NodeID]float64 {
	factors := make(map[fleet.NodeID]float64)
	for node, report := range o.nodesUnderPressure(now) {
		// Gateways near an unreachable one may be lost as well. It is replaced only after the
		// membership has removed it.
		if report.pressure != pressureUnreachable {
			factors[node] = report.pressure.Weight()
		}
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !maps.Equal(factors, o.factors) {
		o.factors = factors
	}
	return o.factors
}

// originRates returns the request rates by location, as far as this gateway knows them.
func (g *Gateway) originRates(now time.Duration) map[membership.Location]float64 {
	rates := g.demand.nodeRates(now, g.node)
	if rates == nil {
		return g.origins.reportedRates(now)
	}
	view := g.peers.View()
	byLocation := make(map[membership.Location]float64)
	for node, rate := range rates {
		if member, found := view.Find(node); found && rate > 0 {
			byLocation[membership.Location{Region: member.Region, Zone: member.Zone}] += rate
		}
	}
	if roles := g.roles.Load(); roles != nil {
		return roles.DemandByOrigin(byLocation)
	}
	return byLocation
}

// originReport returns the rates and pressures that this gateway reports to the gateways that watch
// it and to those it watches.
func (g *Gateway) originReport(now time.Duration) ([]*rpc.PlaceRate, []*rpc.NodePressure) {
	var locationRates []*rpc.PlaceRate
	for location, rate := range g.originRates(now) {
		locationRates = append(locationRates, &rpc.PlaceRate{Region: string(location.Region), Zone: string(location.Zone), Rate: encodeRate(rate)})
	}
	var nodes []*rpc.NodePressure
	for node, report := range g.origins.nodesUnderPressure(now) {
		nodes = append(nodes, &rpc.NodePressure{
			Node: string(node), Pressure: uint32(report.pressure), AgeMillis: uint32(max(now-report.measured, 0).Milliseconds()),
		})
	}
	return locationRates, nodes
}

// applyOriginReport records the rates and pressures that another gateway reports. A gateway that
// doesn't know the rates reports none.
func (g *Gateway) applyOriginReport(now time.Duration, locationRates []*rpc.PlaceRate, nodes []*rpc.NodePressure) {
	rates := make(map[membership.Location]float64, len(locationRates))
	for _, report := range locationRates {
		location := membership.Location{Region: fleet.RegionName(report.GetRegion()), Zone: fleet.ZoneName(report.GetZone())}
		rates[location] = decodeRate(report.GetRate())
	}
	g.origins.setReportedRates(now, rates)
	for _, report := range nodes {
		measured := now - time.Duration(report.GetAgeMillis())*time.Millisecond
		g.origins.setPressure(measured, fleet.NodeID(report.GetNode()), decodePressure(report.GetPressure()))
	}
}

// decodePressure decodes a transmitted pressure, or unreachable. Unknown values count as the
// highest.
func decodePressure(encoded uint32) nodecapacity.Pressure {
	return nodecapacity.Pressure(min(encoded, uint32(pressureUnreachable)))
}
