package simulation

import (
	"context"
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/history"
)

// startConfiguration begins to follow the configuration.
func (r *router) startConfiguration() {
	r.store = config.NewStore(&tables{world: r.world, from: &r.process}, nil, config.StoreOptions{
		Random: r.world.newRandom(),
		Sleep:  func(context.Context, time.Duration) error { return nil },
	})
	r.follower = config.NewFollower(config.FollowerOptions{}, r.world.newRandom(), r.now(), len(r.world.routers))
	r.follow()
}

// follow does what the follower wants next. One question to a peer is under
// way at a time.
func (r *router) follow() {
	r.follower.SetNodeCount(r.now(), len(r.members.View().Routable()))
	r.follower.SetLocalRevision(r.holder.Revision())
	switch action := r.follower.Next(r.now()); action.Source {
	case config.SourcePeer:
		if peer, found := r.anyPeer(); found {
			r.pull(peer)
			return
		}
		r.follower.PeerDone(r.now())
		r.follow()
	case config.SourcePlatform:
		_, err := r.store.Refresh(context.Background(), r.holder)
		r.follower.PlatformDone(r.now(), err == nil)
		r.noteConfiguration()
		r.follow()
	case config.SourceNone:
		r.followAt(action.Until)
	}
}

func (r *router) followAt(at time.Duration) {
	if r.following {
		return
	}
	r.following = true
	r.after(max(at-r.now(), time.Millisecond), func() {
		r.following = false
		r.follow()
	})
}

func (r *router) anyPeer() (fleet.Address, bool) {
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

// hear notes a revision that another node's message named.
func (r *router) hear(revision fleet.Revision) {
	if revision <= r.holder.Revision() {
		return
	}
	r.follower.ObserveRevision(r.now(), revision)
	r.after(0, r.follow)
}

// offer gives the holder a whole configuration.
func (r *router) offer(document config.Document) {
	if _, err := r.holder.OfferSnapshot(document); err != nil {
		panic(err) // the fleet's configurations are valid
	}
	r.noteConfiguration()
}

func (r *router) offerChanges(changes []config.Change) {
	if _, _, err := r.holder.OfferChanges(changes); err != nil {
		panic(err) // the fleet's configurations are valid
	}
	r.noteConfiguration()
}

// noteConfiguration applies a configuration that has come into force and
// spreads it.
func (r *router) noteConfiguration() {
	view := r.holder.Current()
	if view == nil || view.Revision() <= r.inForce {
		return
	}
	r.inForce = view.Revision()
	r.world.record(history.ConfigurationApplied{Node: r.node, Revision: view.Revision(), Digest: r.world.digest(view.Document())})
	r.step(func(now time.Duration) { r.core.ApplyConfig(now, r.applied(view)) })
	changes, known := r.holder.ChangesAfter(r.spread.Held())
	if !known {
		r.spread.RecordHeld(view.Revision())
		return
	}
	r.sendPeers(r.spread.Publish(r.now(), encodeChanges(changes), r.members.View()))
}

// applied is the configuration that the core gets.
func (r *router) applied(view *config.View) *config.View {
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
