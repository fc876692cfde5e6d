package engineroom

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// reportValidity is how long a peer's report counts. In a large fleet, a node exchanges reports with
// a peer only every few rounds.
const reportValidity = 4 * time.Second

// peerReport is the latest report of a peer.
type peerReport struct {
	receivedAt time.Duration
	uses       []Use
}

// ObservePeer replaces the report of a peer. Tenants beyond MaxReported are ignored.
func (r *Room) ObservePeer(now time.Duration, node fleet.NodeID, uses []Use) {
	r.peers[node] = peerReport{receivedAt: now, uses: uses[:min(len(uses), MaxReported)]}
}

// ForgetPeer drops the report of a peer.
func (r *Room) ForgetPeer(node fleet.NodeID) { delete(r.peers, node) }

// addPeers adds the valid reports to the totals and drops the others.
func (r *Room) addPeers(now time.Duration) {
	for node, report := range r.peers {
		if now >= report.receivedAt+reportValidity {
			delete(r.peers, node)
			continue
		}
		for _, use := range report.uses {
			addBounded(r.totals, use.Tenant, amounts{used: use.Used, unmet: use.Unmet})
		}
	}
}
