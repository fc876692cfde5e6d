package gateway

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rejectionlimit"
)

// slotShare is this gateway's share of the slots of one service. It is immutable.
type slotShare struct {
	// slots is the share by worker, and total their sum.
	slots map[fleet.EngineID]int
	total int
	// borrowed is the worker of which a gateway without a share may use a slot that is free.
	borrowed fleet.EngineID
	// duration is the time that a request takes.
	duration time.Duration
}

// limitAt returns the limit on requests in flight at a worker.
func (s *slotShare) limitAt(worker *backends.Worker) backends.InFlightLimit {
	limit := backends.InFlightLimit{
		Own: s.slots[worker.ID], Total: max(worker.Slots, 1), ReopensIn: s.duration / time.Duration(max(s.total, 1)),
	}
	if worker.ID == s.borrowed {
		limit.Own, limit.Total = 1, max(worker.Slots/2, 1)
	}
	return limit
}

// deriveShare divides the slots of a service's workers among the gateways that callers are sent to. All
// gateways that know the same workers and gateways derive the same shares.
func deriveShare(self fleet.NodeID, service fleet.PoolName, workers []backends.Worker, serving []membership.Member) slotShare {
	nodes := make([]fleet.NodeID, 0, len(serving))
	for _, member := range serving {
		nodes = append(nodes, member.Node)
	}
	slices.Sort(nodes)
	workers = slices.DeleteFunc(workers, func(worker backends.Worker) bool { return worker.Service != service })
	index, isServing := slices.BinarySearch(nodes, self)
	share := slotShare{slots: make(map[fleet.EngineID]int, len(workers))}
	offset := 0
	for _, worker := range workers {
		if isServing {
			share.slots[worker.ID] = rejectionlimit.Share(worker.Slots, offset, len(nodes), index)
		}
		share.total += share.slots[worker.ID]
		offset += worker.Slots
	}
	if share.total == 0 && len(workers) > 0 {
		share.borrowed = workers[membership.RendezvousWeight(string(self), string(service))%uint64(len(workers))].ID
	}
	return share
}
