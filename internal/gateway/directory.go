package gateway

import (
	"net"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

// frontAddresses returns where a caller that asks finds the gateways that serve; none while
// this node has just started and knows itself alone, since callers then keep the addresses
// that they have. If each node of a large fleet named itself after a loss of power,
// small nodes that know neither loads nor caches would carry the requests. All gateways
// serve on the same ports.
func (g *Gateway) frontAddresses(query ResolutionQuery) []fleet.Address {
	if !g.settled.Load() && g.memberCount() == 1 {
		return nil
	}
	_, port, err := net.SplitHostPort(g.settings().FrontAddress)
	if err != nil {
		return nil
	}
	var addresses []fleet.Address
	from := membership.Location{Region: query.Region, Zone: query.Zone}
	for _, member := range g.roles.Load().RoutersFor(from, g.node, g.reachable) {
		if member.Node == g.node && !g.ready() {
			continue
		}
		if host, _, err := net.SplitHostPort(string(member.Address)); err == nil {
			addresses = append(addresses, fleet.Address(net.JoinHostPort(host, port)))
		}
	}
	return addresses
}

// reachable tells whether callers can be sent to a member, as far as this node knows.
func (g *Gateway) reachable(member membership.Member) bool {
	if member.Node == g.node {
		return g.ready()
	}
	current, found := g.peers.View().Find(member.Node)
	return found && current.State == membership.Alive && !g.origins.silent(g.now(), member.Node)
}
