package emulator

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/workload"
)

// terms are what callers of a class expect and what operators set for it.
type terms struct {
	rank     int
	maxWait  time.Duration
	minShare float64
	// deadline is the time for the whole answer.
	deadline time.Duration
	// objective is the time to first token within which a request counts as
	// good; 0 means that any finished one does.
	objective time.Duration
}

// UrgentObjective is the time to first token that urgent requests must meet.
const UrgentObjective = 810 * time.Millisecond

var termsOf = map[fleet.ClassName]terms{
	workload.ClassUrgent:   {rank: 0, maxWait: 5 * time.Second, deadline: 20 * time.Second, objective: UrgentObjective},
	workload.ClassStandard: {rank: 10, maxWait: 20 * time.Second, minShare: 0.1, deadline: time.Minute, objective: 3 * time.Second},
	workload.ClassBatch:    {rank: 20, maxWait: time.Minute, minShare: 0.05, deadline: 3 * time.Minute},
}

// classes lists the classes, most urgent first.
var classes = []fleet.ClassName{workload.ClassUrgent, workload.ClassStandard, workload.ClassBatch}

// Limits of the emulated configuration. The bound of streams leaves the engines'
// speed as what limits them: with 64 streams an engine would run out of places
// in its batch before it runs out of time.
const (
	maxPromptTokens = 1 << 16
	maxOutputTokens = 4096
	maxStreams      = 256
	maxConcurrent   = 1 << 16
	maxWaiting      = 1 << 12
)

// document returns the configuration of a fleet.
func document(description workload.Fleet) config.Document {
	made := config.Document{
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
		made.Classes = append(made.Classes, config.Class{
			Name:     class,
			Rank:     termsOf[class].rank,
			MaxWait:  config.Duration(termsOf[class].maxWait),
			MinShare: termsOf[class].minShare,
		})
	}
	for _, tenant := range description.Tenants {
		made.Tenants = append(made.Tenants, config.Tenant{
			Name:          tenant.Name,
			KeyHashes:     []string{config.HashKey(string(tenant.Name))},
			Weight:        tenant.Weight,
			Classes:       classes,
			MaxConcurrent: maxConcurrent,
			MaxWaiting:    maxWaiting,
		})
	}
	return made
}
