package gateway

import (
	"net"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

// frontAddresses returns the front addresses of the serving gateways that callers should use. All
// gateways serve on the same ports.
//
// It returns none while this gateway has just started and knows no other member, since callers then
// keep their addresses. Otherwise, after a power loss, each gateway of a large fleet would return
// itself, and small gateways without knowledge of loads and caches would receive the requests.
func (g *Gateway) frontAddresses(query ResolutionQuery) []fleet.Address {
	if !g.roleSettled.Load() && g.memberCount() == 1 {
		return nil
	}
	_, port, err := net.SplitHostPort(g.settings().FrontAddress)
	if err != nil {
		return nil
	}
	var addresses []fleet.Address
	from := membership.Location{Region: query.Region, Zone: query.Zone}
	for _, member := range g.roles.Load().RoutersFor(from, g.node, g.isReachable) {
		if member.Node == g.node && !g.isReady() {
			continue
		}
		if host, _, err := net.SplitHostPort(string(member.Address)); err == nil {
			addresses = append(addresses, fleet.Address(net.JoinHostPort(host, port)))
		}
	}
	return addresses
}

// isReachable reports whether callers can be sent to a member, as far as this gateway knows.
func (g *Gateway) isReachable(member membership.Member) bool {
	if member.Node == g.node {
		return g.isReady()
	}
	current, found := g.peers.View().Find(member.Node)
	return found && current.State == membership.Alive && !g.origins.isUnreachable(g.now(), member.Node)
}
