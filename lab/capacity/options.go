package capacity

import "time"

// Sizes says at which sizes each quantity is measured.
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
	// SteadyTime is how much virtual time the steady membership is measured for.
	SteadyTime time.Duration
	// PartitionTime is how long a region is cut off, in virtual time.
	PartitionTime time.Duration
	// ProcessorTime is the least processor time of one timing.
	ProcessorTime time.Duration
}

// DefaultSizes reach the target's size where one process can.
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

// Options sets up a run.
type Options struct {
	Sizes Sizes
	// Seed seeds every generator.
	Seed uint64
	// Progress is called with the name of each part before it is measured; nil
	// means no one is told.
	Progress func(part string)
}
