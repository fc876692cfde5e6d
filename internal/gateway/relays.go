package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/traffic"
	"github.com/tillerfall/tillerfall/internal/tunnel"
)

const (
	// relayBackoff is how long a gateway that opened no tunnel isn't asked again.
	relayBackoff = 500 * time.Millisecond
	// unsupportedRelayBackoff is the same for one whose release knows no tunnels.
	unsupportedRelayBackoff = 30 * time.Second
)

// relayCandidate is a gateway that may be asked for a tunnel.
type relayCandidate struct {
	node     fleet.NodeID
	address  fleet.Address
	distance traffic.Distance
}

// relays holds which gateways aren't asked for tunnels at the moment. It is safe for concurrent use.
type relays struct {
	mutex sync.Mutex
	// skippedUntil holds until when a gateway isn't asked.
	skippedUntil map[fleet.NodeID]time.Duration
}

func newRelays() *relays { return &relays{skippedUntil: make(map[fleet.NodeID]time.Duration)} }

// candidates returns the members to ask for a tunnel in this order: those of this region before others,
// otherwise in random order, so that the tunnels of a partitioned gateway spread over the others.
func (r *relays) candidates(now time.Duration, limit int, members []relayCandidate) []relayCandidate {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	usable := make([]relayCandidate, 0, len(members))
	for _, member := range members {
		if now >= r.skippedUntil[member.node] {
			usable = append(usable, member)
		}
	}
	rand.Shuffle(len(usable), func(a, b int) { usable[a], usable[b] = usable[b], usable[a] })
	slices.SortStableFunc(usable, func(a, b relayCandidate) int {
		return int(regionDistance(a.distance)) - int(regionDistance(b.distance))
	})
	return usable[:min(len(usable), limit)]
}

// regionDistance returns the distance without a difference between zones.
func regionDistance(distance traffic.Distance) traffic.Distance {
	if distance == traffic.SameZone {
		return traffic.OtherZone
	}
	return distance
}

// record records the result of asking a gateway. A result that was abandoned says nothing.
func (r *relays) record(now time.Duration, node fleet.NodeID, err error, abandoned bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case err == nil:
		delete(r.skippedUntil, node)
	case errors.Is(err, tunnel.ErrWorkerRefused), errors.Is(err, tunnel.ErrWorkerUnreachable), errors.Is(err, tunnel.ErrNoLink), abandoned:
	case errors.Is(err, tunnel.ErrUnsupported):
		r.skippedUntil[node] = now + unsupportedRelayBackoff
	default:
		r.skippedUntil[node] = now + relayBackoff
	}
}

// isSkipped reports whether a gateway isn't asked at the moment.
func (r *relays) isSkipped(now time.Duration, node fleet.NodeID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return now < r.skippedUntil[node]
}

// availableIn returns the time until a gateway may be asked again, at most relayBackoff.
func (r *relays) availableIn(now time.Duration) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	wait := relayBackoff
	for node, until := range r.skippedUntil {
		if now >= until {
			delete(r.skippedUntil, node)
			continue
		}
		wait = min(wait, until-now)
	}
	return wait
}

// relayMembers returns the gateways that may open tunnels, as the membership knows them.
func (g *Gateway) relayMembers() []relayCandidate {
	view := g.peers.View()
	candidates := make([]relayCandidate, 0, len(view.Routable()))
	for _, member := range view.Routable() {
		if member.Node == g.node || member.State != membership.Alive || g.origins.isUnreachable(g.now(), member.Node) {
			continue
		}
		candidates = append(candidates, relayCandidate{
			node: member.Node, address: member.Address,
			distance: traffic.Between(g.location(), membership.Location{Zone: member.Zone, Region: member.Region}),
		})
	}
	return candidates
}

// keepsRelayed reports whether an idle connection through another gateway may still be used: the link
// to its worker is lost, and the other gateway isn't stopping and has refused no tunnel of late.
func (g *Gateway) keepsRelayed(worker fleet.EngineID, relay fleet.NodeID) bool {
	member, found := g.peers.View().Find(relay)
	return found && member.IsRoutable() && g.links.isLost(worker) && !g.relays.isSkipped(g.now(), relay)
}
