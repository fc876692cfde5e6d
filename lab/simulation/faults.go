package simulation

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/history"
)

// FaultKind names what goes wrong.
type FaultKind string

// Kinds of faults, and of planned changes that aren't faults.
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
	firstFault = 2 * time.Second
	leastFault = 100 * time.Millisecond
	mostFault  = 5 * time.Second
	// quickChance is the part of the kills that are followed by a start at once.
	quickChance  = 0.4
	mostQuick    = 5 * time.Millisecond
	mostSlowdown = 3 * time.Second
	// twiceChance is the probability that a fault comes a second time, soon
	// after or during the first.
	twiceChance = 0.25
	resetRate   = 0.03
	// lostFrameRate is the part of the frames that get lost while streams are reset.
	lostFrameRate = 0.02
	staleBy       = 6 * time.Second
	restartWait   = 500 * time.Millisecond
)

// planFaults draws the faults and their times.
func (w *world) planFaults() {
	kinds := AllFaults
	if len(w.options.Only) > 0 {
		kinds = w.options.Only
	}
	if w.options.Faults < 0 {
		return
	}
	for range 1 + w.random.IntN(w.options.Faults) {
		kind := kinds[w.random.IntN(len(kinds))]
		at := firstFault + time.Duration(w.random.Int64N(int64(w.options.Load-firstFault)))
		w.queue.At(at, func() { w.inject(kind) })
		if w.random.Float64() < twiceChance {
			w.queue.At(at+time.Duration(w.random.Int64N(int64(mostFault))), func() { w.inject(kind) })
		}
	}
}

// last draws how long a fault lasts.
func (w *world) last() time.Duration {
	return leastFault + time.Duration(w.random.Int64N(int64(mostFault-leastFault)))
}

// fault records a fault that lasts for a time, and then calls end.
func (w *world) fault(kind FaultKind, target string, lasts time.Duration, end func()) {
	w.faults++
	number := w.faults
	group := string(kind)
	if kind == PlatformDown || kind == PlatformLossy || kind == PlatformSlow || kind == StaleMachines {
		group, target = history.PlatformFault, string(kind)
	}
	w.record(history.FaultBegan{Fault: number, Kind: group, Target: target})
	w.queue.After(lasts, func() {
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
		w.freezeHolder = true
	case CutLink, CutOneWay, Isolate, SlowLink, ResetStreams:
		w.injectNetwork(kind)
	case PlatformDown, PlatformLossy, PlatformSlow, StaleMachines:
		w.injectPlatform(kind, w.last())
	case HotPrefix:
		w.hotUntil = w.queue.Now() + w.last()/2
	case StopRouter, StopAgent, ListLeaving:
		w.injectPlanned(kind)
	}
}

func pick[T any](w *world, from []T) T { return from[w.random.IntN(len(from))] }

func (w *world) injectKill(kind FaultKind) {
	down := w.last() / 2
	if w.random.Float64() < quickChance {
		down = time.Duration(w.random.Int64N(int64(mostQuick)))
	}
	switch kind {
	case KillAgent:
		if a := pick(w, w.agents); a.alive && !a.stopping {
			a.kill()
			w.fault(kind, string(a.address), down, a.start)
		}
	case KillRouter:
		w.killRouter(pick(w, w.routers), down)
	case KillEngine:
		if host := pick(w, w.engines); host.alive {
			host.kill()
			w.fault(kind, string(host.address), down, host.restart)
		}
	case RouterHerd:
		w.injectPlatform(PlatformDown, down+mostFault)
		for _, r := range w.routers {
			w.killRouter(r, down+time.Duration(w.random.Int64N(int64(restartWait))))
		}
	}
}

func (w *world) killRouter(r *router, down time.Duration) {
	if r.alive && !r.stopping {
		r.kill()
		w.fault(KillRouter, string(r.address), down, r.start)
	}
}

func (w *world) injectFreeze(kind FaultKind) {
	target := &pick(w, w.routers).process
	switch kind {
	case FreezeAgent:
		target = &pick(w, w.agents).process
	case FreezeEngine:
		target = &pick(w, w.engines).process
	}
	if !target.alive {
		return
	}
	w.freeze(kind, target)
}

func (w *world) freeze(kind FaultKind, target *process) {
	lasts := w.last()
	target.freeze(w.queue.Now() + lasts)
	w.fault(kind, string(target.address), lasts, nil)
}

// planned freezes a lease holder between its plan and its orders, if asked to.
func (w *world) planned(holder *router) {
	if w.freezeHolder {
		w.freezeHolder = false
		w.freeze(FreezeHolder, &holder.process)
	}
}

// anyLink returns two processes that talk to each other, in any order.
func (w *world) anyLink() (from, to fleet.Address) {
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
	from, to = pick(w, callers), pick(w, append(called, w.tables.address))
	if w.random.IntN(2) == 0 {
		return to, from
	}
	return from, to
}

func (w *world) injectNetwork(kind FaultKind) {
	lasts := w.last()
	until := w.queue.Now() + lasts
	from, to := w.anyLink()
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
		n.slowdowns = append(n.slowdowns, slowdown{from: from, until: until, maxDelay: mostSlowdown})
	case ResetStreams:
		w.resetRate = resetRate
		w.fault(kind, "", lasts, func() { w.resetRate = 0 })
		return
	}
	w.fault(kind, string(from)+">"+string(to), lasts, nil)
}

func (w *world) injectPlatform(kind FaultKind, lasts time.Duration) {
	until := w.queue.Now() + lasts
	service := w.tables
	switch kind {
	case PlatformDown:
		service.downUntil = max(service.downUntil, until)
	case PlatformLossy:
		service.lossyUntil = max(service.lossyUntil, until)
	case PlatformSlow:
		service.slowUntil = max(service.slowUntil, until)
	case StaleMachines:
		service.model.SetMachineLag(staleBy)
		w.fault(kind, "", lasts, func() { service.model.SetMachineLag(machineLag) })
		return
	}
	w.fault(kind, "", lasts, nil)
}

// injectPlanned does what operators do on purpose.
func (w *world) injectPlanned(kind FaultKind) {
	switch kind {
	case StopRouter:
		if r := pick(w, w.routers); r.alive && !r.stopping {
			r.stop()
			w.restartOnceEnded(&r.process, r.start)
		}
	case StopAgent:
		if a := pick(w, w.agents); a.alive && !a.stopping {
			a.stop()
			w.restartOnceEnded(&a.process, a.start)
		}
	case ListLeaving:
		host := w.engines[w.random.IntN(max(len(w.engines)/3, 1))]
		if host.alive && !host.listedLeaving {
			host.listedLeaving = true
			w.listMachines()
			run := host.currentRun()
			host.after(machineLag, func() { w.record(history.EngineLeaving{Run: run, Source: "list"}) })
		}
	}
}

// restartOnceEnded starts a process again some time after its planned stop.
func (w *world) restartOnceEnded(p *process, start func()) {
	w.queue.After(restartWait, func() {
		if p.alive {
			w.restartOnceEnded(p, start)
			return
		}
		start()
	})
}

// Describe returns the kinds of faults in a history, for summaries.
func Describe(record *history.History) []string {
	var kinds []string
	for _, entry := range record.Entries {
		if began, isFault := entry.Event.(history.FaultBegan); isFault && !slices.Contains(kinds, began.Kind) {
			kinds = append(kinds, began.Kind)
		}
	}
	return kinds
}
