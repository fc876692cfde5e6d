package delivery

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Outcome is the result of one request at a worker.
type Outcome struct {
	Service fleet.PoolName
	Route   RouteName
	Worker  fleet.EngineID
	Version fleet.SoftwareVersion
	// Failed is set if the worker responded with a failure or aborted its response.
	Failed bool
	// TimeToFirstByte is the measured time and Predicted the expected one. Predicted is 0 without a
	// prediction; times are then compared among responses of the same route.
	TimeToFirstByte time.Duration
	Predicted       time.Duration
}

// LatencyBuckets is the number of buckets of a latency histogram. Each covers half a power of two,
// starting at 1/4 of the predicted time, or at 2 ms without a prediction.
const LatencyBuckets = 24

// Counts are cumulative counts of outcomes.
type Counts struct {
	Responses uint64
	Failures  uint64
	Latency   [LatencyBuckets]uint32
}

// Evidence is what one node has observed of one service since the node's start or since the order.
type Evidence struct {
	Service  fleet.PoolName
	Revision fleet.Revision
	// Old holds counts by route over all workers that don't run the target version.
	Old map[RouteName]*Counts
	// New holds counts by route and worker of the target.
	New map[RouteName]map[fleet.EngineID]*Counts
	// Stopped is set once this node has stopped sending to the target because of its own evidence.
	Stopped bool
}
