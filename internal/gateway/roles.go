package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

// Times of the roles.
const (
	// rolesInterval is the time between two looks at who does what.
	rolesInterval = 200 * time.Millisecond
	// joinSettled is how long a node that has just started must have seen no new
	// member before it takes its role, and joinGrace after how long it does in any
	// case, if it was told where to find others. At the first start of the whole fleet
	// it takes its role after firstGrace: machines start within some 0.3 s, programs need
	// as long to start on a slow machine, and nobody calls yet.
	joinSettled = 400 * time.Millisecond
	joinGrace   = time.Second
	firstGrace  = 2 * time.Second
	// planAfter is how long after its start a node plans by equal parts of the places and
	// keeps no group's size. After a loss of all nodes each would plan by the little that it has
	// heard, and more would serve than their requests need.
	planAfter = 5 * time.Second
)

// joining tells whether this node has just started and may not know its role yet.
func (g *Gateway) joining(now time.Duration) bool {
	if members := g.memberCount(); members != g.joined.members {
		g.joined = joinedMembers{members: members, at: now}
	}
	grace := joinGrace
	if g.settings().FirstStart {
		grace = firstGrace
	}
	switch {
	case len(g.settings().Seeds) == 0 || g.joined.done || now >= grace:
		g.joined.done = true
	case !g.settings().FirstStart && g.joined.members > 1 && now >= g.joined.at+joinSettled:
		g.joined.done = true
	}
	g.settled.Store(g.joined.done)
	return !g.joined.done
}

// joinedMembers is how many members a node has seen that has just started, and
// since when.
type joinedMembers struct {
	members int
	at      time.Duration
	done    bool
}

// nodeRoles are the roles of all members, and what follows from them for this
// node. It is derived when the members or the planned demand change, and immutable.
type nodeRoles struct {
	*membership.Roles
	// view and demand, in requests a second, are what it was derived from.
	view   *membership.View
	demand float64
	// standsIn is set while this node stands in for the candidates.
	standsIn bool
	// origins and weights are what else it was derived from: the demand by place, and the
	// parts by which nodes under pressure count. least is the least sizes of the serving
	// groups.
	origins map[membership.Location]float64
	weights map[fleet.NodeID]float64
	least   map[membership.Location]int
	// reader is set if it is this node's role to read the store, candidate if it
	// takes the lease of the weights, and sharesLoads if it is among those that tell
	// each other what they send: those that serve, the candidates, and who stands in for
	// these.
	reader      bool
	candidate   bool
	sharesLoads bool
	// others is the number of nodes that callers aren't sent to, if this is one of
	// them.
	others int
	// readerOrder are the nodes that this one asks for the store's rows.
	readerOrder []fleet.NodeID
	// loadPeers are the other nodes that share loads; empty if this one doesn't.
	loadPeers []membership.Member
}

// deriveRoles returns the roles of a view's members at a demand in requests a second.
func deriveRoles(self fleet.NodeID, zone fleet.ZoneName, view *membership.View, demand float64, standsIn bool) *nodeRoles {
	return deriveRolesBy(self, zone, view, demand, standsIn, membership.RoleOptions{})
}

// deriveRolesBy returns the roles by what else is known.
func deriveRolesBy(self fleet.NodeID, zone fleet.ZoneName, view *membership.View, demand float64, standsIn bool,
	options membership.RoleOptions) *nodeRoles {
	all := membership.Assign(view, demand, options)
	candidates := all.Candidates(rolloutLease)
	roles := &nodeRoles{
		Roles: all, view: view, demand: demand, standsIn: standsIn,
		origins: options.DemandByLocation, weights: options.CapacityFactors, least: options.MinServingByLocation,
		reader:      all.IsReader(self),
		candidate:   slices.Contains(candidates, self),
		readerOrder: all.ReaderOrder(zone, self),
	}
	if !all.IsServing(self) {
		roles.others = len(view.Routable()) - len(all.Serving)
	}
	roles.sharesLoads = roles.candidate || standsIn || all.IsServing(self)
	if !roles.sharesLoads {
		return roles
	}
	for _, member := range view.Routable() {
		if member.Node != self && (all.IsServing(member.Node) || slices.Contains(candidates, member.Node)) {
			roles.loadPeers = append(roles.loadPeers, member)
		}
	}
	return roles
}

// roleOptions returns what is planned for besides the demand. A node that has just started
// hears of a few nodes' requests first: it would take one place for the origin of all, and
// keep a group for it that is far too large.
func (g *Gateway) roleOptions(now time.Duration, demand float64, before *nodeRoles) membership.RoleOptions {
	options := membership.RoleOptions{CapacityFactors: g.origins.planWeights(now)}
	origins := g.origins.plan(g.originRates(now))
	if before == nil || now < planAfter {
		return options
	}
	options.DemandByLocation = origins
	options.MinServingByLocation = g.sizes.Observe(now, demand, before.Needed())
	return options
}

// plannedOtherwise tells whether other roles may follow from the options.
func (r *nodeRoles) plannedOtherwise(options membership.RoleOptions) bool {
	return !maps.Equal(r.origins, options.DemandByLocation) || !maps.Equal(r.weights, options.CapacityFactors) || !maps.Equal(r.least, options.MinServingByLocation)
}

// driveRoles keeps this node's part up to date with the membership and the demand.
func (g *Gateway) driveRoles() error {
	for {
		g.noteSuspension()
		now := g.now()
		g.demand.measure(now)
		g.assign(now)
		if !g.pauseOrRest(rolesInterval) {
			return nil
		}
	}
}

// assign puts the roles of the present members in force.
func (g *Gateway) assign(now time.Duration) {
	before := g.roles.Load()
	roles := before
	view, demand, standsIn := g.peers.View(), g.demand.planned(now), g.standIn.Load()
	options := g.roleOptions(now, demand, before)
	if before == nil || before.view != view || before.demand != demand || before.standsIn != standsIn || before.plannedOtherwise(options) {
		roles = deriveRolesBy(g.node, g.settings().Zone, view, demand, standsIn, options)
		g.roles.Store(roles)
		g.demand.setSharing(roles.sharesLoads)
	}
	settled := !g.joining(now)
	reader := roles.reader && settled
	g.sources.setRole(now, sourceRole{settled: settled, reader: reader, order: roles.readerOrder, others: roles.others})
	if serves := roles.IsServing(g.node); before == nil || before.IsServing(g.node) != serves || len(before.Serving) != len(roles.Serving) {
		g.logger.Info().Bool("serves", serves).Int("serving", len(roles.Serving)).Bool("reads", reader).
			Int("members", len(view.Routable())).Float64("request_rate", g.demand.total(now)).Msg("roles_changed")
	}
}

// loadPeers returns the other nodes that share loads, if this one does. Callers
// must not write to the slice.
func (g *Gateway) loadPeers() []membership.Member { return g.roles.Load().loadPeers }

// serves tells whether callers are sent to this node.
func (g *Gateway) serves() bool { return g.roles.Load().IsServing(g.node) }

// servingCount returns how many nodes callers are sent to, at least 1.
func (g *Gateway) servingCount() int { return max(len(g.roles.Load().Serving), 1) }

// memberCount returns how many gateways there are, this one included.
func (g *Gateway) memberCount() int { return max(len(g.peers.View().Members()), 1) }
