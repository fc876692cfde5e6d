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
	id        fleet.EngineID
	startTime uint64
	own       [kindCount]measurements
	peers     []peerSpeed
	// combined holds the estimates by the measurements of all nodes, as of combinedAt.
	combined   [kindCount]estimate
	combinedAt time.Duration
	// weights holds the weights of the estimates as of the last change or refresh.
	weights [kindCount]float64
	factors Factors
	// logged holds the factors that Table.Refresh last returned as a change.
	logged   Factors
	reported reportedSpeed
	// dropped is set once the table no longer holds the entry.
	dropped bool
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
	e.updateWeights(now)
}

// updateWeights computes the weights of the estimates at now. All measurements lose weight at the
// same rate, so that the estimates themselves don't change until the next measurement.
func (e *engine) updateWeights(now time.Duration) {
	left := decayed(1, now-e.combinedAt)
	for kind := range kindCount {
		e.weights[kind] = e.combined[kind].weight * left
	}
}

// hasLapsed reports whether the estimates have too little weight to be of use.
func (e *engine) hasLapsed() bool {
	return e.weights[Prefill] < minWeight && e.weights[Step] < minWeight
}

// updateFactors computes the factors relative to the service's usual ratios. Until prefill has been
// measured, the engine is assumed to differ there as it does in its steps.
func (e *engine) updateFactors(usual [kindCount]float64) {
	step := e.logFactor(Step, usual[Step], 0)
	prefill := e.logFactor(Prefill, usual[Prefill], step)
	samples := e.weights[Prefill]
	if samples < minWeight {
		samples = e.weights[Step]
	}
	e.factors = Factors{Prefill: boundedFactor(prefill), Step: boundedFactor(step), Samples: samples}
}

// logFactor returns the logarithm of a factor, with a prior that counts as priorWeight
// measurements.
func (e *engine) logFactor(kind Kind, usual, prior float64) float64 {
	weight := e.weights[kind]
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

// logEvenFactor is computed once, since all factors are compared with it at each refresh.
var logEvenFactor = math.Log(evenFactor)

// boundedFactor returns the factor with the given logarithm.
func boundedFactor(logarithm float64) float64 {
	if math.Abs(logarithm) <= logEvenFactor {
		return 1
	}
	return min(max(math.Exp(logarithm), 1.0/maxFactor), maxFactor)
}
