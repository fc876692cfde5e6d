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

// Emulator holds the state of one run.
type Emulator struct {
	options Options
	queue   *eventqueue.Queue
	network network

	engines      []*engineHost
	engineByID   map[fleet.EngineID]*engineHost
	routers      []*routerHost
	routerByNode map[fleet.NodeID]*routerHost
	members      []membership.Member
	// pools assigns engines to routers; nil when every router owns all engines.
	pools  *membership.PoolMap
	agents map[fleet.ZoneName]*agentHost

	calls        []*call
	nextRequest  int
	openRequests int
	ledger       *prefillLedger
}

// Run replays the trace and returns the measurements. It is deterministic: equal options give
// equal results. It fails if the configuration of the fleet is invalid or requests don't end.
func Run(options Options) (*Result, error) {
	e, err := newEmulator(options.withDefaults())
	if err != nil {
		return nil, err
	}
	for _, router := range e.routers {
		router.start()
	}
	e.scheduleCrash()
	e.scheduleArrival()
	end := e.options.Trace.Duration + maxOverrun
	for e.openRequests > 0 || e.nextRequest < len(e.options.Trace.Requests) {
		if !e.queue.Step() {
			return nil, errors.New("requests are still open but the event queue is empty")
		}
		if e.queue.Now() > end {
			return nil, errors.Errorf("%d requests are still open after the maximum overrun of the trace", e.openRequests)
		}
	}
	return e.result(), nil
}

func newEmulator(options Options) (*Emulator, error) {
	description := options.Trace.Fleet
	view, err := config.NewView(document(description))
	if err != nil {
		return nil, errors.Wrap(err, "build fleet configuration")
	}
	e := &Emulator{
		options:      options,
		queue:        eventqueue.New(options.Seed),
		network:      newNetwork(description),
		engineByID:   make(map[fleet.EngineID]*engineHost),
		routerByNode: make(map[fleet.NodeID]*routerHost),
		agents:       make(map[fleet.ZoneName]*agentHost),
		ledger:       newPrefillLedger(),
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
	settings.Loaded = []engine.ModelVersion{engine.ModelVersion(description.ModelVersion)}
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

// addRouters adds the routers, spread over the zones in turn.
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

// isOwner reports whether a router indexes an engine.
func (e *Emulator) isOwner(node fleet.NodeID, id fleet.EngineID) bool {
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
		pending:  make(map[placement.Key]placementCall),
		router: policy.New(Setup{
			Node:      member.Node,
			Zone:      member.Zone,
			View:      view,
			Random:    e.newRandom(),
			Placement: e.options.Placement,
			IsOwned:   func(id fleet.EngineID) bool { return e.isOwner(member.Node, id) },
			engines:   e.engines,
		}),
	}
	e.routers = append(e.routers, host)
	e.routerByNode[member.Node] = host
}

func (e *Emulator) scheduleCrash() {
	crash := e.options.Crash
	if crash == nil {
		return
	}
	host := e.engines[crash.Engine]
	e.queue.At(crash.At, host.crash)
	e.queue.At(crash.At+crash.Down, host.restart)
}

// scheduleArrival schedules the next request of the trace.
func (e *Emulator) scheduleArrival() {
	requests := e.options.Trace.Requests
	if e.nextRequest == len(requests) {
		return
	}
	e.queue.At(requests[e.nextRequest].At, e.arrive)
}

func (e *Emulator) arrive() {
	request := &e.options.Trace.Requests[e.nextRequest]
	e.nextRequest++
	e.openRequests++
	arrived := &call{
		request:      request,
		blocks:       request.Blocks(e.options.Trace.Fleet.BlockTokens),
		promptTokens: request.PromptTokens(),
	}
	e.calls = append(e.calls, arrived)
	newRequestDriver(e.agents[request.Zone], arrived, request.ID).start()
	e.scheduleArrival()
}

// requestEnded releases the request's block hashes, which hold most of its memory.
func (e *Emulator) requestEnded(call *call) {
	e.openRequests--
	call.blocks = nil
}

// engineChanged notifies the routers of a change at an engine.
func (e *Emulator) engineChanged(host *engineHost) {
	for _, router := range e.routers {
		router.engineChanged(host)
	}
}

// dispatchArrived notifies the routers that observe engines directly.
func (e *Emulator) dispatchArrived(host *engineHost, stream fleet.StreamID) {
	for _, router := range e.routers {
		if observer, isObserver := router.router.(engineObserver); isObserver {
			router.apply(func(now time.Duration, _ Router) { observer.dispatchArrived(now, host, stream) })
		}
	}
}

// reachableTokens returns the length in tokens of the longest cached prefix of a prompt on any live
// engine.
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
