package gateway

import (
	"sync"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/nodecapacity"
)

// unreachableAfter is the number of consecutive failed exchanges after which a gateway counts as
// unreachable. A single one may fail by a lost packet or a short stall.
const unreachableAfter = 2

// pressureUnreachable is a pressure that other gateways report for a gateway that doesn't answer
// them.
const pressureUnreachable = nodecapacity.Full + 1

// peerFailures counts consecutive failed exchanges with each peer. It is safe for concurrent use.
type peerFailures struct {
	mutex       sync.Mutex
	consecutive map[fleet.NodeID]int
}

func newPeerFailures() *peerFailures { return &peerFailures{consecutive: make(map[fleet.NodeID]int)} }

// forget drops a gateway that is gone.
func (f *peerFailures) forget(node fleet.NodeID) { f.record(node, true) }

// record records the result of an exchange and reports whether the gateway now counts as
// unreachable.
func (f *peerFailures) record(node fleet.NodeID, answered bool) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if answered {
		delete(f.consecutive, node)
		return false
	}
	f.consecutive[node]++
	return f.consecutive[node] >= unreachableAfter
}

// recordExchange records the result of an exchange with another gateway. Until an unreachable
// gateway answers again, this gateway's reports to its watchers list it, so that idle gateways stop
// directing callers to it before the membership's gossip has spread its failure.
func (g *Gateway) recordExchange(node fleet.NodeID, answered bool) {
	if answered {
		g.observePeerAnswer()
	}
	if g.unresponsivePeers.record(node, answered) && !g.isStopping() {
		g.origins.setPressure(g.now(), node, pressureUnreachable)
		g.events.line("node_silent").Str("peer", string(node)).Msg("node_silent")
	}
}
