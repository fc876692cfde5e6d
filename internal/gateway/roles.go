package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/retrybudget"
)

const (
	// rolesInterval is the interval at which the roles are updated.
	rolesInterval = 200 * time.Millisecond
	// A gateway that has just started and has seeds takes its role once it has seen no new member
	// for joinSettleTime, and after joinGracePeriod in any case. At the first start of the whole
	// fleet it takes its role after firstStartGracePeriod, because machines start
	// within about 0.3 s of each other, programs take as long on a slow machine, and there are no
	// callers yet.
	joinSettleTime        = 400 * time.Millisecond
	joinGracePeriod       = time.Second
	firstStartGracePeriod = 2 * time.Second
	// planningDelay is the time after its start during which a gateway plans with equal demand in
	// all locations and doesn't hold group sizes. Its view of the demand is incomplete then, and
	// more gateways would serve than needed.
	planningDelay = 5 * time.Second
)

// isJoining reports whether this gateway has just started and may not know its role yet.
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

// joinState is the number of members that a starting gateway knows, when it last changed, and
// whether the join is done.
type joinState struct {
	members   int
	changedAt time.Duration
	done      bool
}

// nodeRoles are the roles of all members and what follows from them for this gateway. They are
// derived when the members or the planned demand change, and immutable.
type nodeRoles struct {
	*membership.Roles
	// view and demand, in requests per second, are what the roles were derived from.
	view   *membership.View
	demand float64
	// fallbackCandidate is set while this gateway is a fallback candidate for the rollout lease.
	fallbackCandidate bool
	// demandByLocation, capacityFactors and minServingByLocation are the options that the roles
	// were derived from.
	demandByLocation     map[membership.Location]float64
	capacityFactors      map[fleet.NodeID]float64
	minServingByLocation map[membership.Location]int
	// isReader is set if this gateway reads the store, isCandidate if it competes for the rollout
	// lease. sharesLoads is set if it exchanges loads: the serving gateways, the candidates and
	// fallback candidates do.
	isReader    bool
	isCandidate bool
	sharesLoads bool
	// nonServingCount is the number of gateways that aren't serving, if this is one of them.
	nonServingCount int
	// readerOrder are the readers that this gateway asks for changes of the store, best first.
	readerOrder []fleet.NodeID
	// loadPeers are the other gateways that share loads, empty if this one doesn't.
	loadPeers []membership.Member
	// retryCounts are the numbers of gateways by which retry budgets divide their slack.
	retryCounts retrybudget.Counts
}

// deriveRoles returns the roles of a view's members at a demand in requests per second.
func deriveRoles(self fleet.NodeID, zone fleet.ZoneName, view *membership.View, demand float64, fallback bool) *nodeRoles {
	return deriveRolesWithOptions(self, zone, view, demand, fallback, membership.RoleOptions{})
}

// deriveRolesWithOptions is deriveRoles with further options.
func deriveRolesWithOptions(self fleet.NodeID, zone fleet.ZoneName, view *membership.View, demand float64, fallback bool,
	options membership.RoleOptions) *nodeRoles {
	all := membership.AssignRoles(view, demand, options)
	candidates := all.Candidates(rolloutLease)
	roles := &nodeRoles{
		Roles: all, view: view, demand: demand, fallbackCandidate: fallback,
		demandByLocation: options.DemandByLocation, capacityFactors: options.CapacityFactors, minServingByLocation: options.MinServingByLocation,
		isReader:    all.IsReader(self),
		isCandidate: slices.Contains(candidates, self),
		readerOrder: all.ReaderOrder(zone, self),
		retryCounts: countForRetries(self, view, all),
	}
	if !all.IsServing(self) {
		roles.nonServingCount = len(view.Routable()) - len(all.Serving)
	}
	roles.sharesLoads = roles.isCandidate || fallback || all.IsServing(self)
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

// roleOptions returns the planning inputs other than the demand. A gateway that has just started
// receives reports of a few gateways first. It would take a single location for the origin of all
// requests and hold a group size that is far too large.
func (g *Gateway) roleOptions(now time.Duration, demand float64, previous *nodeRoles) membership.RoleOptions {
	options := membership.RoleOptions{CapacityFactors: g.origins.capacityFactors(now)}
	origins := g.origins.plan(g.originRates(now))
	if previous == nil || now < planningDelay {
		return options
	}
	options.DemandByLocation = origins
	options.MinServingByLocation = g.groupSizes.Observe(now, demand, previous.Needed())
	return options
}

// differsFrom reports whether the options differ from those that the roles were derived from.
func (r *nodeRoles) differsFrom(options membership.RoleOptions) bool {
	return !maps.Equal(r.demandByLocation, options.DemandByLocation) || !maps.Equal(r.capacityFactors, options.CapacityFactors) || !maps.Equal(r.minServingByLocation, options.MinServingByLocation)
}

// maintainRoles keeps this gateway's roles up to date with the membership and the demand.
func (g *Gateway) maintainRoles() error {
	for {
		g.checkSuspension()
		now := g.now()
		g.pauses.Observe(now, rolesInterval)
		g.demand.measure(now)
		g.updateRoles(now)
		if !g.pauseInterval(rolesInterval) {
			return nil
		}
	}
}

// updateRoles derives the roles of the current members and applies them.
func (g *Gateway) updateRoles(now time.Duration) {
	previous := g.roles.Load()
	roles := previous
	view, demand, fallback := g.peers.View(), g.demand.plannedRate(now), g.fallbackCandidate.Load()
	options := g.roleOptions(now, demand, previous)
	if previous == nil || previous.view != view || previous.demand != demand || previous.fallbackCandidate != fallback || previous.differsFrom(options) {
		roles = deriveRolesWithOptions(g.node, g.settings().Zone, view, demand, fallback, options)
		g.roles.Store(roles)
		g.demand.setSharing(roles.sharesLoads)
	}
	settled := !g.isJoining(now)
	reader := roles.isReader && settled
	g.sources.setRole(now, sourceRole{settled: settled, reader: reader, order: roles.readerOrder, nonServingCount: roles.nonServingCount})
	if serves := roles.IsServing(g.node); previous == nil || previous.IsServing(g.node) != serves || len(previous.Serving) != len(roles.Serving) {
		g.logger.Info().Bool("serves", serves).Int("serving", len(roles.Serving)).Bool("reads", reader).
			Int("members", len(view.Routable())).Float64("request_rate", g.demand.total(now)).Msg("roles_changed")
	}
}

// loadPeers returns the other gateways that share loads, if this one does. Callers must not modify
// the slice.
func (g *Gateway) loadPeers() []membership.Member { return g.roles.Load().loadPeers }

// isServing reports whether callers are sent to this gateway.
func (g *Gateway) isServing() bool { return g.roles.Load().IsServing(g.node) }

// servingCount returns the number of serving gateways, at least 1.
func (g *Gateway) servingCount() int { return max(len(g.roles.Load().Serving), 1) }

// memberCount returns the number of gateways, including this one.
func (g *Gateway) memberCount() int { return max(len(g.peers.View().Members()), 1) }
