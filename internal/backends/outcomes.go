package backends

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	// rejectionMemory is how long after a worker's last rejection its outcomes are reported.
	rejectionMemory = 5 * time.Second
	// maxReportedOutcomes bounds the workers in a report, which bounds its bytes.
	maxReportedOutcomes = 64
	// peerOutcomeWeight is the weight of one outcome at another node in the moving average of
	// failures. It is less than that of this node's own, since a worker may reject the requests of
	// some nodes only.
	peerOutcomeWeight = 0.1
	// maxPeerOutcomes bounds the outcomes of one worker that a report adds.
	maxPeerOutcomes = 8
)

// Outcomes counts how one node's requests have ended at a worker since it began to reject some.
type Outcomes struct {
	Worker   fleet.EngineID
	Rejected uint32
	Served   uint32
}

// outcomeCounts counts the outcomes of a worker's requests at this node.
type outcomeCounts struct {
	rejected, served uint32
	lastRejectionAt  time.Duration
}

// recordRejection counts a rejection for the reports to other nodes. The mutex must be held.
func (r *Registry) recordRejection(now time.Duration, state *workerState) {
	state.outcomes.rejected++
	state.outcomes.lastRejectionAt = now
	r.rejecting[state.worker.ID] = true
}

// recordServed counts a success at a worker that has rejected requests of late.
func (s *workerState) recordServed() {
	if s.outcomes.rejected > 0 {
		s.outcomes.served++
	}
}

// OwnOutcomes returns the outcomes at the workers that have rejected requests of this node of late,
// those with the most rejections first.
func (r *Registry) OwnOutcomes(now time.Duration) []Outcomes {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var outcomes []Outcomes
	for id := range r.rejecting {
		state := r.workers[id]
		if state == nil || state.outcomes.rejected == 0 || now >= state.outcomes.lastRejectionAt+rejectionMemory {
			r.endRejections(id, state)
			continue
		}
		outcomes = append(outcomes, Outcomes{Worker: id, Rejected: state.outcomes.rejected, Served: state.outcomes.served})
	}
	slices.SortFunc(outcomes, func(a, b Outcomes) int {
		return cmp.Or(cmp.Compare(b.Rejected, a.Rejected), cmp.Compare(a.Worker, b.Worker))
	})
	return outcomes[:min(len(outcomes), maxReportedOutcomes)]
}

// endRejections stops counting the outcomes of a worker, whose state is nil if it was forgotten.
func (r *Registry) endRejections(id fleet.EngineID, state *workerState) {
	delete(r.rejecting, id)
	if state != nil {
		state.outcomes = outcomeCounts{}
	}
}

// observePeerOutcomes applies what has been added to a peer's outcomes since its report before. The
// mutex must be held.
func (r *Registry) observePeerOutcomes(now time.Duration, node fleet.NodeID, outcomes []Outcomes) {
	previous := r.peerOutcomes[node]
	if len(outcomes) == 0 {
		delete(r.peerOutcomes, node)
		return
	}
	latest := make(map[fleet.EngineID]Outcomes, len(outcomes))
	for _, current := range outcomes {
		latest[current.Worker] = current
		state := r.workers[current.Worker]
		if state == nil {
			continue
		}
		before := previous[current.Worker]
		if current.Rejected < before.Rejected || current.Served < before.Served {
			before = Outcomes{}
		}
		state.recordPeerOutcomes(now, current.Rejected-before.Rejected, current.Served-before.Served)
	}
	r.peerOutcomes[node] = latest
}

// recordPeerOutcomes adds outcomes at another node to the failure rate.
func (s *workerState) recordPeerOutcomes(now time.Duration, rejected, served uint32) {
	total := float64(rejected) + float64(served)
	if total == 0 {
		return
	}
	rate := s.failureRate(now)
	weight := 1 - math.Pow(1-peerOutcomeWeight, min(total, maxPeerOutcomes))
	s.failureMean = rate + (float64(rejected)/total-rate)*weight
	s.failureMeanAt = now
}
