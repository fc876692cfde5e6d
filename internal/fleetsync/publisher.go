package fleetsync

import (
	"sync"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// Publisher computes the changes that one router instance sends to Subscribers.
type Publisher struct {
	node fleet.NodeID

	mutex sync.Mutex
	// viewVersion is the version of the last membership view; source is the last list of machines.
	viewVersion uint64
	source      *rpc.MachineList
	members     changelog[membership.Member]
	machines    changelog[*rpc.Machine]
}

// NewPublisher returns a Publisher without lists for the router instance node.
func NewPublisher(node fleet.NodeID) *Publisher {
	return &Publisher{
		node: node,
		members: changelog[membership.Member]{
			name:  memberName,
			equal: func(a, b membership.Member) bool { return a == b },
		},
		machines: changelog[*rpc.Machine]{
			name:  (*rpc.Machine).GetId,
			equal: equalMachines,
		},
	}
}

func memberName(member membership.Member) string { return string(member.Node) }

// equalMachines compares all fields of two machines. proto.Equal is too slow for large fleets.
func equalMachines(a, b *rpc.Machine) bool {
	return a == b ||
		a.GetId() == b.GetId() &&
			a.GetAddress() == b.GetAddress() &&
			a.GetRegion() == b.GetRegion() &&
			a.GetZone() == b.GetZone() &&
			a.GetPool() == b.GetPool() &&
			a.GetIncarnation() == b.GetIncarnation() &&
			a.GetLeaving() == b.GetLeaving() &&
			a.GetKind() == b.GetKind()
}

// FillResponse adds the changes of both lists that the sender of request is missing to response.
// The machines must be sorted by identifier and not be modified afterwards; nil means that they are
// not known.
func (p *Publisher) FillResponse(
	view *membership.View, machines *rpc.MachineList, request *rpc.SyncRequest, response *rpc.SyncResponse,
) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.update(view, machines)
	if request.GetWithoutLists() {
		return
	}
	p.fillMembers(request, response)
	if p.source != nil {
		p.fillMachines(request, response)
	}
}

// FillMachinesResponse is like FillResponse for the list of machines alone. The Publisher must not
// be used for the list of routers.
func (p *Publisher) FillMachinesResponse(machines *rpc.MachineList, request *rpc.SyncRequest, response *rpc.SyncResponse) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.updateMachines(machines)
	if p.source != nil {
		p.fillMachines(request, response)
	}
}

// update stores lists that have changed. The mutex must be held.
func (p *Publisher) update(view *membership.View, machines *rpc.MachineList) {
	if view.Version > p.viewVersion || p.members.version == 0 {
		p.viewVersion = view.Version
		p.members.set(normalizeMembers(view.Routable()))
	}
	p.updateMachines(machines)
}

func (p *Publisher) updateMachines(machines *rpc.MachineList) {
	if machines != nil && machines != p.source {
		p.source = machines
		p.machines.set(machines.GetMachines())
	}
}

// normalizeMembers clears the fields that agents don't use, so that a transient suspicion is not a
// change for them.
func normalizeMembers(routable []membership.Member) []membership.Member {
	members := make([]membership.Member, 0, len(routable))
	for _, member := range routable {
		member.State = membership.Alive
		member.Incarnation = 0
		members = append(members, member)
	}
	return members
}

func (p *Publisher) fillMembers(request *rpc.SyncRequest, response *rpc.SyncResponse) {
	base := p.knownVersion(request, request.GetMembershipVersion())
	step, known := p.members.since(base)
	if known && base == p.members.version {
		return
	}
	if !known {
		base = 0
		step = delta[membership.Member]{changed: p.members.all()}
	}
	response.MembersStep = &rpc.ListStep{Version: p.members.version, Base: base, Removed: step.removed}
	for _, member := range step.changed {
		response.Members = append(response.Members, membership.EncodeMember(member))
	}
}

func (p *Publisher) fillMachines(request *rpc.SyncRequest, response *rpc.SyncResponse) {
	base := p.knownVersion(request, request.GetMachinesVersion())
	isSame := request.GetMachinesDigest() == p.source.GetDigest()
	step, known := p.machines.since(base)
	switch {
	case isSame && base == p.machines.version:
		return
	case isSame:
		response.MachinesStep = &rpc.ListStep{Version: p.machines.version, Base: p.machines.version}
		return
	case !known || base == p.machines.version:
		base = 0
		step = delta[*rpc.Machine]{changed: p.source.GetMachines()}
	}
	response.MachinesStep = &rpc.ListStep{Version: p.machines.version, Base: base, Removed: step.removed}
	response.Machines = &rpc.MachineList{Digest: p.source.GetDigest(), Machines: step.changed}
}

// knownVersion returns version if request refers to this router instance, or 0 otherwise.
func (p *Publisher) knownVersion(request *rpc.SyncRequest, version uint64) uint64 {
	if request.GetVersionsOf() != string(p.node) {
		return 0
	}
	return version
}
