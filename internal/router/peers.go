package router

import (
	"context"
	"net/netip"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/peer"
	"github.com/tillerfall/tillerfall/internal/platform"
)

// leaveTimeout limits the announcement of a graceful stop, which dead peers must not delay.
const leaveTimeout = time.Second

// newPeer returns this router's membership peer.
func (r *Router) newPeer() (*peer.Peer, error) {
	node := r.options.Settings.Node
	return peer.New(peer.Options{
		Membership: membership.Options{
			Self:   membership.Member{Node: r.node, Address: r.address, Region: node.Region, Zone: node.Zone},
			Random: newRandom(),
		},
		Seeds:         r.options.Settings.Peers,
		DiscoverSeeds: r.listedRouters,
		Holder:        r.holder,
		Logger:        r.logger,
		Registerer:    r.metrics.registry,
	})
}

// advertisedAddress returns the address at which other nodes reach the router.
func (r *Router) advertisedAddress() fleet.Address {
	if advertised := r.options.Settings.Advertise; advertised != "" {
		return advertised
	}
	return fleet.Address(r.listener.Addr().String())
}

// isUnspecified reports whether an address is the unspecified address, such as 0.0.0.0.
func isUnspecified(address fleet.Address) bool {
	parsed, err := netip.ParseAddrPort(string(address))
	return err == nil && parsed.Addr().IsUnspecified()
}

// listedRouters returns the addresses of other routers in the list of machines.
func (r *Router) listedRouters() []fleet.Address {
	var addresses []fleet.Address
	for _, machine := range r.machines.current() {
		if machine.Kind == platform.MachineRouter && machine.State == platform.MachineLive && machine.Address != r.address {
			addresses = append(addresses, machine.Address)
		}
	}
	return addresses
}

// applyMembership updates the ownership of engines and the lease candidates on each membership
// change.
func (r *Router) applyMembership() error {
	for {
		changed := r.peers.Changed()
		routable := r.peers.View().Routable()
		r.engines.setRouters(routable)
		r.rollout.setRouters(routable)
		r.configFollower.RefreshNodeCount()
		select {
		case <-r.tomb.Dying():
			return nil
		case <-changed:
		}
	}
}

// leaveMembership announces the graceful stop to other routers.
func (r *Router) leaveMembership() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := r.peers.Leave(ctx); err != nil {
		r.logger.Warn().Err(err).Msg("leave_not_confirmed")
	}
}
