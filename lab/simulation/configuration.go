package simulation

import (
	"context"
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/history"
)

// startConfiguration starts following the configuration.
func (r *router) startConfiguration() {
	r.store = config.NewStore(&tableClient{world: r.world, from: &r.process}, nil, config.StoreOptions{
		Random: r.world.newRandom(),
		Sleep:  func(context.Context, time.Duration) error { return nil },
	})
	r.follower = config.NewFollower(config.FollowerOptions{}, r.world.newRandom(), r.now(), len(r.world.routers))
	r.follow()
}

// follow performs the follower's next action. At most one pull from a peer is in flight at a time.
func (r *router) follow() {
	r.follower.SetNodeCount(r.now(), len(r.members.View().Routable()))
	r.follower.SetLocalRevision(r.holder.Revision())
	switch action := r.follower.Next(r.now()); action.Source {
	case config.SourcePeer:
		if peer, found := r.randomPeer(); found {
			r.pull(peer)
			return
		}
		r.follower.PeerDone(r.now())
		r.follow()
	case config.SourcePlatform:
		_, err := r.store.Refresh(context.Background(), r.holder)
		r.follower.PlatformDone(r.now(), err == nil)
		r.applyConfiguration()
		r.follow()
	case config.SourceNone:
		r.followAt(action.Until)
	}
}

func (r *router) followAt(at time.Duration) {
	if r.followScheduled {
		return
	}
	r.followScheduled = true
	r.after(max(at-r.now(), time.Millisecond), func() {
		r.followScheduled = false
		r.follow()
	})
}

func (r *router) randomPeer() (fleet.Address, bool) {
	var others []fleet.Address
	for _, member := range r.members.View().Routable() {
		if member.Node != r.node {
			others = append(others, member.Address)
		}
	}
	if len(others) == 0 {
		return "", false
	}
	return others[r.world.random.IntN(len(others))], true
}

// observeRevision passes a revision mentioned in another node's message to the follower.
func (r *router) observeRevision(revision fleet.Revision) {
	if revision <= r.holder.Revision() {
		return
	}
	r.follower.ObserveRevision(r.now(), revision)
	r.after(0, r.follow)
}

// offerSnapshot offers a complete configuration to the holder.
func (r *router) offerSnapshot(document config.Document) {
	if _, err := r.holder.OfferSnapshot(document); err != nil {
		panic(err) // the simulated configurations are valid
	}
	r.applyConfiguration()
}

func (r *router) offerChanges(changes []config.Change) {
	if _, _, err := r.holder.OfferChanges(changes); err != nil {
		panic(err) // the simulated configurations are valid
	}
	r.applyConfiguration()
}

// applyConfiguration applies the holder's configuration to the placement core, if it is newer, and
// publishes its changes to the peers.
func (r *router) applyConfiguration() {
	view := r.holder.Current()
	if view == nil || view.Revision() <= r.appliedRevision {
		return
	}
	r.appliedRevision = view.Revision()
	r.world.record(history.ConfigurationApplied{Node: r.node, Revision: view.Revision(), Digest: r.world.digest(view.Document())})
	r.updateCore(func(now time.Duration) { r.core.ApplyConfig(now, r.coreConfiguration(view)) })
	changes, known := r.holder.ChangesAfter(r.dissemination.Held())
	if !known {
		r.dissemination.RecordHeld(view.Revision())
		return
	}
	r.sendPeers(r.dissemination.Publish(r.now(), encodeChanges(changes), r.members.View()))
}

// coreConfiguration returns the configuration that the placement core gets.
func (r *router) coreConfiguration(view *config.View) *config.View {
	if r.world.options.Variant != IgnoreDirectives {
		return view
	}
	document := config.Canonical(view.Document())
	document.Directives = nil
	stripped, err := config.NewView(document)
	if err != nil {
		panic(err) // a document without directives is valid
	}
	return stripped
}
