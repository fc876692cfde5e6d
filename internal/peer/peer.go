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
	// DiscoverSeeds returns further such addresses, such as the routers in the
	// platform's list of machines; nil means none. It must not block.
	DiscoverSeeds func() []fleet.Address
	// Holder keeps the configuration.
	Holder *config.Holder
	// Logger gets one line for each change of the membership.
	Logger zerolog.Logger
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
	// HandleLoadReport answers another process's report on the workers with this one's; nil
	// means that this process shares no load.
	HandleLoadReport func(ctx context.Context, report *rpc.LoadReport) *rpc.LoadReport
	// HandleWatch answers another process that asks what changed in the store's tables;
	// nil means that this process tells nobody.
	HandleWatch func(ctx context.Context, request *rpc.WatchRequest) *rpc.WatchResponse
	// HandleCaches answers another process that asks what changed in the caches of this
	// one's zone, or fails if it doesn't follow them; nil means that it follows none.
	HandleCaches func(ctx context.Context, request *rpc.CachesRequest) (*rpc.CachesResponse, error)
	// HandleLimitQuestion answers another process that asks for a request to a worker with a limit, or
	// fails if this one doesn't grant any; nil means that it never does.
	HandleLimitQuestion func(ctx context.Context, question *rpc.LimitQuestion) (*rpc.LimitAnswer, error)
	// Traffic counts the bytes of calls to other processes; nil counts none.
	Traffic *traffic.Meter
}

const (
	// maxConcurrentCalls bounds the calls to other routers at a time.
	maxConcurrentCalls = 16
	// maxQueuedCalls bounds the calls that wait for a sender; more are dropped, as
	// the network may drop any message.
	maxQueuedCalls = 256
	// probeTimeout bounds one call of a few hundred bytes.
	probeTimeout = time.Second
	// transferTimeout bounds one call that moves a whole membership or configuration.
	transferTimeout    = 5 * time.Second
	connectTimeout     = 500 * time.Millisecond
	idleTimeout        = 30 * time.Second
	maxIdleConnections = 64
	// seedRefreshInterval is the time between two looks at the list of machines.
	seedRefreshInterval = 2 * time.Second
)

// Peer is one router among the others. Its methods may be called from any goroutine.
type Peer struct {
	options Options
	clock   fleet.Clock
	// pooledClient keeps connections, single makes one for each call.
	pooledClient    *http.Client
	singleUseClient *http.Client
	metrics         *metrics
	tomb            tomb.Tomb
	calls           chan call
	wakeDriver      chan struct{}
	view            atomic.Pointer[membership.View]

	mutex         sync.Mutex
	core          *membership.Core
	dissemination *membership.Dissemination
	changed       chan struct{}
	// viewPublishedAt is when the view in force was made. named counts the changes logged one by
	// one since namedSince.
	viewPublishedAt time.Duration
	loggedSince     time.Duration
	loggedChanges   int
}

// New returns a peer that knows itself alone and isn't started. It fails if the
// metrics can't be registered.
func New(options Options) (*Peer, error) {
	if options.Membership.Random == nil {
		options.Membership.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	p := &Peer{
		options:         options,
		clock:           fleet.NewClock(),
		pooledClient:    newHTTPClient(options.Traffic, true),
		singleUseClient: newHTTPClient(options.Traffic, false),
		metrics:         newMetrics(),
		calls:           make(chan call, maxQueuedCalls),
		wakeDriver:      make(chan struct{}, 1),
		core:            membership.New(options.Membership),
		dissemination:   membership.NewDissemination(membership.DisseminationOptions{Random: options.Membership.Random}),
		changed:         make(chan struct{}),
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
	p.tomb.Go(p.driveLoop)
	p.tomb.Go(p.watchHolder)
	for range maxConcurrentCalls {
		p.tomb.Go(p.sendLoop)
	}
}

// Stop ends the peer at once; Leave should come first in a planned stop.
func (p *Peer) Stop() error {
	p.tomb.Kill(nil)
	err := p.tomb.Wait()
	p.pooledClient.CloseIdleConnections()
	return err
}

// CloseIdle closes the connections to other routers that aren't in use.
func (p *Peer) CloseIdle() { p.pooledClient.CloseIdleConnections() }

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
		p.dissemination.Piggyback(&messages[i])
	}
	if p.isViewStale() && now >= p.nextViewAt() {
		p.viewPublishedAt = now
		p.publishView(p.view.Load(), p.core.View())
	}
	p.notifyDriver()
	return messages
}

// viewIntervalPerMember is the least time between two views for each member. A view takes time and memory
// for all members, and while many join or leave nearly each message changes one of them.
const viewIntervalPerMember = 50 * time.Microsecond

// isViewStale tells whether the membership has changed since the view in force; the mutex is held.
func (p *Peer) isViewStale() bool { return p.core.HasChangedSince(p.view.Load().Version) }

// nextViewAt returns when the next view may be put in force; the mutex is held.
func (p *Peer) nextViewAt() time.Duration {
	members := len(p.view.Load().Members())
	if members < viewThrottleThreshold {
		return 0
	}
	return p.viewPublishedAt + time.Duration(members)*viewIntervalPerMember
}

// viewThrottleThreshold is the size from which on views aren't made at each change: below it one takes
// microseconds.
const viewThrottleThreshold = 64

// publishView puts a new view in force; the mutex is held.
func (p *Peer) publishView(before, view *membership.View) {
	p.view.Store(view)
	close(p.changed)
	p.changed = make(chan struct{})
	p.metrics.members.Set(float64(len(view.Members())))
	p.logChanges(membership.Difference(before, view))
}

// maxMemberLinesPerSecond is the number of changes a second up to which each has a log line of its
// own: in a fleet of n nodes that starts, n squared lines would say the same.
const maxMemberLinesPerSecond = 32

// canLogEach tells whether so many changes are to be named in the log, and counts them; the mutex
// is held.
func (p *Peer) canLogEach(changes int) bool {
	if p.viewPublishedAt >= p.loggedSince+time.Second {
		p.loggedSince, p.loggedChanges = p.viewPublishedAt, 0
	}
	p.loggedChanges += changes
	return p.loggedChanges <= maxMemberLinesPerSecond
}

// logChanges logs members that have changed, those that are gone as dead; the mutex is held.
func (p *Peer) logChanges(changed []membership.Member) {
	if !p.canLogEach(len(changed)) {
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

// notifyDriver has the driving goroutine look anew at what is due.
func (p *Peer) notifyDriver() {
	select {
	case p.wakeDriver <- struct{}{}:
	default:
	}
}
