package simulation

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
)

// Options sets up a run. Zero fields take their defaults; what a run draws from
// its seed is drawn by draw.
type Options struct {
	Seed uint64
	// Agents, Routers and Engines are the sizes of the fleet.
	Agents  int
	Routers int
	Engines int
	// Rate is the mean number of requests a second.
	Rate float64
	// LoadDuration is how long requests arrive, Duration the length of the run.
	LoadDuration time.Duration
	Duration     time.Duration
	// MaxFaults is the greatest number of faults; negative means none at all.
	MaxFaults int
	// FaultKinds, if not empty, limits the faults to these kinds.
	FaultKinds []FaultKind
	// MaxCommands is the greatest number of operators' commands.
	MaxCommands int
	// Variant breaks one guard, to see that the checkers notice.
	Variant Variant

	// CacheBlocks is the cache of one engine; EventDelay, EventLoss and LoadLag
	// are those of enginemodel.Config.
	CacheBlocks int
	EventDelay  time.Duration
	EventLoss   float64
	LoadLag     time.Duration
	// DuplicateRate is the probability that an answer comes a second time, late,
	// CrossedFrames that a frame of another stream comes under an operation.
	DuplicateRate  float64
	StrayFrameRate float64
	// EngineSlowdown multiplies the costs of the engines, RetryBurst bounds the agents'
	// retry budget and MaxStreams the streams of one engine: a scarce fleet
	// refuses and gives up more.
	EngineSlowdown int
	RetryBurst     float64
	MaxStreams     int
}

// Defaults of Options: the size of the users' smaller fleet.
const (
	DefaultAgents       = 3
	DefaultRouters      = 3
	DefaultEngines      = 12
	DefaultRate         = 20
	DefaultLoadDuration = 14 * time.Second
	DefaultDuration     = 32 * time.Second
	DefaultMaxFaults    = 6
	DefaultMaxCommands  = 10
)

// Bounds of what a seed draws.
const (
	maxEventDelay     = time.Second
	maxEventLoss      = 0.3
	maxLoadLag        = time.Second
	maxDuplicateRate  = 0.02
	maxStrayFrameRate = 0.005
	maxEngineSlowdown = 5
	maxRetryBurst     = 20
	maxStreamLimit    = 16
)

func (o Options) withDefaults() Options {
	setDefault(&o.Agents, DefaultAgents)
	setDefault(&o.Routers, DefaultRouters)
	setDefault(&o.Engines, DefaultEngines)
	setDefault(&o.Rate, DefaultRate)
	setDefault(&o.LoadDuration, DefaultLoadDuration)
	setDefault(&o.Duration, DefaultDuration)
	setDefault(&o.MaxFaults, DefaultMaxFaults)
	setDefault(&o.MaxCommands, DefaultMaxCommands)
	setDefault(&o.CacheBlocks, 512)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// drawOptions fills in what the seed decides.
func (w *world) drawOptions() {
	o := &w.options
	part := func() float64 { return w.random.Float64() }
	o.EventDelay = time.Duration(part() * float64(maxEventDelay))
	o.EventLoss = part() * maxEventLoss
	o.LoadLag = time.Duration(part() * float64(maxLoadLag))
	o.DuplicateRate = part() * maxDuplicateRate
	o.StrayFrameRate = part() * maxStrayFrameRate
	o.EngineSlowdown = 1 + w.random.IntN(maxEngineSlowdown)
	o.RetryBurst = 1 + part()*maxRetryBurst
	o.MaxStreams = 1 + w.random.IntN(maxStreamLimit)
}

// costs makes loads of weights quick enough for several in a run.
func (o Options) costs() enginemodel.Costs {
	costs := enginemodel.DefaultCosts()
	costs.LoadTime = 300 * time.Millisecond
	costs.StepBase *= time.Duration(o.EngineSlowdown)
	costs.PrefillPerToken *= time.Duration(o.EngineSlowdown)
	return costs
}

// Names of the fleet's configuration.
const (
	model        fleet.ModelName   = "model"
	firstVersion fleet.VersionName = "v1"
	blockTokens                    = 16
)

var (
	versions = []fleet.VersionName{firstVersion, "v2", "v3"}
	tenants  = []fleet.TenantName{"amber", "birch", "cedar", "dune"}
	classes  = []fleet.ClassName{"urgent", "batch"}
	zones    = []fleet.ZoneName{"zone-a", "zone-b", "zone-c"}
)

// Variant is one guard broken on purpose, in this package's shells only.
type Variant string

// Variants, with the guard that each takes away.
const (
	// Unmodified breaks nothing.
	Unmodified Variant = ""
	// DispatchToAnyRun drops the incarnation from dispatches.
	DispatchToAnyRun Variant = "dispatch-to-any-run"
	// MixRunsOfEngine takes the cached blocks of an earlier run for the present one's.
	MixRunsOfEngine Variant = "mix-runs-of-engine"
	// DropContinuation lets a second engine begin its output anew.
	DropContinuation Variant = "drop-continuation"
	// KeepConfiguration has agents and peers tell restarted routers nothing.
	KeepConfiguration Variant = "keep-configuration"
	// TakeAnyStream takes frames of other streams.
	TakeAnyStream Variant = "take-any-stream"
	// AssumeNotSent takes a dispatch without an answer for one that wasn't sent.
	AssumeNotSent Variant = "assume-not-sent"
	// TrustLostCancel takes a cancel without an answer for one that found nothing.
	TrustLostCancel Variant = "trust-lost-cancel"
	// RepeatEverything treats every request as repeatable.
	RepeatEverything Variant = "repeat-everything"
	// IgnoreDirectives hides drains and retirements from the routers' cores.
	IgnoreDirectives Variant = "ignore-directives"
	// StopWithoutDrain ends an agent's process at the beginning of its stop.
	StopWithoutDrain Variant = "stop-without-drain"
	// TakeAnyRevision lets lower revisions replace higher ones.
	TakeAnyRevision Variant = "take-any-revision"
	// CommitWithoutCompare drops the comparisons of commits.
	CommitWithoutCompare Variant = "commit-without-compare"
	// FenceAtPlan uses the token of the plan without looking at the lease again.
	FenceAtPlan Variant = "fence-at-plan"
	// ForgetDeadline never tells a request that its deadline has passed.
	ForgetDeadline Variant = "forget-deadline"
)
