package simulation

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/history"
)

// FaultKind names a kind of fault.
type FaultKind string

// Kinds of faults and of planned changes.
const (
	KillAgent     FaultKind = "kill-agent"
	KillRouter    FaultKind = "kill-router"
	KillEngine    FaultKind = "kill-engine"
	FreezeAgent   FaultKind = "freeze-agent"
	FreezeRouter  FaultKind = "freeze-router"
	FreezeEngine  FaultKind = "freeze-engine"
	FreezeHolder  FaultKind = "freeze-lease-holder"
	CutLink       FaultKind = "cut-link"
	CutOneWay     FaultKind = "cut-one-way"
	Isolate       FaultKind = "isolate"
	SlowLink      FaultKind = "slow-link"
	ResetStreams  FaultKind = "reset-streams"
	PlatformDown  FaultKind = "platform-down"
	PlatformLossy FaultKind = "platform-lossy"
	PlatformSlow  FaultKind = "platform-slow"
	StaleMachines FaultKind = "stale-machines"
	RouterHerd    FaultKind = "router-herd"
	HotPrefix     FaultKind = "hot-prefix"
	StopRouter    FaultKind = "stop-router"
	StopAgent     FaultKind = "stop-agent"
	ListLeaving   FaultKind = "list-leaving"
)

// AllFaults lists every kind.
var AllFaults = []FaultKind{
	KillAgent, KillRouter, KillEngine, FreezeAgent, FreezeRouter, FreezeEngine, FreezeHolder,
	CutLink, CutOneWay, Isolate, SlowLink,
	ResetStreams, PlatformDown, PlatformLossy, PlatformSlow, StaleMachines, RouterHerd, HotPrefix, StopRouter, StopAgent, ListLeaving,
}

const (
	firstFaultAt     = 2 * time.Second
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 5 * time.Second
	// immediateRestartChance is the fraction of kills that are followed by a restart within
	// maxImmediateRestart.
	immediateRestartChance = 0.4
	maxImmediateRestart    = 5 * time.Millisecond
	maxSlowdown            = 3 * time.Second
	// repeatChance is the probability that a fault is injected a second time, within
	// maxFaultDuration.
	repeatChance = 0.25
	resetRate    = 0.03
	// lostFrameRate is the fraction of frames that are lost while streams are reset.
	lostFrameRate   = 0.02
	staleMachineLag = 6 * time.Second
	restartDelay    = 500 * time.Millisecond
)

// scheduleFaults draws the faults and schedules their injection.
func (w *world) scheduleFaults() {
	kinds := AllFaults
	if len(w.options.FaultKinds) > 0 {
		kinds = w.options.FaultKinds
	}
	if w.options.MaxFaults < 0 {
		return
	}
	for range 1 + w.random.IntN(w.options.MaxFaults) {
		kind := kinds[w.random.IntN(len(kinds))]
		at := firstFaultAt + time.Duration(w.random.Int64N(int64(w.options.LoadDuration-firstFaultAt)))
		w.queue.At(at, func() { w.inject(kind) })
		if w.random.Float64() < repeatChance {
			w.queue.At(at+time.Duration(w.random.Int64N(int64(maxFaultDuration))), func() { w.inject(kind) })
		}
	}
}

// drawFaultDuration returns a random duration between minFaultDuration and maxFaultDuration.
func (w *world) drawFaultDuration() time.Duration {
	return minFaultDuration + time.Duration(w.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
}

// recordFault records the start of a fault and, after its duration, calls end and records the end
// of the fault.
func (w *world) recordFault(kind FaultKind, target string, duration time.Duration, end func()) {
	w.faultCount++
	number := w.faultCount
	group := string(kind)
	if kind == PlatformDown || kind == PlatformLossy || kind == PlatformSlow || kind == StaleMachines {
		group, target = history.PlatformFault, string(kind)
	}
	w.record(history.FaultBegan{Fault: number, Kind: group, Target: target})
	w.queue.After(duration, func() {
		if end != nil {
			end()
		}
		w.record(history.FaultEnded{Fault: number, Kind: group})
	})
}

func (w *world) inject(kind FaultKind) {
	switch kind {
	case KillAgent, KillRouter, KillEngine, RouterHerd:
		w.injectKill(kind)
	case FreezeAgent, FreezeRouter, FreezeEngine:
		w.injectFreeze(kind)
	case FreezeHolder:
		w.freezeNextPlanner = true
	case CutLink, CutOneWay, Isolate, SlowLink, ResetStreams:
		w.injectNetwork(kind)
	case PlatformDown, PlatformLossy, PlatformSlow, StaleMachines:
		w.injectPlatform(kind, w.drawFaultDuration())
	case HotPrefix:
		w.hotUntil = w.queue.Now() + w.drawFaultDuration()/2
	case StopRouter, StopAgent, ListLeaving:
		w.injectMaintenance(kind)
	}
}

func randomElement[T any](w *world, from []T) T { return from[w.random.IntN(len(from))] }

func (w *world) injectKill(kind FaultKind) {
	down := w.drawFaultDuration() / 2
	if w.random.Float64() < immediateRestartChance {
		down = time.Duration(w.random.Int64N(int64(maxImmediateRestart)))
	}
	switch kind {
	case KillAgent:
		if a := randomElement(w, w.agents); a.alive && !a.stopping {
			a.kill()
			w.recordFault(kind, string(a.address), down, a.start)
		}
	case KillRouter:
		w.killRouter(randomElement(w, w.routers), down)
	case KillEngine:
		if host := randomElement(w, w.engines); host.alive {
			host.kill()
			w.recordFault(kind, string(host.address), down, host.restart)
		}
	case RouterHerd:
		w.injectPlatform(PlatformDown, down+maxFaultDuration)
		for _, r := range w.routers {
			w.killRouter(r, down+time.Duration(w.random.Int64N(int64(restartDelay))))
		}
	}
}

func (w *world) killRouter(r *router, down time.Duration) {
	if r.alive && !r.stopping {
		r.kill()
		w.recordFault(KillRouter, string(r.address), down, r.start)
	}
}

func (w *world) injectFreeze(kind FaultKind) {
	target := &randomElement(w, w.routers).process
	switch kind {
	case FreezeAgent:
		target = &randomElement(w, w.agents).process
	case FreezeEngine:
		target = &randomElement(w, w.engines).process
	}
	if !target.alive {
		return
	}
	w.freeze(kind, target)
}

func (w *world) freeze(kind FaultKind, target *process) {
	duration := w.drawFaultDuration()
	target.freeze(w.queue.Now() + duration)
	w.recordFault(kind, string(target.address), duration, nil)
}

// freezePlanner freezes a lease holder between its plan and its orders if freezeNextPlanner is set.
func (w *world) freezePlanner(holder *router) {
	if w.freezeNextPlanner {
		w.freezeNextPlanner = false
		w.freeze(FreezeHolder, &holder.process)
	}
}

// randomLink returns the addresses of a random caller and a random callee, in either order.
func (w *world) randomLink() (from, to fleet.Address) {
	var callers, called []fleet.Address
	for _, a := range w.agents {
		callers = append(callers, a.address)
	}
	for _, r := range w.routers {
		callers = append(callers, r.address)
		called = append(called, r.address)
	}
	for _, host := range w.engines {
		called = append(called, host.address)
	}
	from, to = randomElement(w, callers), randomElement(w, append(called, w.tables.address))
	if w.random.IntN(2) == 0 {
		return to, from
	}
	return from, to
}

func (w *world) injectNetwork(kind FaultKind) {
	duration := w.drawFaultDuration()
	until := w.queue.Now() + duration
	from, to := w.randomLink()
	n := w.network
	switch kind {
	case CutLink:
		n.partitions = append(n.partitions, partition{from: from, to: to, until: until}, partition{from: to, to: from, until: until})
	case CutOneWay:
		n.partitions = append(n.partitions, partition{from: from, to: to, until: until})
	case Isolate:
		to = ""
		n.partitions = append(n.partitions, partition{from: from, until: until}, partition{to: from, until: until})
	case SlowLink:
		to = ""
		n.slowdowns = append(n.slowdowns, slowdown{from: from, until: until, maxDelay: maxSlowdown})
	case ResetStreams:
		w.resetRate = resetRate
		w.recordFault(kind, "", duration, func() { w.resetRate = 0 })
		return
	}
	w.recordFault(kind, string(from)+">"+string(to), duration, nil)
}

func (w *world) injectPlatform(kind FaultKind, duration time.Duration) {
	until := w.queue.Now() + duration
	service := w.tables
	switch kind {
	case PlatformDown:
		service.downUntil = max(service.downUntil, until)
	case PlatformLossy:
		service.lossyUntil = max(service.lossyUntil, until)
	case PlatformSlow:
		service.slowUntil = max(service.slowUntil, until)
	case StaleMachines:
		service.model.SetMachineLag(staleMachineLag)
		w.recordFault(kind, "", duration, func() { service.model.SetMachineLag(machineLag) })
		return
	}
	w.recordFault(kind, "", duration, nil)
}

// injectMaintenance starts a planned stop or shows an engine's machine as leaving.
func (w *world) injectMaintenance(kind FaultKind) {
	switch kind {
	case StopRouter:
		if r := randomElement(w, w.routers); r.alive && !r.stopping {
			r.stop()
			w.restartOnceStopped(&r.process, r.start)
		}
	case StopAgent:
		if a := randomElement(w, w.agents); a.alive && !a.stopping {
			a.stop()
			w.restartOnceStopped(&a.process, a.start)
		}
	case ListLeaving:
		host := w.engines[w.random.IntN(max(len(w.engines)/3, 1))]
		if host.alive && !host.listedLeaving {
			host.listedLeaving = true
			w.publishMachines()
			run := host.currentRun()
			host.after(machineLag, func() { w.record(history.EngineLeaving{Run: run, Source: "list"}) })
		}
	}
}

// restartOnceStopped starts a process again after its planned stop has ended.
func (w *world) restartOnceStopped(p *process, start func()) {
	w.queue.After(restartDelay, func() {
		if p.alive {
			w.restartOnceStopped(p, start)
			return
		}
		start()
	})
}

// InjectedFaultKinds returns the distinct kinds of faults in a history, in order of first
// occurrence.
func InjectedFaultKinds(record *history.History) []string {
	var kinds []string
	for _, entry := range record.Entries {
		if began, isFault := entry.Event.(history.FaultBegan); isFault && !slices.Contains(kinds, began.Kind) {
			kinds = append(kinds, began.Kind)
		}
	}
	return kinds
}
