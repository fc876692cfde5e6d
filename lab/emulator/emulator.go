package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
	"github.com/tillerfall/tillerfall/lab/eventqueue"
)

// Emulator is one run under way.
type Emulator struct {
	options Options
	queue   *eventqueue.Queue
	network network

	engines      []*engineHost
	engineByID   map[fleet.EngineID]*engineHost
	routers      []*routerHost
	routerByNode map[fleet.NodeID]*routerHost
	members      []membership.Member
	// pools shares the engines among the routers; nil when each owns all.
	pools  *membership.PoolMap
	agents map[fleet.ZoneName]*agentHost

	calls  []*call
	next   int
	open   int
	ledger *ledger
}

// Run replays the trace and returns what was measured. Equal options give equal
// results.
func Run(options Options) (*Result, error) {
	e, err := newEmulator(options.withDefaults())
	if err != nil {
		return nil, err
	}
	for _, router := range e.routers {
		router.start()
	}
	e.planCrash()
	e.planArrival()
	end := e.options.Trace.Duration + maxOverrun
	for e.open > 0 || e.next < len(e.options.Trace.Requests) {
		if !e.queue.Step() {
			return nil, errors.New("requests are open and nothing is planned")
		}
		if e.queue.Now() > end {
			return nil, errors.Errorf("%d requests are open long after the trace's end", e.open)
		}
	}
	return e.result(), nil
}

func newEmulator(options Options) (*Emulator, error) {
	description := options.Trace.Fleet
	view, err := config.NewView(document(description))
	if err != nil {
		return nil, errors.Wrap(err, "configuration of the fleet")
	}
	e := &Emulator{
		options:      options,
		queue:        eventqueue.New(options.Seed),
		network:      newNetwork(description),
		engineByID:   make(map[fleet.EngineID]*engineHost),
		routerByNode: make(map[fleet.NodeID]*routerHost),
		agents:       make(map[fleet.ZoneName]*agentHost),
		ledger:       newLedger(),
	}
	for index := range description.Engines {
		e.addEngine(index)
	}
	e.addRouters(view)
	for _, zone := range description.Zones {
		e.agents[zone] = newAgentHost(e, zone)
	}
	return e, nil
}

func (e *Emulator) newRandom() *rand.Rand {
	random := e.queue.Random()
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

func (e *Emulator) addEngine(index int) {
	description := e.options.Trace.Fleet
	id := fleet.EngineID(fmt.Sprintf("engine-%02d", index+1))
	zone := description.Zones[index%len(description.Zones)]
	settings := e.options.engineConfig(id, zone)
	settings.Loaded = []engine.Weights{engine.Weights(description.ModelVersion)}
	settings.Random = e.newRandom()
	model := enginemodel.New(settings)
	host := &engineHost{
		emulator: e,
		index:    index,
		model:    model,
		streams:  make(map[fleet.StreamID]*openStream),
		machine: platform.Machine{
			ID:          string(id),
			Kind:        platform.MachineEngine,
			Address:     fleet.Address(id),
			Zone:        zone,
			Pool:        description.Pool,
			Incarnation: model.Incarnation(),
			State:       platform.MachineLive,
		},
	}
	e.engines = append(e.engines, host)
	e.engineByID[id] = host
}

// addRouters adds the routers in the order of the zones.
func (e *Emulator) addRouters(view *config.View) {
	description := e.options.Trace.Fleet
	count := description.Routers
	if e.options.Policy.Routing == RouteCentral {
		count = 1
	}
	for index := range count {
		e.members = append(e.members, membership.Member{
			Node:  fleet.NodeID(fmt.Sprintf("router-%d", index+1)),
			Zone:  description.Zones[index%len(description.Zones)],
			State: membership.Alive,
		})
	}
	if replicas := e.options.Policy.IndexReplicas; replicas > 0 {
		e.pools = membership.NewPoolMap(e.sites(), e.members, replicas)
	}
	for index, member := range e.members {
		e.addRouter(index, member, view)
	}
}

func (e *Emulator) sites() []membership.EngineSite {
	sites := make([]membership.EngineSite, 0, len(e.engines))
	for _, host := range e.engines {
		sites = append(sites, host.site())
	}
	return sites
}

// owns tells whether a router indexes an engine.
func (e *Emulator) owns(node fleet.NodeID, id fleet.EngineID) bool {
	if e.pools == nil {
		return true
	}
	return slices.Contains(e.pools.Owners(id, e.engineByID[id].site()), node)
}

func (e *Emulator) addRouter(index int, member membership.Member, view *config.View) {
	policy := e.options.Policy
	host := &routerHost{
		emulator: e,
		index:    index,
		node:     member.Node,
		zone:     member.Zone,
		central:  policy.Routing == RouteCentral,
		asking:   make(map[placement.Key]question),
		router: policy.New(Setup{
			Node:      member.Node,
			Zone:      member.Zone,
			View:      view,
			Random:    e.newRandom(),
			Placement: e.options.Placement,
			Owned:     func(id fleet.EngineID) bool { return e.owns(member.Node, id) },
			engines:   e.engines,
		}),
	}
	e.routers = append(e.routers, host)
	e.routerByNode[member.Node] = host
}

func (e *Emulator) planCrash() {
	crash := e.options.Crash
	if crash == nil {
		return
	}
	host := e.engines[crash.Engine]
	e.queue.At(crash.At, host.crash)
	e.queue.At(crash.At+crash.Down, host.restart)
}

// planArrival plans the next request of the trace.
func (e *Emulator) planArrival() {
	requests := e.options.Trace.Requests
	if e.next == len(requests) {
		return
	}
	e.queue.At(requests[e.next].At, e.arrive)
}

func (e *Emulator) arrive() {
	request := &e.options.Trace.Requests[e.next]
	e.next++
	e.open++
	made := &call{
		request:      request,
		blocks:       request.Blocks(e.options.Trace.Fleet.BlockTokens),
		promptTokens: request.PromptTokens(),
	}
	e.calls = append(e.calls, made)
	newCarrier(e.agents[request.Zone], made, request.ID).start()
	e.planArrival()
}

// ended lets go of the blocks, which are most of a request's memory.
func (e *Emulator) ended(call *call) {
	e.open--
	call.blocks = nil
}

// engineChanged tells the routers that may learn of it at once.
func (e *Emulator) engineChanged(host *engineHost) {
	for _, router := range e.routers {
		router.engineChanged(host)
	}
}

func (e *Emulator) dispatchArrived(host *engineHost, stream fleet.StreamID) {
	for _, router := range e.routers {
		if observer, observes := router.router.(engineObserver); observes {
			router.do(func(now time.Duration, _ Router) { observer.dispatchArrived(now, host, stream) })
		}
	}
}

// reachableTokens returns the longest prefix of a prompt that any live engine
// holds now.
func (e *Emulator) reachableTokens(blocks []fleet.BlockHash, promptTokens int) int {
	longest := 0
	for _, host := range e.engines {
		if !host.down {
			host.model.Advance(e.queue.Now())
			longest = max(longest, host.model.CachedPrefix(blocks))
		}
	}
	return min(longest*e.options.Trace.Fleet.BlockTokens, promptTokens-1)
}
