package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/traffic"
)

// Constants of announcements.
const (
	// announceTokens is the prompt work from which on a placement is told at once: a
	// few such prompts at one engine hold up all streams there, and other nodes would
	// take it for idle until the next exchange of reports.
	announceTokens = 1500
	// announceGather is the time in which placements are gathered.
	announceGather  = 3 * time.Millisecond
	announceTimeout = 250 * time.Millisecond
)

// announcer tells the nodes that share loads at once where this node has just
// placed much prompt work, and which engines it orders or has changed.
type announcer struct {
	mutex   sync.Mutex
	engines map[fleet.EngineID]bool
	// all is set if everything is to be told.
	all bool
	// noted has one element while there is something to tell.
	noted chan struct{}
}

func newAnnouncer() *announcer {
	return &announcer{engines: make(map[fleet.EngineID]bool), noted: make(chan struct{}, 1)}
}

// note has an engine's load told.
func (a *announcer) note(engine fleet.EngineID) {
	a.mutex.Lock()
	a.engines[engine] = true
	a.mutex.Unlock()
	a.wake()
}

// noteAll has everything told.
func (a *announcer) noteAll() {
	a.mutex.Lock()
	a.all = true
	a.mutex.Unlock()
	a.wake()
}

func (a *announcer) wake() {
	select {
	case a.noted <- struct{}{}:
	default:
	}
}

// take returns the engines whose load is to be told, and whether everything is.
func (a *announcer) take() (engines map[fleet.EngineID]bool, all bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	engines, all = a.engines, a.all
	a.engines, a.all = make(map[fleet.EngineID]bool), false
	return engines, all
}

// announcePlacement has a placement of much prompt work told to other nodes.
func (g *Gateway) announcePlacement(placement *backends.Placement) {
	if placement.Engine != nil && placement.UncachedTokens() >= announceTokens {
		g.announcer.note(placement.Worker.ID)
	}
}

// announceLoads tells other nodes what is noted, until the process ends: all that
// share loads while they are few, else some in turn.
func (g *Gateway) announceLoads() error {
	for round := 0; ; round++ {
		select {
		case <-g.announcer.noted:
		case <-g.life.Dying():
			return nil
		}
		if !g.pause(announceGather) {
			return nil
		}
		engines, all := g.announcer.take()
		report := g.partialReport(engines)
		for _, member := range turn(g.loadPeers(), round, shareFanout) {
			if all {
				go g.exchange(member)
				continue
			}
			go g.announce(member, report)
		}
	}
}

// partialReport returns this node's load at some engines.
func (g *Gateway) partialReport(engines map[fleet.EngineID]bool) *rpc.LoadReport {
	report := &rpc.LoadReport{Node: string(g.node), Partial: true}
	loads := slices.DeleteFunc(g.workers.OwnLoad(), func(load backends.Load) bool { return !engines[load.Engine] })
	report.Loads = g.encodeLoads(loads)
	return report
}

// announce tells one node. A node that doesn't hear of it does by the next report.
func (g *Gateway) announce(member membership.Member, report *rpc.LoadReport) {
	ctx, cancel := context.WithTimeout(g.peerCall(traffic.Announcements, member), announceTimeout)
	defer cancel()
	if _, err := g.peers.ExchangeLoad(ctx, member.Address, report); err != nil {
		g.metrics.shareFailures.Inc()
	}
}

// priorityFields is the number of values that tell of one priority.
const priorityFields = 3

// encodeLoads returns loads in their transmitted form.
func (g *Gateway) encodeLoads(loads []backends.Load) []*rpc.WorkerLoad {
	short := g.workers.ShortNames(loads)
	encoded := make([]*rpc.WorkerLoad, len(loads))
	for index := range loads {
		encoded[index] = encodeLoad(&loads[index])
		if short[index] != 0 {
			encoded[index].ShortName = short[index]
		} else {
			encoded[index].Worker = string(loads[index].Engine)
		}
	}
	return encoded
}

// encodeLoad returns a load in its transmitted form, without the worker's name.
func encodeLoad(load *backends.Load) *rpc.WorkerLoad {
	encoded := &rpc.WorkerLoad{
		InFlight:      uint32(max(load.InFlight, 0)),
		PrefillTokens: uint32(max(load.PrefillTokens, 0)),
		MemoryTokens:  uint32(max(load.MemoryTokens, 0)),
	}
	for priority, part := range load.Priorities {
		if part.InFlight > 0 {
			encoded.ByPriority = append(encoded.ByPriority,
				uint32(priority), uint32(part.InFlight), uint32(max(part.PrefillTokens, 0)))
		}
	}
	return encoded
}

// decodeLoads reads loads from their transmitted form. Those of workers that this node
// doesn't know, or can't tell apart, are left out: a choice can't use them.
func (g *Gateway) decodeLoads(encoded []*rpc.WorkerLoad) []backends.Load {
	short := make([]uint32, len(encoded))
	for index, load := range encoded {
		short[index] = load.GetShortName()
	}
	full := g.workers.FullNames(short)
	loads := make([]backends.Load, 0, len(encoded))
	for index, load := range encoded {
		decoded := decodeLoad(load)
		if load.GetShortName() != 0 {
			decoded.Engine = full[index]
		}
		if decoded.Engine != "" {
			loads = append(loads, decoded)
		}
	}
	return loads
}

// decodeLoad reads a load from its transmitted form.
func decodeLoad(load *rpc.WorkerLoad) backends.Load {
	decoded := backends.Load{
		Engine:        fleet.EngineID(load.GetWorker()),
		InFlight:      int(load.GetInFlight()),
		PrefillTokens: int(load.GetPrefillTokens()),
		MemoryTokens:  int(load.GetMemoryTokens()),
	}
	for parts := load.GetByPriority(); len(parts) >= priorityFields; parts = parts[priorityFields:] {
		if parts[0] < backends.PriorityCount {
			decoded.Priorities[parts[0]] = backends.PriorityLoad{InFlight: int32(parts[1]), PrefillTokens: int32(parts[2])}
		}
	}
	return decoded
}
