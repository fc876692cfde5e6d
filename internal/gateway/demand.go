package gateway

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

// Constants of the demand.
const (
	// rateWeight is the part of one interval in the mean rate.
	rateWeight = 0.3
	// rateValid is how long another node's word on a rate counts.
	rateValid = 3 * time.Second
	// perThousand is the unit of transmitted rates.
	perThousand = 1000
)

func encodeRate(rate float64) uint32 { return uint32(max(rate, 0) * perThousand) }

func decodeRate(rate uint32) float64 { return float64(rate) / perThousand }

// demand knows how many requests callers send a second to all nodes: a node that
// shares loads adds up what the others tell, any other takes its source's word.
type demand struct {
	mutex sync.Mutex
	// count is the number of own requests since countedAt, rate their mean.
	count     int
	countedAt time.Duration
	rate      float64
	peers     map[fleet.NodeID]toldRate
	// sharing is set while this node shares loads with those that serve.
	sharing bool
	source  toldRate
	level   membership.DemandTracker
}

// toldRate is another node's word on a rate.
type toldRate struct {
	rate float64
	at   time.Duration
}

func newDemand() *demand { return &demand{peers: make(map[fleet.NodeID]toldRate)} }

// note counts an own request.
func (d *demand) note() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.count++
}

// measure ends an interval.
func (d *demand) measure(now time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if elapsed := (now - d.countedAt).Seconds(); elapsed > 0 {
		d.rate += (float64(d.count)/elapsed - d.rate) * rateWeight
	}
	d.count, d.countedAt = 0, now
}

// own returns the rate of this node's requests.
func (d *demand) own() float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.rate
}

// peer takes in another node's own rate.
func (d *demand) peer(now time.Duration, node fleet.NodeID, rate float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.peers[node] = toldRate{rate: rate, at: now}
}

// forget drops a node that is gone.
func (d *demand) forget(node fleet.NodeID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.peers, node)
}

// told takes in another node's word on the rate of all. A rate of 0 says nothing.
func (d *demand) told(now time.Duration, rate float64) {
	if rate <= 0 {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if now > d.source.at+rateValid || rate > d.source.rate {
		d.source = toldRate{rate: rate, at: now}
	}
}

// setSharing says whether this node shares loads.
func (d *demand) setSharing(sharing bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.sharing = sharing
}

// summed returns the rate of all by what nodes that share loads tell; 0 where
// this node isn't one of them.
func (d *demand) summed(now time.Duration) float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.sum(now)
}

func (d *demand) sum(now time.Duration) float64 {
	if !d.sharing {
		return 0
	}
	total := d.rate
	for _, peer := range d.peers {
		if now <= peer.at+rateValid {
			total += peer.rate
		}
	}
	return total
}

// nodeRates returns the own rates of the nodes that share loads, this one's included; nil
// where this node isn't one of them.
func (d *demand) nodeRates(now time.Duration, self fleet.NodeID) map[fleet.NodeID]float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.sharing {
		return nil
	}
	rates := map[fleet.NodeID]float64{self: d.rate}
	for node, peer := range d.peers {
		if now <= peer.at+rateValid {
			rates[node] = peer.rate
		}
	}
	return rates
}

// total returns the rate of all as far as this node knows.
func (d *demand) total(now time.Duration) float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.sharing {
		return d.sum(now)
	}
	if now <= d.source.at+rateValid {
		return d.source.rate
	}
	return 0
}

// planned returns the rate to plan the roles for.
func (d *demand) planned(now time.Duration) float64 {
	total := d.total(now)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.level.Observe(now, total)
}
