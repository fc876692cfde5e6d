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
	"github.com/tillerfall/tillerfall/internal/boundedhttp"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// Limits of connections to routers. Each waiting request uses one connection.
const (
	routerConnectTimeout = time.Second
	routerIdleTimeout    = time.Minute
	maxIdleConnections   = 64
	// maxRouterMessageBytes bounds one message from a router.
	maxRouterMessageBytes = 32 << 20
	// initialBackoff is the backoff after a router's first failure.
	initialBackoff = 200 * time.Millisecond
)

// routerState is the agent's state for a router. All fields except address, client and reports are
// guarded by the mutex of routerSet.
type routerState struct {
	address fleet.Address
	client  rpc.Placement
	reports reportQueue

	failures   int
	retryAt    time.Duration
	isStopping bool
	// revision is the router's configuration revision in its last response; hasResponded is false
	// before the first response and after a failure.
	revision     fleet.Revision
	hasResponded bool
	// machinesWanted is set if the router asked for the list of machines.
	machinesWanted bool
	// waiting counts the requests that wait for the router.
	waiting int
	// aliveContext is cancelled and replaced when the router fails.
	aliveContext context.Context
	cancelAlive  context.CancelFunc
}

// routerSet holds the routers that the agent may use.
type routerSet struct {
	clock      fleet.Clock
	seeds      []fleet.Address
	backoffMax time.Duration
	client     *http.Client

	mutex   sync.Mutex
	ranking routerRanking
	states  map[fleet.Address]*routerState
	// followed is the router from which lists are replicated.
	followed       *routerState
	rotation       int
	lastResponseAt time.Duration
	anyResponded   bool
}

func newRouterSet(clock fleet.Clock, ranking routerRanking, seeds []fleet.Address, backoffMax time.Duration) *routerSet {
	dialer := &net.Dialer{Timeout: routerConnectTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     routerIdleTimeout,

		MaxResponseHeaderBytes: boundedhttp.MaxHeadBytes,
	}
	return &routerSet{
		clock:      clock,
		ranking:    ranking,
		seeds:      seeds,
		backoffMax: backoffMax,
		client:     &http.Client{Transport: boundedhttp.Transport{Next: transport, MaxBodyBytes: maxRouterMessageBytes}},
		states:     make(map[fleet.Address]*routerState),
		rotation:   rand.IntN(math.MaxInt32),
	}
}

// getOrCreate returns the state of the router at address. The mutex must be held.
func (r *routerSet) getOrCreate(address fleet.Address) *routerState {
	if state, found := r.states[address]; found {
		return state
	}
	created := &routerState{
		address: address,
		client:  rpc.NewPlacementProtobufClient("http://"+string(address), r.client),
	}
	created.aliveContext, created.cancelAlive = context.WithCancel(context.Background())
	r.states[address] = created
	return created
}

// chooseRouter returns the router for a placement. Routers that the request has already tried, that
// failed recently or that are stopping are ranked last.
func (r *routerSet) chooseRouter(route route, preferred []fleet.Address, tried map[fleet.Address]int) *routerState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var best *routerState
	bestPenalty := 0
	for _, address := range r.candidates(route, preferred) {
		candidate := r.getOrCreate(address)
		penalty := r.penalty(candidate) + tried[address]*(penaltyStopping+1)
		if best == nil || penalty < bestPenalty {
			best, bestPenalty = candidate, penalty
		}
	}
	return best
}

// Penalties of routers; lower is better.
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

// candidates returns the preferred routers, then the members in order of the route, then the seeds.
func (r *routerSet) candidates(route route, preferred []fleet.Address) []fleet.Address {
	var addresses []fleet.Address
	for _, address := range preferred {
		if _, err := netip.ParseAddrPort(string(address)); err == nil {
			addresses = append(addresses, address)
		}
	}
	for _, member := range r.ranking.order(route) {
		addresses = append(addresses, member.Address)
	}
	return append(addresses, r.rankedSeeds(route)...)
}

// rankedSeeds orders the seeds in the same way as members, so that agents choose the same router
// for a request before they know the members.
func (r *routerSet) rankedSeeds(route route) []fleet.Address {
	seeds := affinity.Routers{Members: make([]membership.Member, 0, len(r.seeds))}
	for _, address := range r.seeds {
		seeds.Members = append(seeds.Members, membership.Member{Node: fleet.NodeID(address), Address: address, State: membership.Alive})
	}
	addresses := make([]fleet.Address, 0, len(r.seeds))
	for _, seed := range seeds.Order(route.choice, route.pool) {
		addresses = append(addresses, seed.Address)
	}
	return addresses
}

// beginWait counts a request that waits for a router. The returned context is cancelled if the
// router fails.
func (r *routerSet) beginWait(router *routerState) context.Context {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	router.waiting++
	return router.aliveContext
}

func (r *routerSet) endWait(router *routerState) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	router.waiting--
}

// recordResponse records a response and the revision in its header.
func (r *routerSet) recordResponse(router *routerState, header *rpc.Header) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	router.failures = 0
	router.retryAt = 0
	router.hasResponded = true
	router.revision = fleet.Revision(header.GetKnownRevision())
	r.lastResponseAt = r.clock.Now()
	r.anyResponded = true
}

// recordFailure records a failed call to a router and cancels the requests that wait for it.
func (r *routerSet) recordFailure(router *routerState) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	router.hasResponded = false
	router.cancelAlive()
	router.aliveContext, router.cancelAlive = context.WithCancel(context.Background())
	now := r.clock.Now()
	if router.retryAt > now {
		return // already recorded by another call
	}
	backoff := initialBackoff << min(router.failures, maxBackoffShift)
	router.failures++
	router.retryAt = now + min(backoff, r.backoffMax)
}

// maxBackoffShift limits the doublings of a router's backoff.
const maxBackoffShift = 10

// recordSync records what a router reported about itself in a sync.
func (r *routerSet) recordSync(router *routerState, response *rpc.SyncResponse) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	router.isStopping = response.GetStopping()
	router.machinesWanted = response.GetMachinesWanted()
}

func (r *routerSet) wantsMachines(router *routerState) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return router.machinesWanted
}

// isBehind reports whether the router's revision is older than ours.
func (r *routerSet) isBehind(router *routerState, ours fleet.Revision) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return router.hasResponded && router.revision < ours
}

// update applies the latest lists of routers and engines.
func (r *routerSet) update(members []membership.Member, machines *rpc.MachineList, replicas int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ranking.update(members, machines, replicas)
	if len(members) > 0 {
		r.prune()
	}
}

// prune removes routers that are neither members nor seeds and have no waiting requests or pending
// reports.
func (r *routerSet) prune() {
	keep := make(map[fleet.Address]bool, len(r.ranking.members)+len(r.seeds))
	for _, member := range r.ranking.members {
		keep[member.Address] = true
	}
	for _, seed := range r.seeds {
		keep[seed] = true
	}
	for address, state := range r.states {
		if !keep[address] && state.waiting == 0 && state.reports.isIdle() {
			state.cancelAlive()
			delete(r.states, address)
		}
	}
}

// hasEngines reports whether a list of engines is known.
func (r *routerSet) hasEngines() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.ranking.machines.GetMachines()) > 0
}

// isReachable reports whether any router has answered within the given time.
func (r *routerSet) isReachable(within time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.anyResponded && r.clock.Now()-r.lastResponseAt <= within
}
