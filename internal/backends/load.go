package backends

import (
	"cmp"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Load is one node's requests at one worker.
type Load struct {
	Engine fleet.EngineID
	// InFlight counts the requests sent and not ended.
	InFlight int
	// PrefillTokens is the prompt work of those that haven't begun to answer.
	PrefillTokens int
}

// peerLoad is another node's word on its load.
type peerLoad struct {
	at    time.Duration
	loads map[fleet.EngineID]Load
}

// OwnLoad returns this node's load, workers without any left out.
func (r *Registry) OwnLoad() []Load {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var loads []Load
	for id, known := range r.workers {
		if known.inFlight > 0 {
			loads = append(loads, Load{Engine: id, InFlight: known.inFlight, PrefillTokens: known.prefill})
		}
	}
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(a.Engine, b.Engine) })
	return loads
}

// InFlight returns the requests in flight at a worker, over all nodes.
func (r *Registry) InFlight(now time.Duration, id fleet.EngineID) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.workers[id]
	if known == nil {
		return 0
	}
	return r.total(now, known).InFlight
}

// ObservePeer takes in another node's load.
func (r *Registry) ObservePeer(now time.Duration, node fleet.NodeID, loads []Load) {
	byEngine := make(map[fleet.EngineID]Load, len(loads))
	for _, load := range loads {
		byEngine[load.Engine] = load
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.peers[node] = peerLoad{at: now, loads: byEngine}
}

// SetPeers says how many other nodes there are: where only some of them have
// told their load lately, these stand for all.
func (r *Registry) SetPeers(count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.peerCount = count
}

// ForgetPeer drops what a node that is gone has said.
func (r *Registry) ForgetPeer(node fleet.NodeID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.peers, node)
}

// total returns the load of a worker over all nodes; the mutex is held.
func (r *Registry) total(now time.Duration, known *state) Load {
	total := Load{Engine: known.worker.ID, InFlight: known.inFlight, PrefillTokens: known.prefill}
	heard, inFlight, prefill := 0, 0, 0
	for _, peer := range r.peers {
		if now > peer.at+peerLoadValid {
			continue
		}
		heard++
		load := peer.loads[known.worker.ID]
		inFlight += load.InFlight
		prefill += load.PrefillTokens
	}
	if heard == 0 {
		return total
	}
	count := max(r.peerCount, heard)
	total.InFlight += inFlight * count / heard
	total.PrefillTokens += prefill * count / heard
	return total
}
