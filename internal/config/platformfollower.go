package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// platformCallName identifies reads of the configuration in log lines and in the metrics of
// platform calls.
const platformCallName = "configuration"

// Peers fetches configurations from other nodes.
type Peers interface {
	// Fetch asks one peer for the changes after the holder's revision and offers the response to
	// the holder. It returns immediately if there is no peer.
	Fetch(ctx context.Context, holder *Holder) error
	// Count returns the number of nodes that poll the platform, including this one. Configured
	// peers count even before the first message from them; otherwise nodes that restart together
	// would each assume a small fleet and poll too often.
	Count() int
}

// PlatformFollowerOptions configures a PlatformFollower.
type PlatformFollowerOptions struct {
	Follower FollowerOptions
	// Timeout bounds one call to a peer or to the platform.
	Timeout time.Duration
	Clock   fleet.Clock
	Random  *rand.Rand
	Logger  zerolog.Logger
	// PlatformDone is called after each platform call with its error, for metrics; nil means no
	// call.
	PlatformDone func(error)
}

// PlatformFollower keeps a holder up to date from peers and the platform until it is stopped.
type PlatformFollower struct {
	tomb    tomb.Tomb
	store   *Store
	holder  *Holder
	peers   Peers
	options PlatformFollowerOptions
	wake    chan struct{}

	mutex           sync.Mutex // guards follower
	follower        *Follower
	platformFailing bool
}

// StartPlatformFollower starts a follower. End it with Stop.
func StartPlatformFollower(store *Store, holder *Holder, peers Peers, options PlatformFollowerOptions) *PlatformFollower {
	follower := &PlatformFollower{
		store:    store,
		holder:   holder,
		peers:    peers,
		options:  options,
		wake:     make(chan struct{}, 1),
		follower: NewFollower(options.Follower, options.Random, options.Clock.Now(), peers.Count()),
	}
	follower.tomb.Go(follower.run)
	return follower
}

// ObserveRevision records a revision from another node's message. If it is higher than the
// holder's, the follower asks a peer immediately.
func (p *PlatformFollower) ObserveRevision(revision fleet.Revision) {
	if revision <= p.holder.Revision() {
		return
	}
	p.mutex.Lock()
	p.follower.ObserveRevision(p.options.Clock.Now(), revision)
	p.mutex.Unlock()
	p.notify()
}

// RefreshNodeCount makes the follower count the nodes again. Call it when their number may have
// changed.
func (p *PlatformFollower) RefreshNodeCount() { p.notify() }

func (p *PlatformFollower) notify() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Stop stops the follower and waits until it has ended.
func (p *PlatformFollower) Stop() error {
	p.tomb.Kill(nil)
	return p.tomb.Wait()
}

func (p *PlatformFollower) run() error {
	ctx := p.tomb.Context(context.Background())
	for p.tomb.Alive() {
		now := p.options.Clock.Now()
		action := p.next(now)
		switch action.Source {
		case SourcePeer:
			p.fetchFromPeer(ctx)
		case SourcePlatform:
			p.pollPlatform(ctx)
		case SourceNone:
			p.wait(action.Until - now)
		}
	}
	return nil
}

func (p *PlatformFollower) next(now time.Duration) Action {
	nodes := p.peers.Count()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.follower.SetNodeCount(now, nodes)
	p.follower.SetLocalRevision(p.holder.Revision())
	return p.follower.Next(now)
}

func (p *PlatformFollower) wait(pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-p.tomb.Dying():
	case <-p.wake:
	case <-timer.C:
	}
}

func (p *PlatformFollower) fetchFromPeer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	if err := p.peers.Fetch(ctx, p.holder); err != nil {
		p.options.Logger.Debug().Err(err).Msg("configuration_fetch_failed")
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.follower.PeerDone(p.options.Clock.Now())
}

func (p *PlatformFollower) pollPlatform(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	_, err := p.store.Refresh(ctx, p.holder)
	if !p.tomb.Alive() {
		return
	}
	if p.options.PlatformDone != nil {
		p.options.PlatformDone(err)
	}
	p.logTransition(err)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.follower.PlatformDone(p.options.Clock.Now(), err == nil)
}

// logTransition logs the first failure and the recovery of platform calls, but not each call.
func (p *PlatformFollower) logTransition(err error) {
	failing := err != nil
	if failing && !p.platformFailing {
		p.options.Logger.Warn().Str("call", platformCallName).Err(err).Msg("platform_failed")
	}
	if !failing && p.platformFailing {
		p.options.Logger.Info().Str("call", platformCallName).Msg("platform_recovered")
	}
	p.platformFailing = failing
}
