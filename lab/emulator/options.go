package emulator

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
	"github.com/tillerfall/tillerfall/lab/workload"
)

// Options says what to run.
type Options struct {
	Trace  workload.Trace
	Policy Policy
	// Seed drives everything but the trace.
	Seed uint64
	// Warmup is the first part of the trace, whose requests aren't measured.
	Warmup time.Duration
	// EventDelay is the age of cache events when an engine shows them, EventLoss
	// the probability that one is lost. LoadLag is the age of reported load.
	EventDelay time.Duration
	EventLoss  float64
	LoadLag    time.Duration
	// Crash makes an engine lose everything; nil means that none does.
	Crash *Crash
	// Placement tunes the product's routers; zero fields take the defaults.
	Placement placement.Options
	// SampleInterval is the length of the intervals of Result.HitOverTime.
	SampleInterval time.Duration
}

// Crash is the failure of one engine, which comes back empty.
type Crash struct {
	Engine int
	At     time.Duration
	Down   time.Duration
}

// Conditions that the targets are stated for, and a usual delay of events.
const (
	TargetEventLoss   = 0.3
	TargetLoadLag     = time.Second
	DefaultEventDelay = 200 * time.Millisecond
)

const (
	// localLatency is one way between processes of a zone.
	localLatency = 100 * time.Microsecond
	// statusInterval, needsInterval and reportInterval are those of the router
	// and agent processes; statusTimeout is that of a status poll.
	statusInterval   = 250 * time.Millisecond
	snapshotInterval = 100 * time.Millisecond
	reportInterval   = 50 * time.Millisecond
	// minimumTick is the least time between two ticks of a router.
	minimumTick = time.Millisecond
	// eventPollPause is the least time between two polls for cache events.
	eventPollPause = 5 * time.Millisecond
	// maxOverrun bounds how long after the trace's end requests may go on.
	maxOverrun = 10 * time.Minute

	defaultSampleInterval = time.Second
)

func (o Options) withDefaults() Options {
	if o.SampleInterval <= 0 {
		o.SampleInterval = defaultSampleInterval
	}
	return o
}

// engineConfig describes one engine of the fleet.
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
