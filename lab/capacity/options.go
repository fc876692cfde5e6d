package capacity

import "time"

// Sizes lists the sizes at which each quantity is measured.
type Sizes struct {
	IndexBlocks  []int
	PromptBlocks []int
	Candidates   []int
	Engines      []int
	Members      []int
	Tenants      []int
	Models       []int
	Waiting      []int
	Streams      []int
	Tokens       []int
	// FailureMembers is the number of routers in the failure runs.
	FailureMembers int
	// FleetEngines is the number of engines in the ownership measurement.
	FleetEngines int
	// SteadyTime is the virtual time for which the steady state of the membership is measured.
	SteadyTime time.Duration
	// PartitionTime is the virtual time for which a region is partitioned.
	PartitionTime time.Duration
	// ProcessorTime is the minimum processor time used by one timing.
	ProcessorTime time.Duration
}

// DefaultSizes returns sizes up to those of the target fleet, where one process can hold them.
func DefaultSizes() Sizes {
	return Sizes{
		IndexBlocks:    []int{625_000, 1_250_000, 2_500_000, 5_000_000},
		PromptBlocks:   []int{32, 128, 512, 2048},
		Candidates:     []int{8, 30, 120, 480},
		Engines:        []int{500, 2000, 10_000},
		Members:        []int{50, 200, 680},
		Tenants:        []int{8, 100, 430},
		Models:         []int{13, 52, 208},
		Waiting:        []int{500, 1000, 4000},
		Streams:        []int{100, 300, 900},
		Tokens:         []int{128, 512, 2048},
		FailureMembers: 680,
		FleetEngines:   10_000,
		SteadyTime:     20 * time.Second,
		PartitionTime:  150 * time.Second,
		ProcessorTime:  200 * time.Millisecond,
	}
}

// Options configures a run.
type Options struct {
	Sizes Sizes
	// Seed seeds all random generators.
	Seed uint64
	// Progress, if not nil, is called with the name of each part before it is measured.
	Progress func(part string)
}
