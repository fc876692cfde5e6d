package fleetsync

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// fakeRouter holds a router's lists and their publisher.
type fakeRouter struct {
	publisher *Publisher
	view      *membership.View
	machines  *rpc.MachineList
}

func newFakeRouter(node fleet.NodeID, members []membership.Member, machines []*rpc.Machine) *fakeRouter {
	s := &fakeRouter{publisher: NewPublisher(node)}
	s.setMembers(members)
	s.setMachines(machines)
	return s
}

func (s *fakeRouter) setMembers(members []membership.Member) {
	version := uint64(1)
	if s.view != nil {
		version = s.view.Version + 1
	}
	s.view = membership.NewView(version, membership.Member{}, members)
}

// setMachines sets the list with a digest computed from its content.
func (s *fakeRouter) setMachines(machines []*rpc.Machine) {
	digest := uint64(1)
	for _, machine := range machines {
		for _, char := range fmt.Sprint(machine.GetId(), machine.GetIncarnation()) {
			digest = digest*1099511628211 + uint64(char)
		}
	}
	s.machines = &rpc.MachineList{Digest: digest, Machines: machines}
}

func (s *fakeRouter) respond(request *rpc.SyncRequest) *rpc.SyncResponse {
	response := &rpc.SyncResponse{Header: &rpc.Header{Sender: string(s.publisher.node)}}
	s.publisher.FillResponse(s.view, s.machines, request, response)
	return response
}

func exchange(subscriber *Subscriber, router *fakeRouter) (*rpc.SyncRequest, *rpc.SyncResponse) {
	request := &rpc.SyncRequest{Header: &rpc.Header{Sender: "agent-0123456789abcdef"}}
	subscriber.FillRequest(request)
	response := router.respond(request)
	subscriber.Apply(request, response)
	return request, response
}

func requireSame(t require.TestingT, subscriber *Subscriber, router *fakeRouter) {
	require.Equal(t, normalizeMembers(router.view.Routable()), subscriber.Members())
	require.True(t, proto.Equal(router.machines, subscriber.Machines()), "machines differ")
}

func member(number, run int) membership.Member {
	return membership.Member{
		Node:    fleet.NodeID(fmt.Sprintf("router-%03d-%016x", number, run)),
		Address: fleet.Address(fmt.Sprintf("10.0.%d.%d:7400", number/256, number%256)),
		Region:  "region-1", Zone: "zone-01", Incarnation: 1, State: membership.Alive,
	}
}

func machine(number, run int) *rpc.Machine {
	return &rpc.Machine{
		Id: fmt.Sprintf("engine-%05d", number), Address: fmt.Sprintf("10.1.%d.%d:7500", number/256, number%256),
		Region: "region-1", Zone: "zone-01", Pool: "pool-01", Incarnation: uint64(run),
	}
}

// drawEntries returns entries for a random subset of eight names, each with a random run number.
func drawEntries[T any](t *rapid.T, label string, entry func(number, run int) T) []T {
	var entries []T
	for number := range 8 {
		if run := rapid.IntRange(0, 3).Draw(t, label); run > 0 {
			entries = append(entries, entry(number, run))
		}
	}
	if len(entries) == 0 {
		entries = append(entries, entry(0, 1))
	}
	return entries
}

// TestSubscriberConvergesToPublisherLists guards against lists that diverge after changes,
// restarts, switches between routers, and lost, delayed or repeated responses.
func TestSubscriberConvergesToPublisherLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := make([]*fakeRouter, 2)
		runs := 0
		start := func(index int) {
			runs++
			node := fleet.NodeID(fmt.Sprintf("router-%d-%d", index, runs))
			routers[index] = newFakeRouter(node, drawEntries(t, "members", member), drawEntries(t, "machines", machine))
		}
		start(0)
		start(1)
		subscriber := &Subscriber{}
		type delayedResponse struct {
			request  *rpc.SyncRequest
			response *rpc.SyncResponse
		}
		var delayed []delayedResponse
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			index := rapid.IntRange(0, 1).Draw(t, "router")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				routers[index].setMembers(drawEntries(t, "members", member))
			case 1:
				routers[index].setMachines(drawEntries(t, "machines", machine))
			case 2:
				start(index)
			case 3:
				request := &rpc.SyncRequest{}
				subscriber.FillRequest(request)
				delayed = append(delayed, delayedResponse{request: request, response: routers[index].respond(request)})
			case 4:
				if len(delayed) > 0 {
					chosen := delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "late")]
					subscriber.Apply(chosen.request, chosen.response)
				}
			default:
				exchange(subscriber, routers[index])
				requireSame(t, subscriber, routers[index])
			}
		}
		exchange(subscriber, routers[0])
		requireSame(t, subscriber, routers[0])
	})
}

func newFakeFleet(routers, engines int) *fakeRouter {
	var members []membership.Member
	for number := range routers {
		members = append(members, member(number, 1))
	}
	var machines []*rpc.Machine
	for number := range engines {
		machines = append(machines, machine(number, 1))
	}
	return newFakeRouter("router-000-0000000000000001", members, machines)
}

func TestSuspicionIsNotPublished(t *testing.T) {
	router := newFakeFleet(3, 1)
	subscriber := &Subscriber{}
	exchange(subscriber, router)
	suspected := []membership.Member{member(0, 1), member(1, 1), member(2, 1)}
	suspected[1].State = membership.Suspect
	suspected[2].Incarnation = 2
	router.setMembers(suspected)
	_, response := exchange(subscriber, router)
	assert.Nil(t, response.GetMembersStep())
}

func TestDroppedRemovalsSendWholeList(t *testing.T) {
	router := newFakeFleet(2, 1)
	subscriber := &Subscriber{}
	exchange(subscriber, router)
	for run := range maxRemovals + 2 {
		router.setMembers([]membership.Member{member(0, 1), member(1, run+2)})
		router.respond(&rpc.SyncRequest{})
	}
	_, response := exchange(subscriber, router)
	assert.Zero(t, response.GetMembersStep().GetBase())
	requireSame(t, subscriber, router)
	assert.LessOrEqual(t, len(router.publisher.members.removals), maxRemovals)
}

func TestExchangeWithoutListsLeavesListsUnchanged(t *testing.T) {
	router := newFakeFleet(3, 3)
	subscriber := &Subscriber{}
	response := router.respond(&rpc.SyncRequest{WithoutLists: true})
	subscriber.Apply(&rpc.SyncRequest{}, response)
	assert.Empty(t, response.GetMembers())
	assert.Empty(t, subscriber.Members())
}

// TestEqualMachinesComparesEveryField guards against a new field that equalMachines ignores.
func TestEqualMachinesComparesEveryField(t *testing.T) {
	fields := (&rpc.Machine{}).ProtoReflect().Descriptor().Fields()
	for index := range fields.Len() {
		field := fields.Get(index)
		changed := &rpc.Machine{}
		value := map[protoreflect.Kind]protoreflect.Value{
			protoreflect.StringKind: protoreflect.ValueOfString("other"),
			protoreflect.Uint64Kind: protoreflect.ValueOfUint64(1),
			protoreflect.BoolKind:   protoreflect.ValueOfBool(true),
		}[field.Kind()]
		changed.ProtoReflect().Set(field, value)
		assert.False(t, equalMachines(&rpc.Machine{}, changed), field.Name())
	}
	assert.True(t, equalMachines(machine(1, 1), machine(1, 1)))
}

func TestEmptyListsAreIgnored(t *testing.T) {
	router := newFakeFleet(2, 2)
	subscriber := &Subscriber{}
	exchange(subscriber, router)
	router.setMembers(nil)
	router.setMachines(nil)
	exchange(subscriber, router)
	assert.Len(t, subscriber.Members(), 2)
	assert.Len(t, subscriber.Machines().GetMachines(), 2)
	router.setMembers([]membership.Member{member(7, 1)})
	router.setMachines([]*rpc.Machine{machine(7, 1)})
	exchange(subscriber, router)
	requireSame(t, subscriber, router)
}
