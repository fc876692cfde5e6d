package agent

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/affinity"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// Bounds of the connections to routers. A waiting request holds one.
const (
	routerConnectTimeout = time.Second
	routerIdleTimeout    = time.Minute
	maxIdleToRouter      = 64
	// firstBackoff is how long a router isn't chosen after its first failure.
	firstBackoff = 200 * time.Millisecond
)

// link is what the agent knows of one router. Its fields but address, client
// and reports are guarded by the mutex of routers.
type link struct {
	address fleet.Address
	client  rpc.Placement
	reports reportQueue

	failures int
	retryAt  time.Duration
	stopping bool
	// revision is the router's configuration as of its last answer; answered
	// is false before the first.
	revision fleet.Revision
	answered bool
	// machinesWanted is set when the router has asked for the machine list.
	machinesWanted bool
	// waiting counts the requests that wait at the router.
	waiting int
	// life ends when the router stops answering, and is then replaced.
	life context.Context
	end  context.CancelFunc
}

// routers is the set of routers that the agent may ask.
type routers struct {
	clock      fleet.Clock
	seeds      []fleet.Address
	backoffMax time.Duration
	client     *http.Client

	mutex   sync.Mutex
	ranking ranking
	links   map[fleet.Address]*link
	// followed is the router that the lists are followed from.
	followed *link
	rotation int
	lastSeen time.Duration
	seen     bool
}

func newRouters(clock fleet.Clock, ranking ranking, seeds []fleet.Address, backoffMax time.Duration) *routers {
	dialer := &net.Dialer{Timeout: routerConnectTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleToRouter,
		IdleConnTimeout:     routerIdleTimeout,
	}
	return &routers{
		clock:      clock,
		ranking:    ranking,
		seeds:      seeds,
		backoffMax: backoffMax,
		client:     &http.Client{Transport: transport},
		links:      make(map[fleet.Address]*link),
		rotation:   rand.IntN(math.MaxInt32),
	}
}

// link returns the link to an address; the mutex is held.
func (r *routers) link(address fleet.Address) *link {
	if known, found := r.links[address]; found {
		return known
	}
	created := &link{
		address: address,
		client:  rpc.NewPlacementProtobufClient("http://"+string(address), r.client),
	}
	created.life, created.end = context.WithCancel(context.Background())
	r.links[address] = created
	return created
}

// choose returns the router to ask for a request. Routers that the request
// has tried, that have failed lately or that are stopping come last.
func (r *routers) choose(by routing, preferred []fleet.Address, tried map[fleet.Address]int) *link {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var best *link
	bestPenalty := 0
	for _, address := range r.candidates(by, preferred) {
		candidate := r.link(address)
		penalty := r.penalty(candidate) + tried[address]*(penaltyStopping+1)
		if best == nil || penalty < bestPenalty {
			best, bestPenalty = candidate, penalty
		}
	}
	return best
}

// Penalties of routers in choose.
const (
	penaltyFailed   = 1
	penaltyStopping = 2
)

func (r *routers) penalty(candidate *link) int {
	switch {
	case candidate.stopping:
		return penaltyStopping
	case candidate.retryAt > r.clock.Now():
		return penaltyFailed
	default:
		return 0
	}
}

// candidates lists preferred routers, then the members by rank, then the seeds.
func (r *routers) candidates(by routing, preferred []fleet.Address) []fleet.Address {
	var addresses []fleet.Address
	for _, address := range preferred {
		if _, err := netip.ParseAddrPort(string(address)); err == nil {
			addresses = append(addresses, address)
		}
	}
	for _, member := range r.ranking.rank(by) {
		addresses = append(addresses, member.Address)
	}
	return append(addresses, r.rankedSeeds(by)...)
}

// rankedSeeds orders the seeds like members, so that agents agree on the router
// of a request before they know any member.
func (r *routers) rankedSeeds(by routing) []fleet.Address {
	seeds := affinity.Routers{Members: make([]membership.Member, 0, len(r.seeds))}
	for _, address := range r.seeds {
		seeds.Members = append(seeds.Members, membership.Member{Node: fleet.NodeID(address), Address: address, State: membership.Alive})
	}
	addresses := make([]fleet.Address, 0, len(r.seeds))
	for _, seed := range seeds.Order(by.choice, by.pool) {
		addresses = append(addresses, seed.Address)
	}
	return addresses
}

// enter counts a request that begins to wait at a router. The context ends if
// the router fails meanwhile.
func (r *routers) enter(at *link) context.Context {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	at.waiting++
	return at.life
}

func (r *routers) leave(at *link) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	at.waiting--
}

// answered notes an answer and the revision in its header.
func (r *routers) answered(by *link, header *rpc.Header) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	by.failures = 0
	by.retryAt = 0
	by.answered = true
	by.revision = fleet.Revision(header.GetKnownRevision())
	r.lastSeen = r.clock.Now()
	r.seen = true
}

// fail notes that a router didn't answer, and releases the requests that wait
// there.
func (r *routers) fail(at *link) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	at.answered = false
	at.end()
	at.life, at.end = context.WithCancel(context.Background())
	now := r.clock.Now()
	if at.retryAt > now {
		return // one outage, noticed by several calls
	}
	backoff := firstBackoff << min(at.failures, maxBackoffShift)
	at.failures++
	at.retryAt = now + min(backoff, r.backoffMax)
}

const maxBackoffShift = 10

// synced notes what a router has said about itself in an exchange.
func (r *routers) synced(with *link, answer *rpc.SyncResponse) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	with.stopping = answer.GetStopping()
	with.machinesWanted = answer.GetMachinesWanted()
}

func (r *routers) wantsMachines(at *link) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return at.machinesWanted
}

// behind tells whether a router has answered with an older revision than ours.
func (r *routers) behind(at *link, ours fleet.Revision) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return at.answered && at.revision < ours
}

// learn takes over what the routers know of the routers and the engines.
func (r *routers) learn(members []membership.Member, machines *rpc.MachineList, replicas int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ranking.learn(members, machines, replicas)
	if len(members) > 0 {
		r.prune()
	}
}

// prune forgets the routers that are no members any more and hold nothing.
func (r *routers) prune() {
	keep := make(map[fleet.Address]bool, len(r.ranking.members)+len(r.seeds))
	for _, member := range r.ranking.members {
		keep[member.Address] = true
	}
	for _, seed := range r.seeds {
		keep[seed] = true
	}
	for address, known := range r.links {
		if !keep[address] && known.waiting == 0 && known.reports.idle() {
			known.end()
			delete(r.links, address)
		}
	}
}

// knowsEngines tells whether the list of machines has been heard.
func (r *routers) knowsEngines() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.ranking.machines.GetMachines()) > 0
}

// reachable tells whether some router has answered within a time.
func (r *routers) reachable(within time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.seen && r.clock.Now()-r.lastSeen <= within
}
