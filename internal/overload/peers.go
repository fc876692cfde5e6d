package overload

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
func (c *Controller) ObservePeer(now time.Duration, node fleet.NodeID, uses []Use) {
	c.peers[node] = peerReport{receivedAt: now, uses: uses[:min(len(uses), MaxReported)]}
}

// ForgetPeer drops the report of a peer.
func (c *Controller) ForgetPeer(node fleet.NodeID) { delete(c.peers, node) }

// addPeers adds the valid reports to the totals and drops the others.
func (c *Controller) addPeers(now time.Duration) {
	for node, report := range c.peers {
		if now >= report.receivedAt+reportValidity {
			delete(c.peers, node)
			continue
		}
		for _, use := range report.uses {
			addBounded(c.totals, use.Tenant, amounts{used: use.Used, unmet: use.Unmet})
		}
	}
}
