package emulator

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
	"github.com/tillerfall/tillerfall/lab/workload"
)

// Options configures one run.
type Options struct {
	Trace  workload.Trace
	Policy Policy
	// Seed seeds all randomness except that of the trace.
	Seed uint64
	// Warmup is the time at the start of the trace whose requests are excluded from the results.
	Warmup time.Duration
	// EventDelay is the age of cache events when an engine publishes them, EventLoss the
	// probability that one is lost. LoadLag is the age of reported load.
	EventDelay time.Duration
	EventLoss  float64
	LoadLag    time.Duration
	// Crash is an engine failure during the run; nil means none.
	Crash *Crash
	// Placement configures the product's routers; zero fields take the defaults.
	Placement placement.Options
	// SampleInterval is the length of one interval of Result.HitOverTime.
	SampleInterval time.Duration
}

// Crash is the failure of one engine, which restarts with an empty cache after Down.
type Crash struct {
	// Engine is the engine's index in the fleet.
	Engine int
	At     time.Duration
	Down   time.Duration
}

// Conditions under which the performance targets apply, and the default delay of cache events.
const (
	TargetEventLoss   = 0.3
	TargetLoadLag     = time.Second
	DefaultEventDelay = 200 * time.Millisecond
)

const (
	// localLatency is the one-way latency between processes of a zone.
	localLatency = 100 * time.Microsecond
	// Intervals of the router and agent processes: between status polls, between checks for
	// needed snapshots, and between batches of attempt reports.
	statusInterval   = 250 * time.Millisecond
	snapshotInterval = 100 * time.Millisecond
	reportInterval   = 50 * time.Millisecond
	// minimumTick is the minimum time between two ticks of a router.
	minimumTick = time.Millisecond
	// eventPollPause is the minimum time between two polls for cache events.
	eventPollPause = 5 * time.Millisecond
	// maxOverrun bounds how long requests may run after the end of the trace.
	maxOverrun = 10 * time.Minute

	defaultSampleInterval = time.Second
)

func (o Options) withDefaults() Options {
	if o.SampleInterval <= 0 {
		o.SampleInterval = defaultSampleInterval
	}
	return o
}

// engineConfig returns the configuration of one engine model.
func (o *Options) engineConfig(id fleet.EngineID, zone fleet.ZoneName) enginemodel.Config {
	description := o.Trace.Fleet
	return enginemodel.Config{
		ID:           id,
		Zone:         zone,
		Costs:        enginemodel.DefaultCosts(),
		CacheBlocks:  description.CacheBlocks,
		BlockTokens:  description.BlockTokens,
		BlockIdleTTL: description.BlockIdleTTL,
		MaxRunning:   maxStreams,
		EventDelay:   o.EventDelay,
		EventLoss:    o.EventLoss,
		LoadLag:      o.LoadLag,
		KeepWeights:  true,
	}
}
