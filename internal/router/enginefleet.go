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

// pollRequestInterval is how often the placement core is asked which engines need an extra poll.
const pollRequestInterval = 100 * time.Millisecond

// engineFleet runs a watcher for each listed engine that this router owns, and reports the listed
// engines to the placement core.
type engineFleet struct {
	node     fleet.NodeID
	placer   *placer
	metrics  *metrics
	settings Settings
	logger   zerolog.Logger
	statuses *statusCache

	mutex    sync.Mutex
	machines map[fleet.EngineID]platform.Machine
	watchers map[fleet.EngineID]*engineWatcher
	// pendingLeaving holds entries that mark an engine as leaving but name no incarnation, until
	// the engine's incarnation is known.
	pendingLeaving map[fleet.EngineID]platform.Machine
	routers        []membership.Member
	// ownership determines which engines this router owns. It is derived from listed and routers.
	ownership *ownership
	listed    []platform.Machine
	stopped   bool
}

func newEngineFleet(node fleet.NodeID, placer *placer, metrics *metrics, settings Settings, logger zerolog.Logger) *engineFleet {
	return &engineFleet{
		node:           node,
		placer:         placer,
		metrics:        metrics,
		settings:       settings,
		logger:         logger,
		statuses:       newStatusCache(placer.clock),
		ownership:      newOwnership(node, nil, nil, settings.IndexReplicas),
		machines:       make(map[fleet.EngineID]platform.Machine),
		watchers:       make(map[fleet.EngineID]*engineWatcher),
		pendingLeaving: make(map[fleet.EngineID]platform.Machine),
	}
}

// setMachines applies a new list of machines.
func (f *engineFleet) setMachines(listed []platform.Machine) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.listed = listed
	f.updateOwnership()
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
			f.removeMachine(id)
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
	resolved := f.withIncarnation(machine)
	delete(f.pendingLeaving, id)
	if resolved.Incarnation == 0 && resolved.State == platform.MachineLeaving {
		f.pendingLeaving[id] = resolved
	}
	f.placer.do(func(now time.Duration, core *placement.Core) { core.ObserveMachine(now, resolved) })
}

// withIncarnation fills in the last observed incarnation of an engine if its entry names none. The
// placement core ignores entries for older incarnations.
func (f *engineFleet) withIncarnation(machine platform.Machine) platform.Machine {
	if machine.Incarnation == 0 {
		machine.Incarnation = f.statuses.lastIncarnation(fleet.EngineID(machine.ID))
	}
	return machine
}

// resolvePendingLeaving reports engines as leaving once their incarnation is known. Later
// incarnations are not affected. The mutex must be held.
func (f *engineFleet) resolvePendingLeaving() {
	for id, machine := range f.pendingLeaving {
		resolved := f.withIncarnation(machine)
		if resolved.Incarnation == 0 {
			continue
		}
		delete(f.pendingLeaving, id)
		f.placer.do(func(now time.Duration, core *placement.Core) { core.ObserveMachine(now, resolved) })
	}
}

func (f *engineFleet) removeMachine(id fleet.EngineID) {
	delete(f.machines, id)
	delete(f.pendingLeaving, id)
	f.statuses.remove(id)
	f.logger.Info().Str("engine", string(id)).Msg("machine_gone")
	f.placer.do(func(now time.Duration, core *placement.Core) { core.ForgetMachine(now, id) })
}

// setRouters applies a new list of the routers that share the engines.
func (f *engineFleet) setRouters(routable []membership.Member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if slices.Equal(f.routers, routable) {
		return
	}
	f.routers = slices.Clone(routable)
	f.updateOwnership()
	f.reconcile()
}

// updateOwnership recomputes which engines this router owns and updates the placement core, which
// must know the ownership before it learns of new engines. The mutex must be held.
func (f *engineFleet) updateOwnership() {
	if f.settings.IndexReplicas == 0 {
		return
	}
	f.ownership = newOwnership(f.node, f.listed, f.routers, f.settings.IndexReplicas)
	owned := f.ownership.owns
	f.placer.do(func(_ time.Duration, core *placement.Core) { core.SetOwned(owned) })
}

// reconcile starts and stops watchers to match the owned engines. The mutex must be held.
func (f *engineFleet) reconcile() {
	if f.stopped {
		return
	}
	for id, watcher := range f.watchers {
		machine, listed := f.machines[id]
		if listed && machine.Address == watcher.address && f.ownership.owns(id) {
			continue
		}
		delete(f.watchers, id)
		watcher.stop()
	}
	for id, machine := range f.machines {
		if f.watchers[id] != nil || !f.ownership.owns(id) {
			continue
		}
		watcher := newEngineWatcher(machine, f)
		f.watchers[id] = watcher
		watcher.start()
	}
}

// run forwards poll requests from the placement core to the watchers until dying is closed.
func (f *engineFleet) run(dying <-chan struct{}) error {
	ticker := time.NewTicker(pollRequestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-dying:
			f.stop()
			return nil
		case <-ticker.C:
			f.requestPolls()
		}
	}
}

func (f *engineFleet) requestPolls() {
	var status, snapshots []fleet.EngineID
	f.placer.do(func(_ time.Duration, core *placement.Core) {
		status = core.NeedsStatus()
		snapshots = core.NeedsSnapshot()
	})
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.resolvePendingLeaving()
	for _, id := range status {
		if watcher := f.watchers[id]; watcher != nil {
			notify(watcher.statusRequested)
		}
	}
	for _, id := range snapshots {
		if watcher := f.watchers[id]; watcher != nil {
			notify(watcher.snapshotRequested)
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
		watcher.tomb.Kill(nil)
	}
	for _, watcher := range watchers {
		watcher.stop()
	}
}
