package gateway

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

// Constants of the demand.
const (
	// rateSmoothing is the part of one interval in the mean rate.
	rateSmoothing = 0.3
	// rateLifetime is how long another node's word on a rate counts.
	rateLifetime = 3 * time.Second
	// rateScale is the unit of transmitted rates.
	rateScale = 1000
)

func encodeRate(rate float64) uint32 { return uint32(max(rate, 0) * rateScale) }

func decodeRate(rate uint32) float64 { return float64(rate) / rateScale }

// demandTracker knows how many requests callers send a second to all nodes: a node that
// shares loads adds up what the others tell, any other takes its source's word.
type demandTracker struct {
	mutex sync.Mutex
	// count is the number of own requests since countedAt, rate their mean.
	count         int
	intervalStart time.Duration
	rate          float64
	peers         map[fleet.NodeID]reportedRate
	// sharing is set while this node shares loads with those that serve.
	sharing       bool
	reportedTotal reportedRate
	level         membership.Demand
}

// reportedRate is another node's word on a rate.
type reportedRate struct {
	rate float64
	at   time.Duration
}

func newDemandTracker() *demandTracker {
	return &demandTracker{peers: make(map[fleet.NodeID]reportedRate)}
}

// countRequest counts an own request.
func (d *demandTracker) countRequest() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.count++
}

// measure ends an interval.
func (d *demandTracker) measure(now time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if elapsed := (now - d.intervalStart).Seconds(); elapsed > 0 {
		d.rate += (float64(d.count)/elapsed - d.rate) * rateSmoothing
	}
	d.count, d.intervalStart = 0, now
}

// ownRate returns the rate of this node's requests.
func (d *demandTracker) ownRate() float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.rate
}

// setPeerRate takes in another node's own rate.
func (d *demandTracker) setPeerRate(now time.Duration, node fleet.NodeID, rate float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.peers[node] = reportedRate{rate: rate, at: now}
}

// forget drops a node that is gone.
func (d *demandTracker) forget(node fleet.NodeID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.peers, node)
}

// reportTotal takes in another node's word on the rate of all. A rate of 0 says nothing.
func (d *demandTracker) reportTotal(now time.Duration, rate float64) {
	if rate <= 0 {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if now > d.reportedTotal.at+rateLifetime || rate > d.reportedTotal.rate {
		d.reportedTotal = reportedRate{rate: rate, at: now}
	}
}

// setSharing says whether this node shares loads.
func (d *demandTracker) setSharing(sharing bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.sharing = sharing
}

// sharedTotal returns the rate of all by what nodes that share loads tell; 0 where
// this node isn't one of them.
func (d *demandTracker) sharedTotal(now time.Duration) float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.sumLocked(now)
}

func (d *demandTracker) sumLocked(now time.Duration) float64 {
	if !d.sharing {
		return 0
	}
	total := d.rate
	for _, peer := range d.peers {
		if now <= peer.at+rateLifetime {
			total += peer.rate
		}
	}
	return total
}

// nodeRates returns the own rates of the nodes that share loads, this one's included; nil
// where this node isn't one of them.
func (d *demandTracker) nodeRates(now time.Duration, self fleet.NodeID) map[fleet.NodeID]float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.sharing {
		return nil
	}
	rates := map[fleet.NodeID]float64{self: d.rate}
	for node, peer := range d.peers {
		if now <= peer.at+rateLifetime {
			rates[node] = peer.rate
		}
	}
	return rates
}

// total returns the rate of all as far as this node knows.
func (d *demandTracker) total(now time.Duration) float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.sharing {
		return d.sumLocked(now)
	}
	if now <= d.reportedTotal.at+rateLifetime {
		return d.reportedTotal.rate
	}
	return 0
}

// plannedRate returns the rate to plan the roles for.
func (d *demandTracker) plannedRate(now time.Duration) float64 {
	total := d.total(now)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.level.Observe(now, total)
}
