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
	http    *http.Client
	metrics *metrics
	life    tomb.Tomb
	calls   chan call
	kick    chan struct{}
	view    atomic.Pointer[membership.View]

	mutex   sync.Mutex
	core    *membership.Core
	spread  *membership.Dissemination
	changed chan struct{}
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
		http:    newHTTPClient(options.Traffic),
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
	messages := action(p.clock.Now())
	for i := range messages {
		p.spread.Decorate(&messages[i])
	}
	if before := p.view.Load(); p.core.Updated(before.Version) {
		p.publish(before, p.core.View())
	}
	p.wake()
	return messages
}

// publish puts a new view in force; the mutex is held.
func (p *Peer) publish(before, view *membership.View) {
	p.view.Store(view)
	close(p.changed)
	p.changed = make(chan struct{})
	p.metrics.members.Set(float64(len(view.Members())))
	p.logChanges(before, view)
}

func (p *Peer) logChanges(before, after *membership.View) {
	for _, member := range after.Members() {
		old, known := before.Find(member.Node)
		if !known || old.State != member.State {
			p.options.Logger.Info().Str("member", string(member.Node)).Str("address", string(member.Address)).
				Str("zone", string(member.Zone)).Stringer("state", member.State).Msg("member_changed")
		}
	}
	for _, member := range before.Members() {
		if _, known := after.Find(member.Node); !known {
			p.options.Logger.Info().Str("member", string(member.Node)).Stringer("state", membership.Dead).Msg("member_changed")
		}
	}
}

// wake has the driving goroutine look anew at what is due.
func (p *Peer) wake() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}
