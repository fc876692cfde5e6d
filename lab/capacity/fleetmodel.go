package capacity

import (
	"fmt"
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/platform"
)

// Dimensions of the measured fleet, which are those of the target fleet, and fixed settings.
const (
	regions       = 6
	zones         = 13
	targetModels  = 13
	targetTenants = 430
	blockTokens   = 64
	className     = fleet.ClassName("interactive")
	// unbounded is a limit that no measurement reaches.
	unbounded = 1 << 20
)

func engineName(number int) fleet.EngineID {
	return fleet.EngineID(fmt.Sprintf("engine-%05d-c4ca4238", number))
}

func poolName(number int) fleet.PoolName { return fleet.PoolName(fmt.Sprintf("pool-%02d", number)) }

func modelName(number int) fleet.ModelName { return fleet.ModelName(fmt.Sprintf("model-%02d", number)) }

func tenantName(number int) fleet.TenantName {
	return fleet.TenantName(fmt.Sprintf("tenant-%04d", number))
}

func zoneName(number int) fleet.ZoneName {
	return fleet.ZoneName(fmt.Sprintf("zone-%02d", number%zones))
}

func regionName(number int) fleet.RegionName {
	return fleet.RegionName(fmt.Sprintf("region-%d", number%zones*regions/zones))
}

// member returns a router of the fleet. Its generation is the number of its restarts, which is part
// of the node id.
func member(number, generation int) membership.Member {
	return membership.Member{
		Node:    fleet.NodeID(fmt.Sprintf("router-%04d-%012x", number, generation+1)),
		Address: fleet.Address(fmt.Sprintf("10.0.%d.%d:7070", number/250, number%250)),
		Region:  regionName(number),
		Zone:    zoneName(number),
		State:   membership.Alive,
	}
}

func members(count int) []membership.Member {
	list := make([]membership.Member, count)
	for number := range list {
		list[number] = member(number, 0)
	}
	return list
}

func machine(number int, pool fleet.PoolName) platform.Machine {
	return platform.Machine{
		ID:          string(engineName(number)),
		Kind:        platform.MachineEngine,
		Address:     fleet.Address(fmt.Sprintf("10.%d.%d.%d:9000", 1+number/62500, number/250%250, number%250)),
		Region:      regionName(number),
		Zone:        zoneName(number),
		Pool:        pool,
		Incarnation: 1,
		State:       platform.MachineLive,
	}
}

// idleStatus returns the status report of an idle engine, measured at the given time.
func idleStatus(number int, now time.Duration) engine.Status {
	return engine.Status{
		Engine:      engineName(number),
		Incarnation: 1,
		Zone:        zoneName(number),
		Role:        engine.RoleServe,
		BlockTokens: blockTokens,
		Loaded:      []engine.ModelVersion{engine.ModelVersion(servedVersion())},
		Load: engine.Load{
			MeasuredAtMillis: now.Milliseconds(), StepTokens: 1000, PrefillMicrosPerToken: 0.1, StepMicros: 1000,
		},
	}
}

func servedVersion() fleet.ModelVersion {
	return fleet.ModelVersion{Model: modelName(0), Version: "v1"}
}

// document returns a configuration with the given numbers of tenants and models, one pool per model.
func document(revision fleet.Revision, tenants, models int) config.Document {
	result := config.Document{
		Revision: revision,
		Classes: []config.Class{
			{Name: className, Rank: 0, MaxWait: config.Duration(time.Hour)},
			{Name: "batch", Rank: 20, MaxWait: config.Duration(time.Hour), MinShare: 0.05},
		},
	}
	for number := range tenants {
		name := tenantName(number)
		result.Tenants = append(result.Tenants, config.Tenant{
			Name: name, KeyHashes: []string{config.HashKey(string(name))}, Weight: 1,
			Classes: []fleet.ClassName{className, "batch"}, MaxConcurrent: 256, MaxWaiting: unbounded,
		})
	}
	for number := range models {
		result.Pools = append(result.Pools, config.Pool{Name: poolName(number), MaxStreams: unbounded, MaxLoads: 4})
		result.Models = append(result.Models, config.Model{
			Name: modelName(number), Pool: poolName(number), MaxPromptTokens: 1 << 20, MaxOutputTokens: 4096, BlockTokens: blockTokens,
			Versions: []config.Version{{Name: "v1", State: config.VersionServing}, {Name: "v2", State: config.VersionLoading}},
		})
	}
	return config.Canonical(result)
}

// tenantWeightChange returns a change of one tenant's weight and the document that it applies to.
func tenantWeightChange(tenants, models int) (config.Document, config.Change, error) {
	before := document(1, tenants, models)
	after := config.Canonical(before)
	after.Revision = 2
	after.Tenants[0].Weight = 2
	change, err := config.Diff(before, after)
	return before, change, err
}
