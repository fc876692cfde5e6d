package gateway

import (
	"sync"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/nodecapacity"
)

// silentAfter is the number of failed exchanges in a row after which a node counts as
// unreachable: one may
// fail by a lost packet or a moment's work, and a node that is off fails two within some 1.4 s.
const silentAfter = 2

// unreachable is said of a node by others, in the place of its own word on its pressure.
const unreachable = nodecapacity.Full + 1

// silences counts the exchanges with other nodes that have failed in a row.
type silences struct {
	mutex  sync.Mutex
	failed map[fleet.NodeID]int
}

func newSilences() *silences { return &silences{failed: make(map[fleet.NodeID]int)} }

// forget drops a node that is gone.
func (s *silences) forget(node fleet.NodeID) { s.note(node, true) }

// note takes in how an exchange went and tells whether the node counts as unreachable now.
func (s *silences) note(node fleet.NodeID, answered bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if answered {
		delete(s.failed, node)
		return false
	}
	s.failed[node]++
	return s.failed[node] >= silentAfter
}

// noteExchange takes in how an exchange with another node went. A node that doesn't answer is
// told to be unreachable with this node's watches until it does, so that within some three
// seconds of a loss nodes at rest name it to no caller. By the membership's gossip alone the last
// of many nodes knows of a loss of many after twice that time.
func (g *Gateway) noteExchange(node fleet.NodeID, answered bool) {
	if g.unresponsivePeers.note(node, answered) && !g.isStopping() {
		g.origins.press(g.now(), node, unreachable)
		g.events.line("node_silent").Str("peer", string(node)).Msg("node_silent")
	}
}
