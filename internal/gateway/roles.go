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
	// joinSettleTime is how long a node that has just started must have seen no new
	// member before it takes its role, and joinGrace after how long it does in any
	// case, if it was told where to find others. At the first start of the whole fleet
	// it takes its role after firstGrace: machines start within some 0.3 s, programs need
	// as long to start on a slow machine, and nobody calls yet.
	joinSettleTime        = 400 * time.Millisecond
	joinGracePeriod       = time.Second
	firstStartGracePeriod = 2 * time.Second
	// planningDelay is how long after its start a node plans by equal parts of the places and
	// keeps no group's size. After a loss of all nodes each would plan by the little that it has
	// heard, and more would serve than their requests need.
	planningDelay = 5 * time.Second
)

// isJoining tells whether this node has just started and may not know its role yet.
func (g *Gateway) isJoining(now time.Duration) bool {
	if members := g.memberCount(); members != g.join.members {
		g.join = joinState{members: members, changedAt: now}
	}
	grace := joinGracePeriod
	if g.settings().FirstStart {
		grace = firstStartGracePeriod
	}
	switch {
	case len(g.settings().Seeds) == 0 || g.join.done || now >= grace:
		g.join.done = true
	case !g.settings().FirstStart && g.join.members > 1 && now >= g.join.changedAt+joinSettleTime:
		g.join.done = true
	}
	g.roleSettled.Store(g.join.done)
	return !g.join.done
}

// joinState is how many members a node has seen that has just started, and
// since when.
type joinState struct {
	members   int
	changedAt time.Duration
	done      bool
}

// nodeRoles are the roles of all members, and what follows from them for this
// node. It is derived when the members or the planned demand change, and immutable.
type nodeRoles struct {
	*membership.Roles
	// view and demand, in requests a second, are what it was derived from.
	view   *membership.View
	demand float64
	// fallbackCandidate is set while this node stands in for the candidates.
	fallbackCandidate bool
	// origins and weights are what else it was derived from: the demand by place, and the
	// parts by which nodes under pressure count. least is the least sizes of the serving
	// groups.
	origins         map[membership.Location]float64
	pressureWeights map[fleet.NodeID]float64
	minSizes        map[membership.Location]int
	// isReader is set if it is this node's role to read the store, candidate if it
	// takes the lease of the weights, and sharesLoads if it is among those that tell
	// each other what they send: those that serve, the candidates, and who stands in for
	// these.
	isReader    bool
	isCandidate bool
	sharesLoads bool
	// standbyCount is the number of nodes that callers aren't sent to, if this is one of
	// them.
	standbyCount int
	// readerOrder are the nodes that this one asks for the store's rows.
	readerOrder []fleet.NodeID
	// loadPeers are the other nodes that share loads; empty if this one doesn't.
	loadPeers []membership.Member
}

// deriveRoles returns the roles of a view's members at a demand in requests a second.
func deriveRoles(self fleet.NodeID, zone fleet.ZoneName, view *membership.View, demand float64, standsIn bool) *nodeRoles {
	return deriveRolesWithOptions(self, zone, view, demand, standsIn, membership.RoleOptions{})
}

// deriveRolesWithOptions returns the roles by what else is known.
func deriveRolesWithOptions(self fleet.NodeID, zone fleet.ZoneName, view *membership.View, demand float64, standsIn bool,
	options membership.RoleOptions) *nodeRoles {
	all := membership.Assign(view, demand, options)
	candidates := all.Candidates(rolloutLease)
	roles := &nodeRoles{
		Roles: all, view: view, demand: demand, fallbackCandidate: standsIn,
		origins: options.Origins, pressureWeights: options.Weights, minSizes: options.Least,
		isReader:    all.Reads(self),
		isCandidate: slices.Contains(candidates, self),
		readerOrder: all.ReaderOrder(zone, self),
	}
	if !all.Serves(self) {
		roles.standbyCount = len(view.Routable()) - len(all.Serving)
	}
	roles.sharesLoads = roles.isCandidate || standsIn || all.Serves(self)
	if !roles.sharesLoads {
		return roles
	}
	for _, member := range view.Routable() {
		if member.Node != self && (all.Serves(member.Node) || slices.Contains(candidates, member.Node)) {
			roles.loadPeers = append(roles.loadPeers, member)
		}
	}
	return roles
}

// roleOptions returns what is planned for besides the demand. A node that has just started
// hears of a few nodes' requests first: it would take one place for the origin of all, and
// keep a group for it that is far too large.
func (g *Gateway) roleOptions(now time.Duration, demand float64, before *nodeRoles) membership.RoleOptions {
	options := membership.RoleOptions{Weights: g.origins.planWeights(now)}
	origins := g.origins.plan(g.originRates(now))
	if before == nil || now < planningDelay {
		return options
	}
	options.Origins = origins
	options.Least = g.groupSizes.Observe(now, demand, before.Needed())
	return options
}

// optionsChanged tells whether other roles may follow from the options.
func (r *nodeRoles) optionsChanged(options membership.RoleOptions) bool {
	return !maps.Equal(r.origins, options.Origins) || !maps.Equal(r.pressureWeights, options.Weights) || !maps.Equal(r.minSizes, options.Least)
}

// maintainRoles keeps this node's part up to date with the membership and the demand.
func (g *Gateway) maintainRoles() error {
	for {
		g.checkSuspension()
		now := g.now()
		g.demand.measure(now)
		g.updateRoles(now)
		if !g.pauseInterval(rolesInterval) {
			return nil
		}
	}
}

// updateRoles puts the roles of the present members in force.
func (g *Gateway) updateRoles(now time.Duration) {
	before := g.roles.Load()
	roles := before
	view, demand, standsIn := g.peers.View(), g.demand.planned(now), g.fallbackCandidate.Load()
	options := g.roleOptions(now, demand, before)
	if before == nil || before.view != view || before.demand != demand || before.fallbackCandidate != standsIn || before.optionsChanged(options) {
		roles = deriveRolesWithOptions(g.node, g.settings().Zone, view, demand, standsIn, options)
		g.roles.Store(roles)
		g.demand.setSharing(roles.sharesLoads)
	}
	settled := !g.isJoining(now)
	reader := roles.isReader && settled
	g.sources.setRole(now, sourceRole{settled: settled, reader: reader, order: roles.readerOrder, standbyCount: roles.standbyCount})
	if serves := roles.Serves(g.node); before == nil || before.Serves(g.node) != serves || len(before.Serving) != len(roles.Serving) {
		g.logger.Info().Bool("serves", serves).Int("serving", len(roles.Serving)).Bool("reads", reader).
			Int("members", len(view.Routable())).Float64("request_rate", g.demand.total(now)).Msg("roles_changed")
	}
}

// loadPeers returns the other nodes that share loads, if this one does. Callers
// must not write to the slice.
func (g *Gateway) loadPeers() []membership.Member { return g.roles.Load().loadPeers }

// isServing tells whether callers are sent to this node.
func (g *Gateway) isServing() bool { return g.roles.Load().Serves(g.node) }

// servingCount returns how many nodes callers are sent to, at least 1.
func (g *Gateway) servingCount() int { return max(len(g.roles.Load().Serving), 1) }

// memberCount returns how many gateways there are, this one included.
func (g *Gateway) memberCount() int { return max(len(g.peers.View().Members()), 1) }
