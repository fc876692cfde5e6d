package gateway

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

const (
	// rateSmoothing is the weight of one interval in the moving average of the rate.
	rateSmoothing = 0.3
	// rateLifetime is how long a rate reported by another gateway is valid.
	rateLifetime = 3 * time.Second
	// rateScale is the factor between rates and their transmitted form.
	rateScale = 1000
)

func encodeRate(rate float64) uint32 { return uint32(max(rate, 0) * rateScale) }

func decodeRate(rate uint32) float64 { return float64(rate) / rateScale }

// demandTracker estimates how many requests per second callers send to all gateways. A gateway that
// shares loads sums the rates that its peers report; any other uses the total that its source
// reports.
type demandTracker struct {
	mutex sync.Mutex
	// count is the number of this gateway's requests since intervalStart, rate their moving
	// average.
	count         int
	intervalStart time.Duration
	rate          float64
	peers         map[fleet.NodeID]reportedRate
	// sharing is set while this gateway shares loads with the serving gateways.
	sharing       bool
	reportedTotal reportedRate
	plannedLevel  membership.DemandTracker
}

// reportedRate is a rate reported by another gateway.
type reportedRate struct {
	rate float64
	at   time.Duration
}

func newDemandTracker() *demandTracker {
	return &demandTracker{peers: make(map[fleet.NodeID]reportedRate)}
}

// countRequest counts a request to this gateway.
func (d *demandTracker) countRequest() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.count++
}

// measure ends an interval and updates this gateway's rate.
func (d *demandTracker) measure(now time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if elapsed := (now - d.intervalStart).Seconds(); elapsed > 0 {
		d.rate += (float64(d.count)/elapsed - d.rate) * rateSmoothing
	}
	d.count, d.intervalStart = 0, now
}

// ownRate returns the rate of requests to this gateway.
func (d *demandTracker) ownRate() float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.rate
}

// setPeerRate records another gateway's own rate.
func (d *demandTracker) setPeerRate(now time.Duration, node fleet.NodeID, rate float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.peers[node] = reportedRate{rate: rate, at: now}
}

// forget drops a gateway that is gone.
func (d *demandTracker) forget(node fleet.NodeID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.peers, node)
}

// setReportedTotal records the total rate as reported by another gateway. A rate of 0 means
// unknown. While the recorded rate is valid, only a higher one replaces it.
func (d *demandTracker) setReportedTotal(now time.Duration, rate float64) {
	if rate <= 0 {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if now > d.reportedTotal.at+rateLifetime || rate > d.reportedTotal.rate {
		d.reportedTotal = reportedRate{rate: rate, at: now}
	}
}

// setSharing sets whether this gateway shares loads.
func (d *demandTracker) setSharing(sharing bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.sharing = sharing
}

// sharedTotal returns the total rate as reported by the gateways that share loads; 0 if this
// gateway isn't one of them.
func (d *demandTracker) sharedTotal(now time.Duration) float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.sumLocked(now)
}

// sumLocked is sharedTotal with the mutex held.
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

// nodeRates returns the rate of each gateway that shares loads, including this one; nil if this
// gateway isn't one of them.
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

// total returns the best known total rate; 0 if it is unknown.
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

// plannedRate returns the total rate for which roles are planned.
func (d *demandTracker) plannedRate(now time.Duration) float64 {
	total := d.total(now)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.plannedLevel.Observe(now, total)
}
