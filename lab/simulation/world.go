package simulation

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/lab/eventqueue"
	"github.com/tillerfall/tillerfall/lab/history"
)

// world is the state of one run.
type world struct {
	options Options
	queue   *eventqueue.Queue
	random  *rand.Rand
	history *history.History
	network *network
	tables  *tableService
	agents  []*agent
	routers []*router
	engines []*engineHost

	faultCount int
	resetRate  float64
	// freezeNextPlanner makes the next router that plans orders freeze before it sends any.
	freezeNextPlanner bool
	lastFrame         engine.Frame
	commandCalls      int
	commandCount      int
	// competing is set while runCompetingCommand executes a command.
	competing    bool
	requestCount int
	hotUntil     time.Duration
}

// Run simulates one run and returns its history.
func Run(options Options) *history.History {
	options = options.withDefaults()
	queue := eventqueue.New(options.Seed)
	w := &world{options: options, queue: queue, random: queue.Random(), history: &history.History{}}
	w.drawOptions()
	w.build()
	w.schedule()
	queue.RunUntil(w.options.Duration)
	w.history.End = w.options.Duration
	return w.history
}

// build creates the fleet and commits its initial configuration.
func (w *world) build() {
	w.network = &network{world: w}
	w.tables = newTableService(w)
	for index := range w.options.Engines {
		w.engines = append(w.engines, newEngineHost(w, index))
	}
	for index := range w.options.Routers {
		w.routers = append(w.routers, newRouter(w, index))
	}
	for index := range w.options.Agents {
		w.agents = append(w.agents, newAgent(w, index))
	}
	w.tables.commitInitial(w.initialDocument())
	for _, host := range w.engines {
		host.start()
	}
	w.publishMachines()
	for _, r := range w.routers {
		r.start()
	}
	for _, a := range w.agents {
		a.start()
	}
}

// schedule draws the external events: requests, commands and faults.
func (w *world) schedule() {
	w.scheduleRequests()
	w.scheduleCommands()
	w.scheduleFaults()
}

func (w *world) record(event history.Event) { w.history.Add(w.queue.Now(), event) }

func (w *world) zone(index int) fleet.ZoneName { return zones[index%len(zones)] }

func (w *world) seedAddresses() []fleet.Address {
	addresses := make([]fleet.Address, 0, len(w.routers))
	for _, r := range w.routers {
		addresses = append(addresses, r.address)
	}
	return addresses
}

func (w *world) routerAt(address fleet.Address) *router {
	for _, r := range w.routers {
		if r.address == address {
			return r
		}
	}
	return nil
}

func (w *world) engineAt(address fleet.Address) *engineHost {
	position := slices.IndexFunc(w.engines, func(h *engineHost) bool { return h.address == address })
	return w.engines[position]
}

func (w *world) engineByID(id fleet.EngineID) *engineHost {
	position := slices.IndexFunc(w.engines, func(h *engineHost) bool { return h.id == id })
	return w.engines[position]
}

// hasConfiguredNode reports whether some live agent has a configuration.
func (w *world) hasConfiguredNode() bool {
	for _, a := range w.agents {
		if a.alive && a.holder.Current() != nil {
			return true
		}
	}
	return false
}

// countNeverCached returns how many of the blocks that a grant expects to be cached were never
// stored by its engine run.
func (w *world) countNeverCached(grant placement.Grant, blocks []fleet.BlockHash) int {
	host := w.engineByID(grant.Run.Engine)
	if host.model.Incarnation() != grant.Run.Incarnation {
		return 0
	}
	expected := min(grant.ExpectedCachedTokens/max(grant.BlockTokens, 1), len(blocks))
	count := 0
	for _, hash := range blocks[:expected] {
		if !host.model.EverStored(hash) {
			count++
		}
	}
	return count
}

// digest returns a hash of the contents of a configuration.
func (w *world) digest(document config.Document) uint64 {
	encoded, err := json.Marshal(config.Canonical(document))
	if err != nil {
		panic(err) // a document always encodes
	}
	return xxhash.Sum64(encoded)
}

// publishMachines sets the platform's list of machines to the actual state.
func (w *world) publishMachines() {
	machines := make([]platform.Machine, 0, len(w.engines))
	for _, host := range w.engines {
		machines = append(machines, host.machine())
	}
	w.tables.model.SetMachines(w.queue.Now(), machines)
}

// readMachines reads the platform's list of machines for a process; false if it is unreachable.
func (w *world) readMachines(from *process) ([]platform.Machine, bool) {
	if w.tables.isUnreachable(from) {
		return nil, false
	}
	return w.tables.model.ListMachines(w.queue.Now()), true
}

// shouldReset reports whether a connection breaks before its next frame.
func (w *world) shouldReset(*connection) bool {
	return w.resetRate > 0 && w.random.Float64() < w.resetRate
}

// shouldDrop reports whether a frame is lost while its connection stays open.
func (w *world) shouldDrop(*connection) bool {
	return w.resetRate > 0 && w.random.Float64() < lostFrameRate
}

// strayFrame returns, with probability StrayFrameRate, the last token frame if it belongs to
// another request.
func (w *world) strayFrame(request fleet.RequestID, frame engine.Frame) (engine.Frame, bool) {
	last := w.lastFrame
	if frame.Kind == engine.FrameToken {
		w.lastFrame = frame
	}
	if last.Stream == "" || history.RequestOfStream(last.Stream) == request || w.random.Float64() >= w.options.StrayFrameRate {
		return engine.Frame{}, false
	}
	return last, true
}

// initialDocument returns the configuration that the fleet starts with.
func (w *world) initialDocument() config.Document {
	document := config.Document{
		Models: []config.Model{{
			Name: model, Pool: pool, MaxPromptTokens: 1 << 16, MaxOutputTokens: 1 << 10, BlockTokens: blockTokens,
		}},
		Pools: []config.Pool{{Name: pool, MaxStreams: w.options.MaxStreams, MaxLoads: 3}},
	}
	for _, version := range versions {
		state := config.VersionLoading
		if version == firstVersion {
			state = config.VersionServing
		}
		document.Models[0].Versions = append(document.Models[0].Versions, config.Version{Name: version, State: state})
	}
	for rank, class := range classes {
		document.Classes = append(document.Classes, config.Class{Name: class, Rank: rank, MaxWait: config.Duration(4 * time.Second), MinShare: 0.1})
	}
	for _, tenant := range tenants {
		document.Tenants = append(document.Tenants, config.Tenant{
			Name: tenant, KeyHashes: []string{config.HashKey(string(tenant))}, Weight: 1, Classes: classes,
			MaxConcurrent: 1 << 10, MaxWaiting: 1 << 8,
		})
	}
	return document
}
