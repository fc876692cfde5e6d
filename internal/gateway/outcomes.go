package gateway

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// encodeOutcomes returns this gateway's outcomes at the workers that reject requests.
func (g *Gateway) encodeOutcomes(now time.Duration) []*rpc.WorkerOutcomes {
	outcomes := g.workers.OwnOutcomes(now)
	ids := make([]fleet.EngineID, len(outcomes))
	for index := range outcomes {
		ids[index] = outcomes[index].Worker
	}
	shortNames := g.workers.ShortNamesOf(ids)
	encoded := make([]*rpc.WorkerOutcomes, len(outcomes))
	for index := range outcomes {
		encoded[index] = &rpc.WorkerOutcomes{Rejected: outcomes[index].Rejected, Served: outcomes[index].Served}
		if shortNames[index] != 0 {
			encoded[index].ShortName = shortNames[index]
		} else {
			encoded[index].Worker = string(ids[index])
		}
	}
	return encoded
}

// decodeOutcomes decodes outcomes. It omits those of workers that are unknown here or whose short
// names are ambiguous.
func (g *Gateway) decodeOutcomes(encoded []*rpc.WorkerOutcomes) []backends.Outcomes {
	shortNames := make([]uint32, len(encoded))
	for index, entry := range encoded {
		shortNames[index] = entry.GetShortName()
	}
	fullNames := g.workers.FullNames(shortNames)
	outcomes := make([]backends.Outcomes, 0, len(encoded))
	for index, entry := range encoded {
		worker := fleet.EngineID(entry.GetWorker())
		if entry.GetShortName() != 0 {
			worker = fullNames[index]
		}
		if worker != "" {
			outcomes = append(outcomes, backends.Outcomes{Worker: worker, Rejected: entry.GetRejected(), Served: entry.GetServed()})
		}
	}
	return outcomes
}
