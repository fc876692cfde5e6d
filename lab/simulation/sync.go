package simulation

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/platform"
)

// syncRequest and syncAnswer are the messages of a sync between an agent and a router.
type syncRequest struct {
	revision fleet.Revision
	document *config.Document
	machines []platform.Machine
}

type syncAnswer struct {
	revision      fleet.Revision
	document      *config.Document
	members       []membership.Member
	stopping      bool
	machines      []platform.Machine
	needsMachines bool
}

// syncLoop periodically syncs with the routers in rotation.
func (a *agent) syncLoop() {
	for _, target := range a.syncTargets() {
		a.sync(target)
	}
	pause := syncInterval
	if !a.contacted {
		pause /= 4
	}
	a.after(pause*9/10+time.Duration(a.world.random.Int64N(int64(pause/5))), a.syncLoop)
}

// syncTargets returns the next router in rotation and the routers with pending placement calls.
// Until a router has answered it returns every known address.
func (a *agent) syncTargets() []*routerState {
	var addresses []fleet.Address
	for _, member := range a.members {
		if member.State != membership.Dead {
			addresses = append(addresses, member.Address)
		}
	}
	if len(addresses) == 0 || !a.contacted {
		addresses = append(addresses, a.world.seedAddresses()...)
	}
	a.rotation++
	next := a.rotation % len(addresses)
	addresses = append(slices.Clone(addresses[next:]), addresses[:next]...)
	var targets []*routerState
	for index, address := range addresses {
		candidate := a.routerState(address)
		candidate.placementCalls = slices.DeleteFunc(candidate.placementCalls, func(c *call) bool { return c.finished })
		selected := index == 0 || len(candidate.placementCalls) > 0 || !a.contacted
		if selected && !slices.Contains(targets, candidate) {
			targets = append(targets, candidate)
		}
	}
	return targets
}

// sync exchanges state with a router, and a second time if the answer shows that the router is
// missing a configuration or machines that the agent has.
func (a *agent) sync(router *routerState) { a.exchange(router, true) }

func (a *agent) exchange(router *routerState, retry bool) {
	target := a.world.routerAt(router.address)
	if target == nil {
		return
	}
	request := syncRequest{revision: a.holder.Revision()}
	variant := a.world.options.Variant
	if router.answered && router.revision < request.revision && variant != KeepConfiguration {
		document := a.holder.Current().Document()
		request.document = &document
	}
	if router.needsMachines && variant != KeepConfiguration {
		request.machines = a.machines
	}
	serve := func(reply func(any) time.Duration) { reply(target.sync(request)) }
	a.world.network.call(&a.process, &target.process, syncTimeout, serve, func(answer any, outcome callOutcome) {
		if outcome != answered {
			a.recordFailure(router)
			return
		}
		a.applySync(router, answer.(syncAnswer))
		sendMachines := router.needsMachines && len(a.machines) > 0
		if retry && (sendMachines || router.revision < a.holder.Revision()) {
			a.exchange(router, false)
		}
	})
}

func (a *agent) applySync(from *routerState, answer syncAnswer) {
	a.recordAnswer(from, answer.revision)
	from.stopping = answer.stopping
	from.needsMachines = answer.needsMachines
	if len(answer.members) > 0 {
		a.members = answer.members
	}
	if len(answer.machines) > 0 {
		a.machines = answer.machines
	}
	if answer.document != nil {
		a.offerSnapshot(*answer.document)
	}
}

// offerSnapshot offers a router's configuration to the holder.
func (a *agent) offerSnapshot(document config.Document) {
	if a.world.options.Variant == TakeAnyRevision && document.Revision < a.holder.Revision() {
		a.holder = config.NewHolder()
	}
	if _, err := a.holder.OfferSnapshot(document); err != nil {
		panic(err) // the simulated configurations are valid
	}
	a.recordConfiguration()
}
