package router

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/rollout"
)

const (
	// statusFresh is the age up to which an engine's status is used for rollout.
	statusFresh = 5 * time.Second
	// foreignStatusAge is the age up to which the status of an engine that
	// another router owns isn't asked for again.
	foreignStatusAge = 2 * time.Second
	// parallelStatusCalls bounds the calls to engines of other routers.
	parallelStatusCalls = 32
)

// heardStatus is an engine's last word about itself.
type heardStatus struct {
	status engine.Status
	at     time.Duration
}

// statusBoard keeps the last status of each engine. It is safe for concurrent use.
type statusBoard struct {
	clock    fleet.Clock
	mutex    sync.Mutex
	statuses map[fleet.EngineID]heardStatus
}

func newStatusBoard(clock fleet.Clock) *statusBoard {
	return &statusBoard{clock: clock, statuses: make(map[fleet.EngineID]heardStatus)}
}

func (b *statusBoard) note(status engine.Status) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if known := b.statuses[status.Engine]; status.Incarnation < known.status.Incarnation {
		return
	}
	b.statuses[status.Engine] = heardStatus{status: status, at: b.clock.Now()}
}

func (b *statusBoard) forget(id fleet.EngineID) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.statuses, id)
}

// find returns a status that isn't older than an age.
func (b *statusBoard) find(id fleet.EngineID, age time.Duration) (engine.Status, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	heard, found := b.statuses[id]
	return heard.status, found && b.clock.Now()-heard.at <= age
}

// allStatuses returns the listed engines with a fresh status, by identifier.
// Those that this router doesn't follow are asked now.
func (f *engineFleet) allStatuses(ctx context.Context) []rollout.Engine {
	listed, foreign := f.listedEngines()
	f.askForeign(ctx, foreign)
	var engines []rollout.Engine
	for _, machine := range listed {
		if status, fresh := f.board.find(fleet.EngineID(machine.ID), statusFresh); fresh {
			engines = append(engines, rollout.Engine{Pool: machine.Pool, Status: status})
		}
	}
	return engines
}

// listedEngines returns the listed engines by identifier, and those among them
// that have no watcher.
func (f *engineFleet) listedEngines() (listed, foreign []platform.Machine) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for id, machine := range f.machines {
		listed = append(listed, machine)
		if f.watchers[id] == nil {
			foreign = append(foreign, machine)
		}
	}
	slices.SortFunc(listed, func(a, b platform.Machine) int { return cmp.Compare(a.ID, b.ID) })
	return listed, foreign
}

func (f *engineFleet) askForeign(ctx context.Context, foreign []platform.Machine) {
	queue := make(chan platform.Machine)
	var workers sync.WaitGroup
	for range min(len(foreign), parallelStatusCalls) {
		workers.Go(func() {
			for machine := range queue {
				f.askStatus(ctx, machine)
			}
		})
	}
	for _, machine := range foreign {
		if _, fresh := f.board.find(fleet.EngineID(machine.ID), foreignStatusAge); !fresh {
			queue <- machine
		}
	}
	close(queue)
	workers.Wait()
}

func (f *engineFleet) askStatus(ctx context.Context, machine platform.Machine) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	client := engine.New(machine.Address, engine.Options{})
	defer client.CloseIdle()
	status, err := client.Status(ctx)
	if err == nil && string(status.Engine) == machine.ID {
		f.board.note(status)
	}
}

// client returns a client of a listed engine, to be released after use.
func (f *engineFleet) client(id fleet.EngineID) (client *engine.Client, release func(), found bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if watcher := f.watchers[id]; watcher != nil {
		return watcher.client, func() {}, true
	}
	machine, found := f.machines[id]
	if !found {
		return nil, nil, false
	}
	client = engine.New(machine.Address, engine.Options{})
	return client, client.CloseIdle, true
}
