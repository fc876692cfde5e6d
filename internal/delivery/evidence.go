package delivery

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Outcome is what one answer of a worker says about its version.
type Outcome struct {
	Service fleet.PoolName
	Route   RouteName
	Worker  fleet.EngineID
	Version fleet.SoftwareVersion
	// Failed is set if the worker answered with a failure or broke its answer off.
	Failed bool
	// TimeToFirstByte is the time to the first byte, Predicted what was expected of it; without a
	// prediction it is 0, and times are compared among answers of the same route.
	TimeToFirstByte time.Duration
	Predicted       time.Duration
}

// LatencyBuckets is the number of buckets of a latency histogram: each covers half a
// power of two, of the ratio to the prediction from 1/4 on, or of 2 ms from 1 on.
const LatencyBuckets = 24

// Counts are sums of outcomes. All fields only grow.
type Counts struct {
	Answers  uint64
	Failures uint64
	Latency  [LatencyBuckets]uint32
}

// Evidence is what one node has seen of one service since its start or the order's.
type Evidence struct {
	Service  fleet.PoolName
	Revision fleet.Revision
	// Old is by route, over all workers that aren't of the target version.
	Old map[RouteName]*Counts
	// New is by route and worker of the target.
	New map[RouteName]map[fleet.EngineID]*Counts
	// Stopped is set once this node has stopped sending to the target by itself.
	Stopped bool
}
