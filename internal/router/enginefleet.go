package router

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/platform"
)

// needsInterval is the time between two questions to the core which engines
// want an extra poll.
const needsInterval = 100 * time.Millisecond

// engineFleet keeps a watcher for each engine that is listed and owned, and
// tells the core which engines there are.
type engineFleet struct {
	node     fleet.NodeID
	placer   *placer
	metrics  *metrics
	settings Settings
	logger   zerolog.Logger
	board    *statusBoard

	mutex    sync.Mutex
	machines map[fleet.EngineID]platform.Machine
	watchers map[fleet.EngineID]*engineWatcher
	// unheard holds the entries that say that an engine is leaving but name no
	// run, until the engine's run is heard.
	unheard map[fleet.EngineID]platform.Machine
	routers []membership.Member
	// shared says which engines are owned here, listed is the list that it is by.
	shared  *ownership
	listed  []platform.Machine
	stopped bool
}

func newEngineFleet(node fleet.NodeID, placer *placer, metrics *metrics, settings Settings, logger zerolog.Logger) *engineFleet {
	return &engineFleet{
		node:     node,
		placer:   placer,
		metrics:  metrics,
		settings: settings,
		logger:   logger,
		board:    newStatusBoard(placer.clock),
		shared:   newOwnership(node, nil, nil, settings.IndexReplicas),
		machines: make(map[fleet.EngineID]platform.Machine),
		watchers: make(map[fleet.EngineID]*engineWatcher),
		unheard:  make(map[fleet.EngineID]platform.Machine),
	}
}

// setMachines takes a new list of machines.
func (f *engineFleet) setMachines(listed []platform.Machine) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.listed = listed
	f.share()
	present := make(map[fleet.EngineID]bool, len(listed))
	for _, machine := range listed {
		if machine.Kind != platform.MachineEngine {
			continue
		}
		id := fleet.EngineID(machine.ID)
		present[id] = true
		f.observeMachine(id, machine)
	}
	for id := range f.machines {
		if !present[id] {
			f.forgetMachine(id)
		}
	}
	f.reconcile()
}

func (f *engineFleet) observeMachine(id fleet.EngineID, machine platform.Machine) {
	if known, found := f.machines[id]; found && known == machine {
		return
	}
	f.machines[id] = machine
	f.logger.Info().Str("engine", machine.ID).Uint64("incarnation", uint64(machine.Incarnation)).
		Str("address", string(machine.Address)).Str("state", string(machine.State)).Msg("machine_listed")
	named := f.nameRun(machine)
	delete(f.unheard, id)
	if named.Incarnation == 0 && named.State == platform.MachineLeaving {
		f.unheard[id] = named
	}
	f.placer.do(func(now time.Duration, core *placement.Core) { core.ObserveMachine(now, named) })
}

// nameRun takes an entry that names no run for one of the run last heard: the
// core ignores what the list says of older runs.
func (f *engineFleet) nameRun(machine platform.Machine) platform.Machine {
	if machine.Incarnation == 0 {
		machine.Incarnation = f.board.lastRun(fleet.EngineID(machine.ID))
	}
	return machine
}

// observeUnheard tells the core that engines are leaving whose runs have been
// heard by now; the mutex is held. Later runs are others.
func (f *engineFleet) observeUnheard() {
	for id, machine := range f.unheard {
		named := f.nameRun(machine)
		if named.Incarnation == 0 {
			continue
		}
		delete(f.unheard, id)
		f.placer.do(func(now time.Duration, core *placement.Core) { core.ObserveMachine(now, named) })
	}
}

func (f *engineFleet) forgetMachine(id fleet.EngineID) {
	delete(f.machines, id)
	delete(f.unheard, id)
	f.board.forget(id)
	f.logger.Info().Str("engine", string(id)).Msg("machine_gone")
	f.placer.do(func(now time.Duration, core *placement.Core) { core.ForgetMachine(now, id) })
}

// setRouters takes a new view of the routers, which share the engines.
func (f *engineFleet) setRouters(routable []membership.Member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if slices.Equal(f.routers, routable) {
		return
	}
	f.routers = slices.Clone(routable)
	f.share()
	f.reconcile()
}

// share shares the engines anew among the routers; the mutex is held. The core
// learns of it before it learns of a new engine.
func (f *engineFleet) share() {
	if f.settings.IndexReplicas == 0 {
		return
	}
	f.shared = newOwnership(f.node, f.listed, f.routers, f.settings.IndexReplicas)
	owned := f.shared.owns
	f.placer.do(func(_ time.Duration, core *placement.Core) { core.SetOwned(owned) })
}

// reconcile starts and stops watchers; the mutex is held.
func (f *engineFleet) reconcile() {
	if f.stopped {
		return
	}
	for id, watcher := range f.watchers {
		machine, listed := f.machines[id]
		if listed && machine.Address == watcher.address && f.shared.owns(id) {
			continue
		}
		delete(f.watchers, id)
		watcher.stop()
	}
	for id, machine := range f.machines {
		if f.watchers[id] != nil || !f.shared.owns(id) {
			continue
		}
		watcher := newEngineWatcher(machine, f)
		f.watchers[id] = watcher
		watcher.start()
	}
}

// run passes the core's wishes on to the watchers until dying is closed.
func (f *engineFleet) run(dying <-chan struct{}) error {
	ticker := time.NewTicker(needsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-dying:
			f.stop()
			return nil
		case <-ticker.C:
			f.passNeeds()
		}
	}
}

func (f *engineFleet) passNeeds() {
	var status, snapshots []fleet.EngineID
	f.placer.do(func(_ time.Duration, core *placement.Core) {
		status = core.NeedsStatus()
		snapshots = core.NeedsSnapshot()
	})
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.observeUnheard()
	for _, id := range status {
		if watcher := f.watchers[id]; watcher != nil {
			notify(watcher.statusWanted)
		}
	}
	for _, id := range snapshots {
		if watcher := f.watchers[id]; watcher != nil {
			notify(watcher.snapshotWanted)
		}
	}
}

func (f *engineFleet) stop() {
	f.mutex.Lock()
	f.stopped = true
	watchers := f.watchers
	f.watchers = make(map[fleet.EngineID]*engineWatcher)
	f.mutex.Unlock()
	for _, watcher := range watchers {
		watcher.life.Kill(nil)
	}
	for _, watcher := range watchers {
		watcher.stop()
	}
}
