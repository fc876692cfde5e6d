package gateway

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/membership"
)

// Times of the roles.
const (
	// rolesInterval is the time between two looks at who does what.
	rolesInterval = 200 * time.Millisecond
	// joinSettled is how long a node that has just started must have seen no new
	// member before it reads the store by its role, and joinGrace after how long it
	// does in any case, if it was told where to find others: until then it asks
	// them.
	joinSettled = 250 * time.Millisecond
	joinGrace   = time.Second
)

// joining tells whether this node has just started and may not know its role yet.
func (g *Gateway) joining(now time.Duration) bool {
	if members := g.memberCount(); members != g.joined.members {
		g.joined = joinedMembers{members: members, at: now}
	}
	switch {
	case len(g.settings().Seeds) == 0 || g.joined.done || now >= joinGrace:
		g.joined.done = true
	case g.joined.members > 1 && now >= g.joined.at+joinSettled:
		g.joined.done = true
	}
	return !g.joined.done
}

// joinedMembers is how many members a node has seen that has just started, and
// since when.
type joinedMembers struct {
	members int
	at      time.Duration
	done    bool
}

// driveRoles derives this node's part from the membership and the demand.
func (g *Gateway) driveRoles() error {
	for {
		now := g.now()
		g.demand.measure(now)
		g.assign(now)
		if !g.pause(rolesInterval) {
			return nil
		}
	}
}

// assign puts the roles of the present members in force.
func (g *Gateway) assign(now time.Duration) {
	before := g.roles.Load()
	roles := membership.Assign(g.peers.View(), g.demand.planned(now), membership.RoleOptions{})
	g.roles.Store(roles)
	g.demand.setSharing(g.sharesLoads(roles))
	reader := roles.Reads(g.node)
	if g.joining(now) {
		reader = false
	}
	g.sources.setRole(now, reader, roles.ReaderOrder(g.settings().Zone))
	if serves := roles.Serves(g.node); before == nil || before.Serves(g.node) != serves || len(before.Serving) != len(roles.Serving) {
		g.logger.Info().Bool("serves", serves).Int("serving", len(roles.Serving)).Bool("reads", reader).
			Int("members", len(g.peers.View().Routable())).Float64("request_rate", g.demand.total(now)).Msg("roles_changed")
	}
}

// sharesLoads tells whether this node is among those that tell each other what
// they send: those that serve, and those that may hold the lease of the weights.
func (g *Gateway) sharesLoads(roles *membership.Roles) bool {
	return roles.Serves(g.node) || slices.Contains(roles.Candidates(rolloutLease), g.node)
}

// loadPeers returns the other nodes that share loads, if this one does.
func (g *Gateway) loadPeers() []membership.Member {
	roles := g.roles.Load()
	if !g.sharesLoads(roles) {
		return nil
	}
	nodes := roles.Candidates(rolloutLease)
	for _, member := range roles.Serving {
		nodes = append(nodes, member.Node)
	}
	return slices.DeleteFunc(slices.Clone(g.peers.View().Routable()), func(member membership.Member) bool {
		return member.Node == g.node || !slices.Contains(nodes, member.Node)
	})
}

// serves tells whether callers are sent to this node.
func (g *Gateway) serves() bool { return g.roles.Load().Serves(g.node) }

// servingCount returns how many nodes callers are sent to, at least 1.
func (g *Gateway) servingCount() int { return max(len(g.roles.Load().Serving), 1) }

// memberCount returns how many gateways there are, this one included.
func (g *Gateway) memberCount() int { return max(len(g.peers.View().Members()), 1) }

// listed returns the members that the directory names: those that serve, without
// suspects as long as half of them is left.
func (g *Gateway) listed() []membership.Member {
	serving := g.roles.Load().Serving
	alive := make([]membership.Member, 0, len(serving))
	for _, member := range serving {
		if current, found := g.peers.View().Find(member.Node); found && current.State == membership.Alive {
			alive = append(alive, current)
		}
	}
	if 2*len(alive) < len(serving) {
		return serving
	}
	return alive
}
