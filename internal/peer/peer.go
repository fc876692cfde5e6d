// Package peer connects a router to the other routers: it runs the membership protocol in real
// time, sends its messages over twirp and disseminates configuration changes with them.
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

// Options configures a Peer.
type Options struct {
	// Membership configures the membership core. Its Self is this router, and its Random is used
	// only by this peer.
	Membership membership.Options
	// Seeds are addresses of possible other routers.
	Seeds []fleet.Address
	// DiscoverSeeds returns further seeds, such as the routers in the platform's list of machines,
	// or is nil. It must not block.
	DiscoverSeeds func() []fleet.Address
	// Holder holds the configuration.
	Holder *config.Holder
	// Logger receives membership changes and failed calls.
	Logger zerolog.Logger
	// Registerer registers the metrics. If it is nil, they are not registered.
	Registerer prometheus.Registerer
	// HandleLoadReport answers another process's load report with this process's own. If it is nil,
	// such calls fail as unimplemented.
	HandleLoadReport func(ctx context.Context, report *rpc.LoadReport) *rpc.LoadReport
	// HandleWatch answers a request for changes in the store's tables. If it is nil, such calls
	// fail as unimplemented.
	HandleWatch func(ctx context.Context, request *rpc.WatchRequest) *rpc.WatchResponse
	// HandleCaches answers a request for changes in the caches of this process's zone. It returns
	// an error if this process does not subscribe to them. If it is nil, such calls fail as
	// unimplemented.
	HandleCaches func(ctx context.Context, request *rpc.CachesRequest) (*rpc.CachesResponse, error)
	// HandleLimitQuestion decides whether another process may send a request to a worker with a
	// limit. It returns an error if this process does not grant requests. If it is nil, such calls
	// fail as unimplemented.
	HandleLimitQuestion func(ctx context.Context, question *rpc.LimitQuestion) (*rpc.LimitAnswer, error)
	// HandleStreamRecords holds records of where streams began, and HandleStreamQuery answers where one
	// did. If they are nil, such calls fail as unimplemented.
	HandleStreamRecords func(records *rpc.StreamRecords)
	HandleStreamQuery   func(query *rpc.StreamQuery) *rpc.StreamAnswer
	// Traffic counts the bytes of calls to other processes, unless it is nil.
	Traffic *traffic.Meter
}

const (
	// maxConcurrentCalls bounds the concurrent queued calls to other routers.
	maxConcurrentCalls = 16
	// maxQueuedCalls bounds the calls waiting to be sent. Further calls are dropped, which the
	// protocol tolerates like a lost message.
	maxQueuedCalls = 256
	// probeTimeout bounds a call of a few hundred bytes.
	probeTimeout = time.Second
	// transferTimeout bounds a call that transfers a full membership or configuration.
	transferTimeout    = 5 * time.Second
	connectTimeout     = 500 * time.Millisecond
	idleTimeout        = 30 * time.Second
	maxIdleConnections = 64
	// seedRefreshInterval is the time between two refreshes of the seeds.
	seedRefreshInterval = 2 * time.Second
)

// Peer is this router's connection to the other routers. It is safe for concurrent use.
type Peer struct {
	options Options
	clock   fleet.Clock
	// pooledClient keeps connections open. singleUseClient opens one for each call.
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
	// viewPublishedAt is when the current view was published. loggedChanges counts the membership
	// changes since loggedSince, to limit log lines.
	viewPublishedAt time.Duration
	loggedSince     time.Duration
	loggedChanges   int
}

// New returns a peer that is not started and whose only member is itself. It returns an error if
// the metrics cannot be registered.
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

// Start joins the other routers and maintains the membership until Stop.
func (p *Peer) Start() {
	p.refreshSeeds()
	p.tomb.Go(p.driveLoop)
	p.tomb.Go(p.watchHolder)
	for range maxConcurrentCalls {
		p.tomb.Go(p.sendLoop)
	}
}

// Stop stops the peer immediately. For a planned stop, call Leave first.
func (p *Peer) Stop() error {
	p.tomb.Kill(nil)
	err := p.tomb.Wait()
	p.pooledClient.CloseIdleConnections()
	return err
}

// CloseIdle closes idle connections to other routers.
func (p *Peer) CloseIdle() { p.pooledClient.CloseIdleConnections() }

// View returns a snapshot of the membership.
func (p *Peer) View() *membership.View { return p.view.Load() }

// Members returns the members that are not dead, including self, sorted by node.
func (p *Peer) Members() []membership.Member { return p.View().Members() }

// Changed returns a channel that is closed at the next change of the membership. To miss no change,
// callers must get the channel before they read View.
func (p *Peer) Changed() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.changed
}

// Leave announces a planned stop to some other routers and returns when they have answered or the
// context ends. The peer continues to run.
func (p *Peer) Leave(ctx context.Context) error {
	messages := p.step(p.core.Leave)
	var group sync.WaitGroup
	for _, message := range messages {
		group.Go(func() { p.deliver(ctx, message) })
	}
	group.Wait()
	return ctx.Err()
}

// step runs one step of the core under the mutex and returns the messages to send.
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

// viewIntervalPerMember times the number of members is the minimum time between two views. Building
// a view takes time and memory in proportion to the members, and while many of them join or leave,
// almost every message changes one.
const viewIntervalPerMember = 50 * time.Microsecond

// isViewStale reports whether the membership has changed since the current view. The caller holds
// the mutex.
func (p *Peer) isViewStale() bool { return p.core.HasChangedSince(p.view.Load().Version) }

// nextViewAt returns the earliest time of the next view. The caller holds the mutex.
func (p *Peer) nextViewAt() time.Duration {
	members := len(p.view.Load().Members())
	if members < viewThrottleThreshold {
		return 0
	}
	return p.viewPublishedAt + time.Duration(members)*viewIntervalPerMember
}

// viewThrottleThreshold is the number of members below which a view is built at each change.
const viewThrottleThreshold = 64

// publishView replaces the current view and notifies waiters. The caller holds the mutex.
func (p *Peer) publishView(before, view *membership.View) {
	p.view.Store(view)
	close(p.changed)
	p.changed = make(chan struct{})
	p.metrics.members.Set(float64(len(view.Members())))
	p.logChanges(membership.Difference(before, view))
}

// maxMemberLinesPerSecond bounds the membership changes per second that are logged individually.
// Otherwise the simultaneous start of n nodes would log n squared lines.
const maxMemberLinesPerSecond = 32

// canLogEach reports whether the given number of changes can be logged individually, and counts
// them. The caller holds the mutex.
func (p *Peer) canLogEach(changes int) bool {
	if p.viewPublishedAt >= p.loggedSince+time.Second {
		p.loggedSince, p.loggedChanges = p.viewPublishedAt, 0
	}
	p.loggedChanges += changes
	return p.loggedChanges <= maxMemberLinesPerSecond
}

// logChanges logs changed members, with removed ones as dead. The caller holds the mutex.
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

// notifyDriver makes driveLoop recompute when work is due.
func (p *Peer) notifyDriver() {
	select {
	case p.wakeDriver <- struct{}{}:
	default:
	}
}
