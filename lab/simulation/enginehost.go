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

// pool is the name of the pool that all engines belong to.
const pool fleet.PoolName = "pool"

// engineHost is a simulated engine process.
type engineHost struct {
	process
	id    fleet.EngineID
	model *enginemodel.Engine
	// listedLeaving is set while the platform's list shows the machine as leaving.
	listedLeaving bool
	connections   []*connection
	nextStepAt    time.Duration
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
		Loaded: []engine.ModelVersion{{Model: model, Version: firstVersion}}, KeepWeights: true,
		RecordHistory: true, Random: w.newRandom(),
	})
	return host
}

func (h *engineHost) currentRun() fleet.EngineRun {
	return fleet.EngineRun{Engine: h.id, Incarnation: h.model.Incarnation()}
}

func (h *engineHost) start() {
	h.begin()
	h.world.record(history.EngineStarted{Run: h.currentRun()})
}

// kill ends the engine run and breaks its connections.
func (h *engineHost) kill() {
	h.world.record(history.EngineKilled{Run: h.currentRun()})
	connections := h.connections
	h.connections = nil
	h.nextStepAt = 0
	h.end()
	for _, open := range connections {
		open.disconnect()
	}
}

// restart begins the next run, with an empty cache.
func (h *engineHost) restart() {
	h.model.Restart(h.now())
	h.listedLeaving = false
	h.start()
	h.world.publishMachines()
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

// dispatchCall is an agent's dispatch to an engine, with the run that the grant named.
type dispatchCall struct {
	request    engine.DispatchRequest
	grantedRun fleet.EngineRun
}

// dispatch serves a dispatch. An accepted one starts a stream of frames.
func (h *engineHost) dispatch(incoming dispatchCall, to *connection, reply func(any) time.Duration) {
	request := incoming.request
	if h.world.options.Variant == DispatchToAnyRun {
		request.Incarnation = h.model.Incarnation()
	}
	err := h.model.Dispatch(h.now(), request)
	if err != nil {
		reply(err)
		h.update()
		return
	}
	h.world.record(history.Accepted{
		Request: history.RequestOfStream(request.StreamID), Stream: request.StreamID, Run: h.currentRun(), Granted: incoming.grantedRun,
	})
	h.startStream(to, len(request.Continuation), reply)
}

// resume serves a resume.
func (h *engineHost) resume(stream fleet.StreamID, offset int, to *connection, reply func(any) time.Duration) {
	h.model.Advance(h.now())
	if _, _, err := h.model.Frames(stream, offset); err != nil {
		reply(err)
		return
	}
	h.startStream(to, offset, reply)
}

// startStream answers with the first frame and sends the following ones as they are produced.
func (h *engineHost) startStream(to *connection, offset int, reply func(any) time.Duration) {
	accepted, err := h.model.AcceptedFrame(to.stream)
	if err != nil {
		reply(err)
		return
	}
	to.nextToken = offset
	to.lastArrival = reply(accepted)
	h.connections = append(h.connections, to)
	h.update()
}

// cancel serves a cancel.
func (h *engineHost) cancel(stream fleet.StreamID, incarnation fleet.Incarnation, reply func(any) time.Duration) {
	response, err := h.model.Cancel(h.now(), stream, incarnation)
	if err != nil {
		reply(err)
	} else {
		reply(response)
	}
	h.update()
}

// serveOrder serves a fenced order.
func (h *engineHost) serveOrder(order engine.Order, reply func(any) time.Duration) {
	err := h.model.ApplyOrder(h.now(), order)
	if err == nil {
		h.world.record(history.OrderExecuted{Run: h.currentRun(), Token: order.Fence, Kind: order.Kind, Weights: order.ModelVersion})
		if order.Kind == engine.OrderRetire {
			h.world.record(history.EngineLeaving{Run: h.currentRun(), Source: "engine"})
		}
	}
	reply(err)
	h.update()
}

// update records started executions, sends new frames and schedules the next step.
func (h *engineHost) update() {
	for _, execution := range h.model.TakeExecutions() {
		h.world.record(history.Executed{
			Request: history.RequestOfStream(execution.Stream), Stream: execution.Stream, Run: h.currentRun(),
			Tenant: execution.Scope.Tenant, Version: execution.Scope.ModelVersion,
			CachedBlocks: execution.CachedBlocks, ForeignBlocks: execution.ForeignBlocks,
		})
	}
	remaining := h.connections[:0]
	for _, open := range h.connections {
		if open.pump(h) {
			remaining = append(remaining, open)
		}
	}
	h.connections = remaining
	h.scheduleStep()
}

func (h *engineHost) scheduleStep() {
	next, found := h.model.NextWakeup()
	if !found || (h.nextStepAt != 0 && h.nextStepAt <= next && h.nextStepAt > h.now()) {
		return
	}
	h.nextStepAt = next
	h.after(max(next-h.now(), 0), func() {
		if h.nextStepAt != next {
			return
		}
		h.nextStepAt = 0
		h.model.Advance(h.now())
		h.update()
	})
}

// engineError returns the engine.Error of an answer, or nil.
func engineError(answer any) *engine.Error {
	err, isError := answer.(error)
	var failed *engine.Error
	if isError && errors.As(err, &failed) {
		return failed
	}
	return nil
}
