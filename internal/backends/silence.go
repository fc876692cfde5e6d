package backends

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// ObserveProbe records that a worker is being probed. It gets no requests until it answers or the
// probe times out.
func (r *Registry) ObserveProbe(now, timeout time.Duration, id fleet.EngineID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if state := r.workers[id]; state != nil {
		state.probedUntil = now + timeout
	}
}

// ObserveSilence records that an engine is silent. It gets no requests, except one at a time to try
// it again, until it is heard.
func (r *Registry) ObserveSilence(now time.Duration, id fleet.EngineID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if state := r.workers[id]; state != nil {
		state.silence.Start(now)
		state.lastContact = 0
	}
}

// ObserveContact records a sign of life from an engine, which ends its silence.
func (r *Registry) ObserveContact(now time.Duration, id fleet.EngineID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if state := r.workers[id]; state != nil {
		state.probedUntil, state.lastContact = 0, now
		state.silence.End()
	}
}

// ObserveRelayedSign records that another node has heard an engine.
func (r *Registry) ObserveRelayedSign(now time.Duration, id fleet.EngineID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if state := r.workers[id]; state != nil {
		state.silence.Hint(now)
	}
}

// Worker returns the current run of a worker.
func (r *Registry) Worker(id fleet.EngineID) (Worker, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state := r.workers[id]
	if state == nil {
		return Worker{}, false
	}
	return state.worker, true
}

// AddPeerSuspects adds workers to the suspects in a peer's last report, if there is one.
func (r *Registry) AddPeerSuspects(node fleet.NodeID, suspects []fleet.EngineID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	report := r.peers.reports[node]
	if report == nil {
		return
	}
	for _, id := range suspects {
		if slices.Contains(report.Suspects, id) {
			continue
		}
		report.Suspects = append(report.Suspects, id)
		if report.included && r.peers.validUntil > 0 {
			r.peers.totals.entry(id).suspecting++
		}
	}
}
