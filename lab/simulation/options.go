package simulation

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
)

// Options configures a run. Zero fields take their defaults, except those that drawOptions draws
// from the seed.
type Options struct {
	Seed uint64
	// Agents, Routers and Engines are the numbers of processes of each kind.
	Agents  int
	Routers int
	Engines int
	// Rate is the mean number of requests per second.
	Rate float64
	// LoadDuration is how long requests arrive, Duration the length of the whole run.
	LoadDuration time.Duration
	Duration     time.Duration
	// MaxFaults is the maximum number of faults drawn; each may be injected twice. A negative value
	// disables faults.
	MaxFaults int
	// FaultKinds, if not empty, limits the injected faults to these kinds.
	FaultKinds []FaultKind
	// MaxCommands is the maximum number of operator commands.
	MaxCommands int
	// Variant disables one safeguard, to test that the checkers detect the resulting violation.
	Variant Variant

	// CacheBlocks is the cache size of each engine; EventDelay, EventLoss and LoadLag are those of
	// enginemodel.Config.
	CacheBlocks int
	EventDelay  time.Duration
	EventLoss   float64
	LoadLag     time.Duration
	// DuplicateRate is the probability that an answer is delivered a second time with a delay,
	// StrayFrameRate that an operation receives a frame of another stream.
	DuplicateRate  float64
	StrayFrameRate float64
	// EngineSlowdown multiplies the step costs of the engines, RetryBurst bounds the agents' retry
	// budget and MaxStreams the streams of one engine. A fleet with little capacity produces more
	// refusals and failed requests.
	EngineSlowdown int
	RetryBurst     float64
	MaxStreams     int
}

// Defaults of Options.
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

// Upper bounds of the values that are drawn from the seed.
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

// drawOptions sets the options that depend on the seed.
func (w *world) drawOptions() {
	o := &w.options
	fraction := func() float64 { return w.random.Float64() }
	o.EventDelay = time.Duration(fraction() * float64(maxEventDelay))
	o.EventLoss = fraction() * maxEventLoss
	o.LoadLag = time.Duration(fraction() * float64(maxLoadLag))
	o.DuplicateRate = fraction() * maxDuplicateRate
	o.StrayFrameRate = fraction() * maxStrayFrameRate
	o.EngineSlowdown = 1 + w.random.IntN(maxEngineSlowdown)
	o.RetryBurst = 1 + fraction()*maxRetryBurst
	o.MaxStreams = 1 + w.random.IntN(maxStreamLimit)
}

// costs returns the engines' costs. Model versions load fast enough for several loads in one run.
func (o Options) costs() enginemodel.Costs {
	costs := enginemodel.DefaultCosts()
	costs.LoadTime = 300 * time.Millisecond
	costs.StepBase *= time.Duration(o.EngineSlowdown)
	costs.PrefillPerToken *= time.Duration(o.EngineSlowdown)
	return costs
}

// Names and block size of the fleet's configuration.
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

// Variant names a safeguard that is disabled in this package's simulated processes; the product's
// code is unchanged.
type Variant string

// Variants and what each of them changes.
const (
	// Unmodified disables nothing.
	Unmodified Variant = ""
	// DispatchToAnyRun ignores the incarnation of a dispatch.
	DispatchToAnyRun Variant = "dispatch-to-any-run"
	// MixRunsOfEngine attributes the cached blocks of an earlier engine run to the current one.
	MixRunsOfEngine Variant = "mix-runs-of-engine"
	// DropContinuation makes a second engine start its output from the beginning.
	DropContinuation Variant = "drop-continuation"
	// KeepConfiguration makes agents and peers send no configuration to restarted routers.
	KeepConfiguration Variant = "keep-configuration"
	// TakeAnyStream accepts frames of other streams.
	TakeAnyStream Variant = "take-any-stream"
	// AssumeNotSent treats a dispatch without an answer as one that was not sent.
	AssumeNotSent Variant = "assume-not-sent"
	// TrustLostCancel treats a cancel without an answer as one of a stream that never ran.
	TrustLostCancel Variant = "trust-lost-cancel"
	// RepeatEverything treats every request as repeatable.
	RepeatEverything Variant = "repeat-everything"
	// IgnoreDirectives hides drains and retirements from the routers' placement cores.
	IgnoreDirectives Variant = "ignore-directives"
	// StopWithoutDrain ends an agent's process as soon as its planned stop begins.
	StopWithoutDrain Variant = "stop-without-drain"
	// TakeAnyRevision lets a lower revision replace a higher one.
	TakeAnyRevision Variant = "take-any-revision"
	// CommitWithoutCompare drops the comparisons of commits.
	CommitWithoutCompare Variant = "commit-without-compare"
	// FenceAtPlan sends orders with the fencing token of the plan, without checking the lease
	// again.
	FenceAtPlan Variant = "fence-at-plan"
	// ForgetDeadline does not report to a request that its deadline has passed.
	ForgetDeadline Variant = "forget-deadline"
)
