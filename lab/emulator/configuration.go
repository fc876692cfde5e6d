package emulator

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/workload"
)

// classSettings holds the configuration of a class and the expectations of its callers.
type classSettings struct {
	rank     int
	maxWait  time.Duration
	minShare float64
	// deadline is the time allowed for the whole response.
	deadline time.Duration
	// objective is the maximum time to first token of a request that counts towards goodput; 0
	// means that any finished request counts.
	objective time.Duration
}

// UrgentObjective is the time-to-first-token objective of urgent requests.
const UrgentObjective = 810 * time.Millisecond

var settingsByClass = map[fleet.ClassName]classSettings{
	workload.ClassUrgent:   {rank: 0, maxWait: 5 * time.Second, deadline: 20 * time.Second, objective: UrgentObjective},
	workload.ClassStandard: {rank: 10, maxWait: 20 * time.Second, minShare: 0.1, deadline: time.Minute, objective: 3 * time.Second},
	workload.ClassBatch:    {rank: 20, maxWait: time.Minute, minShare: 0.05, deadline: 3 * time.Minute},
}

// classes lists the classes, most urgent first.
var classes = []fleet.ClassName{workload.ClassUrgent, workload.ClassStandard, workload.ClassBatch}

// Limits of the emulated configuration. maxStreams is high enough that an engine's speed limits its
// throughput rather than its batch size.
const (
	maxPromptTokens = 1 << 16
	maxOutputTokens = 4096
	maxStreams      = 256
	maxConcurrent   = 1 << 16
	maxWaiting      = 1 << 12
)

// document returns the configuration of a fleet.
func document(description workload.Fleet) config.Document {
	result := config.Document{
		Revision: 1,
		Models: []config.Model{{
			Name:            description.ModelVersion.Model,
			Pool:            description.Pool,
			Versions:        []config.Version{{Name: description.ModelVersion.Version, State: config.VersionServing}},
			MaxPromptTokens: maxPromptTokens,
			MaxOutputTokens: maxOutputTokens,
			BlockTokens:     description.BlockTokens,
		}},
		Pools: []config.Pool{{Name: description.Pool, MaxStreams: maxStreams, MaxLoads: description.FullSpeedLoads}},
	}
	for _, class := range classes {
		result.Classes = append(result.Classes, config.Class{
			Name:     class,
			Rank:     settingsByClass[class].rank,
			MaxWait:  config.Duration(settingsByClass[class].maxWait),
			MinShare: settingsByClass[class].minShare,
		})
	}
	for _, tenant := range description.Tenants {
		result.Tenants = append(result.Tenants, config.Tenant{
			Name:          tenant.Name,
			KeyHashes:     []string{config.HashKey(string(tenant.Name))},
			Weight:        tenant.Weight,
			Classes:       classes,
			MaxConcurrent: maxConcurrent,
			MaxWaiting:    maxWaiting,
		})
	}
	return result
}
