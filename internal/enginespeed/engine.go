package enginespeed

import (
	"math"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	// maxPeers is the number of peers whose estimates of a run are kept. Their number bounds the
	// memory, and more don't change the median much.
	maxPeers = 12
	// maxPeerSamples bounds the weight of a peer, so that a wrong report doesn't outweigh all
	// others.
	maxPeerSamples = maxMeasurements
)

// engine is what is known of the speed of one run.
type engine struct {
	startTime uint64
	own       [kindCount]measurements
	peers     []peerSpeed
	// combined holds the estimates by the measurements of all nodes, as of combinedAt.
	combined   [kindCount]estimate
	combinedAt time.Duration
	factors    Factors
	// logged holds the factors that Table.Refresh last returned as a change.
	logged   Factors
	reported reportedSpeed
}

// peerSpeed is a peer's latest report on a run.
type peerSpeed struct {
	Speed
	node       fleet.NodeID
	receivedAt time.Duration
}

// samplesAt returns the weight of the report at now.
func (p *peerSpeed) samplesAt(now time.Duration) float64 {
	return decayed(min(p.Samples, maxPeerSamples), now-p.receivedAt)
}

// merge replaces a peer's report. If there are too many, the one with the least weight is dropped.
func (e *engine) merge(now time.Duration, node fleet.NodeID, speed Speed) {
	added := peerSpeed{Speed: speed, node: node, receivedAt: now}
	least := -1
	for index := range e.peers {
		if e.peers[index].node == node {
			e.peers[index] = added
			return
		}
		if least < 0 || e.peers[index].samplesAt(now) < e.peers[least].samplesAt(now) {
			least = index
		}
	}
	switch {
	case len(e.peers) < maxPeers:
		e.peers = append(e.peers, added)
	case e.peers[least].samplesAt(now) <= added.samplesAt(now):
		e.peers[least] = added
	}
}

// combine updates the estimates from the measurements of all nodes.
func (e *engine) combine(now time.Duration) {
	var buffer [maxMeasurements + maxPeers]weightedRatio
	for kind := range kindCount {
		ratios := e.own[kind].appendTo(now, buffer[:0])
		for index := range e.peers {
			if ratio := e.peers[index].Ratios[kind]; ratio > 0 {
				ratios = append(ratios, weightedRatio{ratio: ratio, weight: e.peers[index].samplesAt(now)})
			}
		}
		e.combined[kind] = estimateOf(ratios)
	}
	e.combinedAt = now
}

// weight returns the weight of an estimate at now. All measurements lose weight at the same rate,
// so that the estimate itself doesn't change until the next measurement.
func (e *engine) weight(now time.Duration, kind Kind) float64 {
	return decayed(e.combined[kind].weight, now-e.combinedAt)
}

// hasLapsed reports whether the estimates have too little weight to be of use.
func (e *engine) hasLapsed(now time.Duration) bool {
	return e.weight(now, Prefill) < minWeight && e.weight(now, Step) < minWeight
}

// updateFactors computes the factors relative to the service's usual ratios. Until prefill has been
// measured, the engine is assumed to differ there as it does in its steps.
func (e *engine) updateFactors(now time.Duration, usual [kindCount]float64) {
	step := e.logFactor(now, Step, usual[Step], 0)
	prefill := e.logFactor(now, Prefill, usual[Prefill], step)
	samples := e.weight(now, Prefill)
	if samples < minWeight {
		samples = e.weight(now, Step)
	}
	e.factors = Factors{Prefill: boundedFactor(prefill), Step: boundedFactor(step), Samples: samples}
}

// logFactor returns the logarithm of a factor, with a prior that counts as priorWeight
// measurements.
func (e *engine) logFactor(now time.Duration, kind Kind, usual, prior float64) float64 {
	weight := e.weight(now, kind)
	if weight < minWeight || usual <= 0 {
		return prior
	}
	measured := 0.0
	if e.combined[kind].differsFrom(usual) {
		measured = math.Log(e.combined[kind].median / usual)
	}
	return (weight*measured + priorWeight*prior) / (weight + priorWeight)
}

// differsFrom reports whether most measurements agree that the ratio is below or above a usual one.
func (e *estimate) differsFrom(usual float64) bool {
	return e.low > usual*evenFactor || e.high < usual/evenFactor
}

// boundedFactor returns the factor with the given logarithm.
func boundedFactor(logarithm float64) float64 {
	if math.Abs(logarithm) <= math.Log(evenFactor) {
		return 1
	}
	return min(max(math.Exp(logarithm), 1.0/maxFactor), maxFactor)
}
