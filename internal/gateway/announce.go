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

const (
	// announceMinTokens is the number of uncached prompt tokens from which a placement is announced
	// immediately. A few such prompts delay all streams of an engine, which other gateways would
	// consider idle until the next report.
	announceMinTokens = 1500
	// announceBatchDelay is the time in which placements are collected.
	announceBatchDelay = 3 * time.Millisecond
	announceTimeout    = 250 * time.Millisecond
)

// announcer collects the engines whose load this gateway announces to the other load-sharing ones
// before the next report: those with large new placements, a new order or a new version.
type announcer struct {
	mutex   sync.Mutex
	engines map[fleet.EngineID]bool
	// all is set if a full report is due.
	all bool
	// pending holds one element while there is something to announce.
	pending chan struct{}
}

func newAnnouncer() *announcer {
	return &announcer{engines: make(map[fleet.EngineID]bool), pending: make(chan struct{}, 1)}
}

// addEngine schedules the announcement of an engine's load.
func (a *announcer) addEngine(engine fleet.EngineID) {
	a.mutex.Lock()
	a.engines[engine] = true
	a.mutex.Unlock()
	a.wake()
}

// addAll schedules a full report.
func (a *announcer) addAll() {
	a.mutex.Lock()
	a.all = true
	a.mutex.Unlock()
	a.wake()
}

func (a *announcer) wake() {
	select {
	case a.pending <- struct{}{}:
	default:
	}
}

// take returns and clears the engines to announce and whether a full report is due.
func (a *announcer) take() (engines map[fleet.EngineID]bool, all bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	engines, all = a.engines, a.all
	a.engines, a.all = make(map[fleet.EngineID]bool), false
	return engines, all
}

// announcePlacement announces a placement with much prompt work.
func (g *Gateway) announcePlacement(placement *backends.Placement) {
	if placement.Engine != nil && placement.UncachedTokens() >= announceMinTokens {
		g.announcer.addEngine(placement.Worker.ID)
	}
}

// announceLoads sends announcements until the process stops: to all load-sharing gateways while
// they are few, otherwise to some in rotation.
func (g *Gateway) announceLoads() error {
	for round := 0; ; round++ {
		select {
		case <-g.announcer.pending:
		case <-g.life.Dying():
			return nil
		}
		if !g.pause(announceBatchDelay) {
			return nil
		}
		engines, all := g.announcer.take()
		report := g.partialReport(engines)
		for _, member := range rotatingSubset(g.loadPeers(), round, loadExchangeFanout) {
			if all {
				go g.exchangeLoad(member)
				continue
			}
			go g.sendAnnouncement(member, report)
		}
	}
}

// partialReport returns this gateway's load on some engines.
func (g *Gateway) partialReport(engines map[fleet.EngineID]bool) *rpc.LoadReport {
	report := &rpc.LoadReport{Node: string(g.node), Partial: true}
	loads := slices.DeleteFunc(g.workers.OwnLoad(), func(load backends.Load) bool { return !engines[load.Engine] })
	report.Loads = g.encodeLoads(loads)
	return report
}

// sendAnnouncement sends a partial report to one gateway. If it is lost, the next full report makes
// up for it.
func (g *Gateway) sendAnnouncement(member membership.Member, report *rpc.LoadReport) {
	ctx, cancel := context.WithTimeout(g.peerCallContext(traffic.Announcements, member), announceTimeout)
	defer cancel()
	if _, err := g.peers.ExchangeLoad(ctx, member.Address, report); err != nil {
		g.metrics.peerFailures.Inc()
	}
}

// priorityFields is the number of encoded values per priority.
const priorityFields = 3

// encodeLoads encodes loads, with short worker names where they are unambiguous.
func (g *Gateway) encodeLoads(loads []backends.Load) []*rpc.WorkerLoad {
	shortNames := g.workers.ShortNames(loads)
	encoded := make([]*rpc.WorkerLoad, len(loads))
	for index := range loads {
		encoded[index] = encodeLoad(&loads[index])
		if shortNames[index] != 0 {
			encoded[index].ShortName = shortNames[index]
		} else {
			encoded[index].Worker = string(loads[index].Engine)
		}
	}
	return encoded
}

// encodeLoad encodes a load without the worker's name.
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

// decodeLoads decodes loads. It omits those of workers that are unknown here or whose short names
// are ambiguous.
func (g *Gateway) decodeLoads(encoded []*rpc.WorkerLoad) []backends.Load {
	shortNames := make([]uint32, len(encoded))
	for index, load := range encoded {
		shortNames[index] = load.GetShortName()
	}
	fullNames := g.workers.FullNames(shortNames)
	loads := make([]backends.Load, 0, len(encoded))
	for index, load := range encoded {
		decoded := decodeLoad(load)
		if load.GetShortName() != 0 {
			decoded.Engine = fullNames[index]
		}
		if decoded.Engine != "" {
			loads = append(loads, decoded)
		}
	}
	return loads
}

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
