package fleetsync

import (
	"cmp"
	"slices"
	"sync"

	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// Subscriber holds the lists received from Publishers. Its zero value is ready to use and holds no
// lists.
type Subscriber struct {
	mutex sync.Mutex
	// router is the router instance that the versions refer to. A version of 0 means that there is
	// no list or that it is from another instance.
	router          string
	membersVersion  uint64
	machinesVersion uint64
	members         []membership.Member
	machines        *rpc.MachineList
}

// FillRequest adds the versions and the digest of the current lists to request.
func (s *Subscriber) FillRequest(request *rpc.SyncRequest) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	request.VersionsOf = s.router
	request.MembershipVersion = s.membersVersion
	request.MachinesVersion = s.machinesVersion
	request.MachinesDigest = s.machines.GetDigest()
}

// Apply applies the response to a request filled by FillRequest. Responses may arrive in any order:
// one that doesn't apply to the current version is dropped, and a later exchange delivers its
// changes. An empty list is ignored.
func (s *Subscriber) Apply(request *rpc.SyncRequest, response *rpc.SyncResponse) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if response.GetMembersStep() == nil && response.GetMachinesStep() == nil {
		return
	}
	sender := response.GetHeader().GetSender()
	if sender != s.router {
		s.router = sender
		s.membersVersion = 0
		s.machinesVersion = 0
	}
	s.applyMembers(response)
	s.applyMachines(request, response)
}

func (s *Subscriber) applyMembers(response *rpc.SyncResponse) {
	step := response.GetMembersStep()
	if !canApply(step, s.membersVersion) {
		return
	}
	changed := make([]membership.Member, 0, len(response.GetMembers()))
	for _, encoded := range response.GetMembers() {
		if member, err := membership.DecodeMember(encoded); err == nil {
			changed = append(changed, member)
		}
	}
	members := changed
	if step.GetBase() == 0 {
		slices.SortFunc(members, func(a, b membership.Member) int { return cmp.Compare(a.Node, b.Node) })
	} else {
		members = applyDelta(s.members, delta[membership.Member]{changed: changed, removed: step.GetRemoved()}, memberName)
	}
	if len(members) == 0 {
		s.membersVersion = 0
		return
	}
	s.members = members
	s.membersVersion = step.GetVersion()
}

func (s *Subscriber) applyMachines(request *rpc.SyncRequest, response *rpc.SyncResponse) {
	step := response.GetMachinesStep()
	if step.GetBase() != 0 && step.GetBase() == step.GetVersion() {
		s.adoptMachinesVersion(request, step)
		return
	}
	if !canApply(step, s.machinesVersion) {
		return
	}
	machines := response.GetMachines().GetMachines()
	if step.GetBase() == 0 {
		slices.SortFunc(machines, func(a, b *rpc.Machine) int { return cmp.Compare(a.GetId(), b.GetId()) })
	} else {
		change := delta[*rpc.Machine]{changed: machines, removed: step.GetRemoved()}
		machines = applyDelta(s.machines.GetMachines(), change, (*rpc.Machine).GetId)
	}
	if len(machines) == 0 {
		s.machinesVersion = 0
		return
	}
	s.machines = &rpc.MachineList{Digest: response.GetMachines().GetDigest(), Machines: machines}
	s.machinesVersion = step.GetVersion()
}

// adoptMachinesVersion switches to the version of a router whose list has the digest sent in
// request.
func (s *Subscriber) adoptMachinesVersion(request *rpc.SyncRequest, step *rpc.ListStep) {
	if request.GetMachinesDigest() == s.machines.GetDigest() {
		s.machinesVersion = step.GetVersion()
	}
}

// canApply reports whether a step applies to the current version. A whole list replaces any list
// that is not newer.
func canApply(step *rpc.ListStep, current uint64) bool {
	if step.GetVersion() == 0 || step.GetVersion() < current {
		return false
	}
	return step.GetBase() == 0 || step.GetBase() == current
}

// Members returns the routable routers, sorted by node. The slice must not be modified.
func (s *Subscriber) Members() []membership.Member {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.members
}

// Machines returns the list of engines, or nil if there is none. It must not be modified.
func (s *Subscriber) Machines() *rpc.MachineList {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.machines
}
