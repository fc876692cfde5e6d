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
	maxIdleConnections   = 64
	// initialBackoff is how long a router isn't chosen after its first failure.
	initialBackoff = 200 * time.Millisecond
)

// routerState is what the agent knows of one router. Its fields but address, client
// and reports are guarded by the mutex of routers.
type routerState struct {
	address fleet.Address
	client  rpc.Placement
	reports reportQueue

	failures   int
	retryAt    time.Duration
	isStopping bool
	// revision is the router's configuration as of its last answer; answered
	// is false before the first.
	revision    fleet.Revision
	hasAnswered bool
	// machinesWanted is set when the router has asked for the machine list.
	machinesWanted bool
	// waiting counts the requests that wait at the router.
	waiting int
	// aliveContext ends when the router stops answering, and is then replaced.
	aliveContext context.Context
	cancelAlive  context.CancelFunc
}

// routerSet is the set of routerSet that the agent may ask.
type routerSet struct {
	clock      fleet.Clock
	seeds      []fleet.Address
	backoffMax time.Duration
	client     *http.Client

	mutex   sync.Mutex
	ranking routerRanking
	states  map[fleet.Address]*routerState
	// followed is the router that the lists are followed from.
	followed     *routerState
	rotation     int
	lastAnswerAt time.Duration
	anyAnswered  bool
}

func newRouterSet(clock fleet.Clock, ranking routerRanking, seeds []fleet.Address, backoffMax time.Duration) *routerSet {
	dialer := &net.Dialer{Timeout: routerConnectTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     routerIdleTimeout,
	}
	return &routerSet{
		clock:      clock,
		ranking:    ranking,
		seeds:      seeds,
		backoffMax: backoffMax,
		client:     &http.Client{Transport: transport},
		states:     make(map[fleet.Address]*routerState),
		rotation:   rand.IntN(math.MaxInt32),
	}
}

// getOrCreate returns the getOrCreate to an address; the mutex is held.
func (r *routerSet) getOrCreate(address fleet.Address) *routerState {
	if known, found := r.states[address]; found {
		return known
	}
	created := &routerState{
		address: address,
		client:  rpc.NewPlacementProtobufClient("http://"+string(address), r.client),
	}
	created.aliveContext, created.cancelAlive = context.WithCancel(context.Background())
	r.states[address] = created
	return created
}

// choose returns the router to ask for a request. Routers that the request
// has tried, that have failed lately or that are stopping come last.
func (r *routerSet) choose(by route, preferred []fleet.Address, tried map[fleet.Address]int) *routerState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var best *routerState
	bestPenalty := 0
	for _, address := range r.candidates(by, preferred) {
		candidate := r.getOrCreate(address)
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

func (r *routerSet) penalty(candidate *routerState) int {
	switch {
	case candidate.isStopping:
		return penaltyStopping
	case candidate.retryAt > r.clock.Now():
		return penaltyFailed
	default:
		return 0
	}
}

// candidates lists preferred routers, then the members by rank, then the seeds.
func (r *routerSet) candidates(by route, preferred []fleet.Address) []fleet.Address {
	var addresses []fleet.Address
	for _, address := range preferred {
		if _, err := netip.ParseAddrPort(string(address)); err == nil {
			addresses = append(addresses, address)
		}
	}
	for _, member := range r.ranking.order(by) {
		addresses = append(addresses, member.Address)
	}
	return append(addresses, r.rankedSeeds(by)...)
}

// rankedSeeds orders the seeds like members, so that agents agree on the router
// of a request before they know any member.
func (r *routerSet) rankedSeeds(by route) []fleet.Address {
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

// beginWait counts a request that begins to wait at a router. The context ends if
// the router fails meanwhile.
func (r *routerSet) beginWait(at *routerState) context.Context {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	at.waiting++
	return at.aliveContext
}

func (r *routerSet) endWait(at *routerState) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	at.waiting--
}

// recordAnswer notes an answer and the revision in its header.
func (r *routerSet) recordAnswer(by *routerState, header *rpc.Header) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	by.failures = 0
	by.retryAt = 0
	by.hasAnswered = true
	by.revision = fleet.Revision(header.GetKnownRevision())
	r.lastAnswerAt = r.clock.Now()
	r.anyAnswered = true
}

// recordFailure notes that a router didn't answer, and releases the requests that wait
// there.
func (r *routerSet) recordFailure(at *routerState) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	at.hasAnswered = false
	at.cancelAlive()
	at.aliveContext, at.cancelAlive = context.WithCancel(context.Background())
	now := r.clock.Now()
	if at.retryAt > now {
		return // one outage, noticed by several calls
	}
	backoff := initialBackoff << min(at.failures, maxBackoffShift)
	at.failures++
	at.retryAt = now + min(backoff, r.backoffMax)
}

const maxBackoffShift = 10

// recordSync notes what a router has said about itself in an exchange.
func (r *routerSet) recordSync(with *routerState, answer *rpc.SyncResponse) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	with.isStopping = answer.GetStopping()
	with.machinesWanted = answer.GetMachinesWanted()
}

func (r *routerSet) wantsMachines(at *routerState) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return at.machinesWanted
}

// isBehind tells whether a router has answered with an older revision than ours.
func (r *routerSet) isBehind(at *routerState, ours fleet.Revision) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return at.hasAnswered && at.revision < ours
}

// update takes over what the routers know of the routers and the engines.
func (r *routerSet) update(members []membership.Member, machines *rpc.MachineList, replicas int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ranking.update(members, machines, replicas)
	if len(members) > 0 {
		r.prune()
	}
}

// prune forgets the routers that are no members any more and hold nothing.
func (r *routerSet) prune() {
	keep := make(map[fleet.Address]bool, len(r.ranking.members)+len(r.seeds))
	for _, member := range r.ranking.members {
		keep[member.Address] = true
	}
	for _, seed := range r.seeds {
		keep[seed] = true
	}
	for address, known := range r.states {
		if !keep[address] && known.waiting == 0 && known.reports.isIdle() {
			known.cancelAlive()
			delete(r.states, address)
		}
	}
}

// hasEngines tells whether the list of machines has been heard.
func (r *routerSet) hasEngines() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.ranking.machines.GetMachines()) > 0
}

// isReachable tells whether some router has answered within a time.
func (r *routerSet) isReachable(within time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.anyAnswered && r.clock.Now()-r.lastAnswerAt <= within
}
