package simulation

import (
	"encoding/json"
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/platform"
)

// joinMembership joins the other routers.
func (r *router) joinMembership() {
	random := r.world.newRandom()
	r.members = membership.New(membership.Options{
		Self:   membership.Member{Node: r.node, Address: r.address, Zone: r.zone},
		Random: random,
	})
	r.dissemination = membership.NewDissemination(membership.DisseminationOptions{Random: random})
	r.routable = nil
	r.sendPeers(r.members.Join(r.now(), r.world.seedAddresses()))
}

// sendPeers sends messages to other routers and schedules the next tick.
func (r *router) sendPeers(messages []membership.Message) {
	for _, message := range messages {
		r.dissemination.Piggyback(&message)
		target := r.world.routerAt(message.To)
		if target == nil || target == r {
			continue
		}
		r.world.network.send(&r.process, &target.process, func() { target.receive(message) })
	}
	r.handleMembershipChange()
	r.schedulePeerTick()
}

func (r *router) schedulePeerTick() {
	at := r.members.NextWake()
	if spread, pending := r.dissemination.NextWake(); pending {
		at = min(at, spread)
	}
	at = max(at, r.now()+time.Millisecond)
	if r.membershipTickAt > r.now() && r.membershipTickAt <= at {
		return
	}
	r.membershipTickAt = at
	r.after(at-r.now(), func() {
		if r.membershipTickAt != at {
			return
		}
		r.membershipTickAt = 0
		messages := r.members.Tick(r.now())
		pull, due := r.dissemination.NextPull(r.now())
		messages = append(messages, r.dissemination.Tick(r.now(), r.members.View())...)
		r.sendPeers(messages)
		if due {
			r.pull(pull.From)
		}
	})
}

// receive handles a message of another router.
func (r *router) receive(message membership.Message) {
	messages := r.members.Receive(r.now(), message)
	r.dissemination.Observe(message.Sender.Address, message.KnownRevision)
	if next := r.dissemination.NextChanges(message.Changes); len(next) > 0 {
		r.offerChanges(decodeChanges(next))
	}
	r.sendPeers(messages)
	r.observeRevision(message.KnownRevision)
}

// changesAnswer is the answer to a pull.
type changesAnswer struct {
	changes  []config.Change
	document *config.Document
	machines []platform.Machine
}

// pull requests the changes after the held revision from a router.
func (r *router) pull(from fleet.Address) {
	target := r.world.routerAt(from)
	if target == nil || target == r {
		return
	}
	revision := r.holder.Revision()
	serve := func(reply func(any) time.Duration) { reply(target.changesAfter(revision)) }
	r.world.network.call(&r.process, &target.process, time.Second, serve, func(answer any, outcome callOutcome) {
		if outcome == answered {
			r.applyChanges(answer.(changesAnswer))
		}
		r.follower.PeerDone(r.now())
		r.follow()
	})
}

func (r *router) applyChanges(answer changesAnswer) {
	r.offerMachines(answer.machines)
	if answer.document != nil {
		r.offerSnapshot(*answer.document)
		return
	}
	r.offerChanges(answer.changes)
}

// changesAfter serves a pull.
func (r *router) changesAfter(revision fleet.Revision) changesAnswer {
	answer := changesAnswer{machines: r.machines}
	if r.world.options.Variant == KeepConfiguration {
		return changesAnswer{}
	}
	changes, held := r.holder.ChangesAfter(revision)
	if view := r.holder.Current(); !held && view != nil {
		document := view.Document()
		answer.document = &document
		return answer
	}
	answer.changes = changes
	return answer
}

// handleMembershipChange updates the lease eligibility when the routable routers have changed.
func (r *router) handleMembershipChange() {
	routable := r.members.View().Routable()
	if r.election == nil || equalMembers(r.routable, routable) {
		return
	}
	r.routable = routable
	r.updateEligibility()
}

func equalMembers(a, b []membership.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Node != b[i].Node {
			return false
		}
	}
	return true
}

func encodeChanges(changes []config.Change) []membership.Change {
	var encoded []membership.Change
	for _, change := range changes {
		patch, err := json.Marshal(change.Patch)
		if err != nil {
			panic(err) // a decoded patch always encodes
		}
		encoded = append(encoded, membership.Change{Revision: change.Revision, Patch: patch})
	}
	return encoded
}

func decodeChanges(encoded []membership.Change) []config.Change {
	var changes []config.Change
	for _, change := range encoded {
		decoded := config.Change{Revision: change.Revision}
		if err := json.Unmarshal(change.Patch, &decoded.Patch); err != nil {
			panic(err) // encodeChanges produced it
		}
		changes = append(changes, decoded)
	}
	return changes
}
