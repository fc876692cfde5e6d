package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/operator"
	"github.com/tillerfall/tillerfall/internal/placement"
)

// maxListedWaiting limits the waiting requests that a query returns.
const maxListedWaiting = 1000

// operatorSource provides the router's state to operators' queries.
type operatorSource struct {
	router *Router
}

var _ operator.Source = operatorSource{}

// Configuration implements operator.Source.
func (s operatorSource) Configuration() (config.Document, bool) {
	view := s.router.holder.Current()
	if view == nil {
		return config.Document{}, false
	}
	return view.Document(), true
}

// Engines implements operator.Source.
func (s operatorSource) Engines() []operator.Engine {
	var engines []operator.Engine
	for _, snapshot := range s.router.placer.snapshot().Engines {
		engines = append(engines, operator.Engine{
			Run:           snapshot.Run,
			Address:       snapshot.Address,
			Zone:          snapshot.Zone,
			Pool:          snapshot.Pool,
			Role:          string(snapshot.Role),
			State:         string(snapshot.Condition),
			LeavingBy:     string(snapshot.Leaving),
			Owned:         snapshot.Owned,
			Loaded:        snapshot.Loaded,
			InFlight:      snapshot.InFlight,
			PrefillTokens: snapshot.QueueTokens,
			CachedBlocks:  snapshot.CachedBlocks,
			CacheTrusted:  snapshot.CacheTrusted,
		})
	}
	return engines
}

// Routers implements operator.Source.
func (s operatorSource) Routers() []operator.Router {
	var routers []operator.Router
	for _, member := range s.router.peers.View().Members() {
		routers = append(routers, operator.Router{
			Node: member.Node, Address: member.Address, Region: member.Region, Zone: member.Zone, State: member.State.String(),
		})
	}
	return routers
}

// Waiting implements operator.Source.
func (s operatorSource) Waiting() []operator.Waiting { return s.router.placer.waiting() }

// waiting returns the open calls, longest wait first.
func (p *placer) waiting() []operator.Waiting {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.clock.Now()
	var waiting []operator.Waiting
	for key, call := range p.calls {
		waiting = append(waiting, operator.Waiting{
			Request:      key.Request,
			Attempt:      key.Attempt,
			Tenant:       call.request.Tenant,
			Class:        call.request.Class,
			ModelVersion: call.request.ModelVersion,
			Waited:       now - call.submitted,
		})
	}
	slices.SortFunc(waiting, func(a, b operator.Waiting) int {
		return cmp.Or(cmp.Compare(b.Waited, a.Waited), cmp.Compare(a.Request, b.Request))
	})
	waiting = waiting[:min(len(waiting), maxListedWaiting)]
	for index := range waiting {
		waiting[index].Reason = p.waitingReason(waiting[index])
	}
	return waiting
}

func (p *placer) waitingReason(waiting operator.Waiting) string {
	for _, explanation := range p.core.Explain(waiting.Request) {
		if explanation.Key.Attempt == waiting.Attempt && explanation.Outcome == nil {
			return explanation.Waiting
		}
	}
	return ""
}

// Holders implements operator.Source. Block hashes are chained, so an engine that is missing a
// block has none of the following ones.
func (s operatorSource) Holders(hashes []fleet.BlockHash) []operator.Holder {
	blocks := make(map[fleet.EngineRun]int)
	s.router.placer.do(func(_ time.Duration, core *placement.Core) {
		for position, hash := range hashes {
			extended := false
			for _, run := range core.HoldersOf(hash) {
				if blocks[run] == position {
					blocks[run]++
					extended = true
				}
			}
			if !extended {
				return
			}
		}
	})
	holders := make([]operator.Holder, 0, len(blocks))
	for run, count := range blocks {
		if count > 0 {
			holders = append(holders, operator.Holder{Run: run, Blocks: count})
		}
	}
	slices.SortFunc(holders, func(a, b operator.Holder) int {
		return cmp.Or(cmp.Compare(b.Blocks, a.Blocks), cmp.Compare(a.Run.Engine, b.Run.Engine), cmp.Compare(a.Run.Incarnation, b.Run.Incarnation))
	})
	return holders
}

// RequestBlocks implements operator.Source.
func (s operatorSource) RequestBlocks(request fleet.RequestID) ([]fleet.BlockHash, bool) {
	return s.router.placer.recent.lookup(request)
}

// Explain implements operator.Source. It describes the latest attempt.
func (s operatorSource) Explain(request fleet.RequestID) (operator.Explanation, bool) {
	var explanations []placement.Explanation
	s.router.placer.do(func(_ time.Duration, core *placement.Core) { explanations = core.Explain(request) })
	if len(explanations) == 0 {
		return operator.Explanation{}, false
	}
	return describeExplanation(explanations[0]), true
}

// Version implements operator.Source.
func (s operatorSource) Version() string { return s.router.options.Version }
