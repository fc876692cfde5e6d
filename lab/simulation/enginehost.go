package simulation

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
	"github.com/tillerfall/tillerfall/lab/history"
)

// pool is the pool of every engine.
const pool fleet.PoolName = "pool"

// engineHost runs one engine model.
type engineHost struct {
	process
	id    fleet.EngineID
	model *enginemodel.Engine
	// listedLeaving is set while the platform's list shows the machine as leaving.
	listedLeaving bool
	connections   []*connection
	planned       time.Duration
}

func newEngineHost(w *world, index int) *engineHost {
	id := fleet.EngineID(fmt.Sprintf("engine-%d", index))
	zone := w.zone(index)
	host := &engineHost{
		process: process{world: w, address: fleet.Address(fmt.Sprintf("10.1.0.%d:8100", index)), zone: zone},
		id:      id,
	}
	host.model = enginemodel.New(enginemodel.Config{
		ID: id, Zone: zone, Costs: w.options.costs(),
		CacheBlocks: w.options.CacheBlocks, BlockTokens: blockTokens,
		EventDelay: w.options.EventDelay, EventLoss: w.options.EventLoss, LoadLag: w.options.LoadLag,
		Loaded: []engine.Weights{{Model: model, Version: firstVersion}}, KeepWeights: true,
		RecordHistory: true, Random: w.newRandom(),
	})
	return host
}

func (h *engineHost) run() fleet.EngineRun {
	return fleet.EngineRun{Engine: h.id, Incarnation: h.model.Incarnation()}
}

func (h *engineHost) start() {
	h.begin()
	h.world.record(history.EngineStarted{Run: h.run()})
}

// kill ends the run; every connection breaks.
func (h *engineHost) kill() {
	h.world.record(history.EngineKilled{Run: h.run()})
	connections := h.connections
	h.connections = nil
	h.planned = 0
	h.end()
	for _, open := range connections {
		open.breakOff()
	}
}

// restart begins the next run, with an empty cache.
func (h *engineHost) restart() {
	h.model.Restart(h.now())
	h.listedLeaving = false
	h.start()
	h.world.listMachines()
}

func (h *engineHost) machine() platform.Machine {
	machine := platform.Machine{
		ID: string(h.id), Kind: platform.MachineEngine, Address: h.address, Zone: h.zone, Pool: pool,
		Incarnation: h.model.Incarnation(), State: platform.MachineLive,
	}
	if h.listedLeaving {
		machine.State = platform.MachineLeaving
	}
	return machine
}

// dispatchCall is what an agent sends to an engine.
type dispatchCall struct {
	request engine.DispatchRequest
	granted fleet.EngineRun
}

// dispatch serves a dispatch. An accepted one goes on as a stream of frames.
func (h *engineHost) dispatch(incoming dispatchCall, to *connection, reply func(any) time.Duration) {
	request := incoming.request
	if h.world.options.Variant == DispatchToAnyRun {
		request.Incarnation = h.model.Incarnation()
	}
	err := h.model.Dispatch(h.now(), request)
	if err != nil {
		reply(err)
		h.changed()
		return
	}
	h.world.record(history.Accepted{
		Request: history.RequestOf(request.StreamID), Stream: request.StreamID, Run: h.run(), Granted: incoming.granted,
	})
	h.stream(to, len(request.Continuation), reply)
}

// resume serves a resume.
func (h *engineHost) resume(stream fleet.StreamID, offset int, to *connection, reply func(any) time.Duration) {
	h.model.Advance(h.now())
	if _, _, err := h.model.Frames(stream, offset); err != nil {
		reply(err)
		return
	}
	h.stream(to, offset, reply)
}

// stream answers with the first frame and lets the others follow.
func (h *engineHost) stream(to *connection, offset int, reply func(any) time.Duration) {
	accepted, err := h.model.AcceptedFrame(to.stream)
	if err != nil {
		reply(err)
		return
	}
	to.next = offset
	to.lastArrival = reply(accepted)
	h.connections = append(h.connections, to)
	h.changed()
}

// cancel serves a cancel.
func (h *engineHost) cancel(stream fleet.StreamID, incarnation fleet.Incarnation, reply func(any) time.Duration) {
	response, err := h.model.Cancel(h.now(), stream, incarnation)
	if err != nil {
		reply(err)
	} else {
		reply(response)
	}
	h.changed()
}

// order serves a fenced order.
func (h *engineHost) order(order engine.Order, reply func(any) time.Duration) {
	err := h.model.ApplyOrder(h.now(), order)
	if err == nil {
		h.world.record(history.OrderObeyed{Run: h.run(), Token: order.Fence, Kind: order.Kind, Weights: order.Weights})
		if order.Kind == engine.OrderRetire {
			h.world.record(history.EngineLeaving{Run: h.run(), Source: "engine"})
		}
	}
	reply(err)
	h.changed()
}

// changed records what the engine began, sends new frames and plans its next step.
func (h *engineHost) changed() {
	for _, execution := range h.model.TakeExecutions() {
		h.world.record(history.Executed{
			Request: history.RequestOf(execution.Stream), Stream: execution.Stream, Run: h.run(),
			Tenant: execution.Scope.Tenant, Weights: execution.Scope.ModelVersion,
			CachedBlocks: execution.CachedBlocks, ForeignBlocks: execution.ForeignBlocks,
		})
	}
	kept := h.connections[:0]
	for _, open := range h.connections {
		if open.pump(h) {
			kept = append(kept, open)
		}
	}
	h.connections = kept
	h.plan()
}

func (h *engineHost) plan() {
	next, found := h.model.NextWakeup()
	if !found || (h.planned != 0 && h.planned <= next && h.planned > h.now()) {
		return
	}
	h.planned = next
	h.after(max(next-h.now(), 0), func() {
		if h.planned != next {
			return
		}
		h.planned = 0
		h.model.Advance(h.now())
		h.changed()
	})
}

// engineError returns the typed error in an answer, or nil.
func engineError(answer any) *engine.Error {
	err, isError := answer.(error)
	var failed *engine.Error
	if isError && errors.As(err, &failed) {
		return failed
	}
	return nil
}
