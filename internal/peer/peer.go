// Package peer is a router's place among the routers: it drives the membership
// core in real time, carries its messages over twirp and spreads changes of
// the configuration with them.
package peer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/traffic"
)

// Options sets up a Peer.
type Options struct {
	// Membership sets up the core; its Self names this router, and its Random
	// is used by this peer alone.
	Membership membership.Options
	// Seeds are addresses at which other routers may be found.
	Seeds []fleet.Address
	// Machines returns further such addresses, such as the routers in the
	// platform's list of machines; nil means none. It must not block.
	Machines func() []fleet.Address
	// Holder keeps the configuration.
	Holder *config.Holder
	// Logger gets one line for each change of the membership.
	Logger zerolog.Logger
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
	// Loads answers another process's report on the workers with this one's; nil
	// means that this process shares no load.
	Loads func(ctx context.Context, report *rpc.LoadReport) *rpc.LoadReport
	// Watch answers another process that asks what changed in the store's tables;
	// nil means that this process tells nobody.
	Watch func(ctx context.Context, request *rpc.WatchRequest) *rpc.WatchResponse
	// Caches answers another process that asks what changed in the caches of this
	// one's zone, or fails if it doesn't follow them; nil means that it follows none.
	Caches func(ctx context.Context, request *rpc.CachesRequest) (*rpc.CachesResponse, error)
	// Limits answers another process that asks for a request to a worker with a limit, or
	// fails if this one doesn't grant any; nil means that it never does.
	Limits func(ctx context.Context, question *rpc.LimitQuestion) (*rpc.LimitAnswer, error)
	// Traffic counts the bytes of calls to other processes; nil counts none.
	Traffic *traffic.Meter
}

const (
	// senders bounds the calls to other routers at a time.
	senders = 16
	// queuedCalls bounds the calls that wait for a sender; more are dropped, as
	// the network may drop any message.
	queuedCalls = 256
	// probeTimeout bounds one call of a few hundred bytes.
	probeTimeout = time.Second
	// transferTimeout bounds one call that moves a whole membership or configuration.
	transferTimeout = 5 * time.Second
	connectTimeout  = 500 * time.Millisecond
	idleTimeout     = 30 * time.Second
	idleConnections = 64
	// seedRefresh is the time between two looks at the list of machines.
	seedRefresh = 2 * time.Second
)

// Peer is one router among the others. Its methods may be called from any goroutine.
type Peer struct {
	options Options
	clock   fleet.Clock
	// http keeps connections, single makes one for each call.
	http    *http.Client
	single  *http.Client
	metrics *metrics
	life    tomb.Tomb
	calls   chan call
	kick    chan struct{}
	view    atomic.Pointer[membership.View]

	mutex   sync.Mutex
	core    *membership.Core
	spread  *membership.Dissemination
	changed chan struct{}
	// published is when the view in force was made. named counts the changes logged one by
	// one since namedSince.
	published  time.Duration
	namedSince time.Duration
	named      int
}

// New returns a peer that knows itself alone and isn't started. It fails if the
// metrics can't be registered.
func New(options Options) (*Peer, error) {
	if options.Membership.Random == nil {
		options.Membership.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	p := &Peer{
		options: options,
		clock:   fleet.NewClock(),
		http:    newHTTPClient(options.Traffic, true),
		single:  newHTTPClient(options.Traffic, false),
		metrics: newMetrics(),
		calls:   make(chan call, queuedCalls),
		kick:    make(chan struct{}, 1),
		core:    membership.New(options.Membership),
		spread:  membership.NewDissemination(membership.DisseminationOptions{Random: options.Membership.Random}),
		changed: make(chan struct{}),
	}
	p.view.Store(p.core.View())
	if err := p.metrics.register(options.Registerer); err != nil {
		return nil, errors.Wrap(err, "register metrics")
	}
	return p, nil
}

// Start joins the other routers and keeps the membership until Stop.
func (p *Peer) Start() {
	p.refreshSeeds()
	p.life.Go(p.drive)
	p.life.Go(p.followHolder)
	for range senders {
		p.life.Go(p.carry)
	}
}

// Stop ends the peer at once; Leave should come first in a planned stop.
func (p *Peer) Stop() error {
	p.life.Kill(nil)
	err := p.life.Wait()
	p.http.CloseIdleConnections()
	return err
}

// CloseIdle closes the connections to other routers that aren't in use.
func (p *Peer) CloseIdle() { p.http.CloseIdleConnections() }

// View returns a snapshot of the membership.
func (p *Peer) View() *membership.View { return p.view.Load() }

// Members returns the members that aren't dead, self included, sorted by node.
func (p *Peer) Members() []membership.Member { return p.View().Members() }

// Changed returns a channel that is closed at the next change of the
// membership. Take the channel before reading View, so that no change is missed.
func (p *Peer) Changed() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.changed
}

// Leave tells other routers that this one is about to stop, and returns when
// those told at once have answered or the context ends. The peer goes on.
func (p *Peer) Leave(ctx context.Context) error {
	messages := p.step(p.core.Leave)
	var group sync.WaitGroup
	for _, message := range messages {
		group.Go(func() { p.deliver(ctx, message) })
	}
	group.Wait()
	return ctx.Err()
}

// step runs one step of the core under the lock and returns what is to be sent.
func (p *Peer) step(action func(now time.Duration) []membership.Message) []membership.Message {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.clock.Now()
	messages := action(now)
	for i := range messages {
		p.spread.Piggyback(&messages[i])
	}
	if p.outdated() && now >= p.publishAt() {
		p.published = now
		p.publish(p.view.Load(), p.core.View())
	}
	p.wake()
	return messages
}

// viewPause is the least time between two views for each member. A view takes time and memory
// for all members, and while many join or leave nearly each message changes one of them.
const viewPause = 50 * time.Microsecond

// outdated tells whether the membership has changed since the view in force; the mutex is held.
func (p *Peer) outdated() bool { return p.core.HasChangedSince(p.view.Load().Version) }

// publishAt returns when the next view may be put in force; the mutex is held.
func (p *Peer) publishAt() time.Duration {
	members := len(p.view.Load().Members())
	if members < manyMembers {
		return 0
	}
	return p.published + time.Duration(members)*viewPause
}

// manyMembers is the size from which on views aren't made at each change: below it one takes
// microseconds.
const manyMembers = 64

// publish puts a new view in force; the mutex is held.
func (p *Peer) publish(before, view *membership.View) {
	p.view.Store(view)
	close(p.changed)
	p.changed = make(chan struct{})
	p.metrics.members.Set(float64(len(view.Members())))
	p.logChanges(membership.Difference(before, view))
}

// mostNamedMembers is the number of changes a second up to which each has a log line of its
// own: in a fleet of n nodes that starts, n squared lines would say the same.
const mostNamedMembers = 32

// names tells whether so many changes are to be named in the log, and counts them; the mutex
// is held.
func (p *Peer) names(changes int) bool {
	if p.published >= p.namedSince+time.Second {
		p.namedSince, p.named = p.published, 0
	}
	p.named += changes
	return p.named <= mostNamedMembers
}

// logChanges logs members that have changed, those that are gone as dead; the mutex is held.
func (p *Peer) logChanges(changed []membership.Member) {
	if !p.names(len(changed)) {
		states := make(map[membership.State]int)
		for _, member := range changed {
			states[member.State]++
		}
		p.options.Logger.Info().Int("members", len(p.View().Members())).Int("alive", states[membership.Alive]).
			Int("suspect", states[membership.Suspect]).Int("leaving", states[membership.Leaving]).
			Int("dead", states[membership.Dead]).Msg("members_changed")
		return
	}
	for _, member := range changed {
		p.options.Logger.Info().Str("member", string(member.Node)).Str("address", string(member.Address)).
			Str("zone", string(member.Zone)).Stringer("state", member.State).Msg("member_changed")
	}
}

// wake has the driving goroutine look anew at what is due.
func (p *Peer) wake() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}
