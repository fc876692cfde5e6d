package placement

import (
	"math/rand/v2"
	"time"

	"github.com/tillerfall/tillerfall/internal/affinity"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/flowcontrol"
	"github.com/tillerfall/tillerfall/internal/prefixindex"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// Defaults of Options.
const (
	DefaultGrantValid         = 2 * time.Second
	DefaultReportGrace        = 3 * time.Second
	DefaultMaxEngineQueue     = 250 * time.Millisecond
	DefaultReserveFraction    = 0.2
	DefaultStatusTTL          = 5 * time.Second
	DefaultDispatchDelay      = 5 * time.Millisecond
	DefaultWarmWaitFraction   = 0.1
	DefaultReconsiderInterval = 10 * time.Millisecond
	DefaultHoldTokens         = 512
	DefaultMaxHops            = 3
	DefaultMaxForeignHops     = 8
	DefaultMaxSpills          = affinity.MaxSpills
	DefaultSpillWait          = 250 * time.Millisecond
	DefaultSpillQueue         = 4
	DefaultExplainRing        = 512

	// defaultScanDepth exceeds flow control's default because an attempt that waits for an engine
	// or a prefix is cheap.
	defaultScanDepth = 64
)

// Options configures a Core. Zero fields take their defaults.
type Options struct {
	Node fleet.NodeID
	Zone fleet.ZoneName
	// Random breaks ties and adds jitter to retry times; required.
	Random *rand.Rand
	// GrantValid is the time within which an agent must dispatch a granted attempt.
	GrantValid time.Duration
	// ReportGrace is how late a report may be before the grant counts as lost.
	ReportGrace time.Duration
	// MaxEngineQueue bounds the predicted prefill time queued at an engine. Further requests wait
	// in the Core, where they can still be reordered.
	MaxEngineQueue time.Duration
	// ReserveFraction is the fraction of an engine's streams and queue reserved for the best class.
	// A negative value reserves nothing.
	ReserveFraction float64
	// StatusTTL is how long a status keeps an engine ready.
	StatusTTL time.Duration
	// DispatchDelay is the minimum time from a grant until the engine receives the request.
	DispatchDelay time.Duration
	// ReconsiderInterval is the minimum time between two placement attempts of a request that waits
	// for a warm engine.
	ReconsiderInterval time.Duration
	// WarmWaitFraction is the fraction of the class's maximum wait after which a request no longer
	// waits for a warm engine while others are idle. A negative value disables this limit.
	WarmWaitFraction float64
	// HoldTokens is the minimum length of an uncomputed common prefix for which a request waits
	// until another request has computed it. This prevents an engine from computing the prefix
	// twice. A negative value disables the wait.
	HoldTokens int
	// MaxHops bounds the hand-backs of a request for lack of an engine.
	MaxHops int
	// MaxForeignHops replaces MaxHops while other routers own engines of the pool: while ownership
	// moves, an engine may briefly have no owner, and agents back off between hand-backs.
	MaxForeignHops int
	// MaxSpills bounds the hand-backs of a request by saturated routers. After that the router
	// queues or refuses it. Only a router that owns part of a pool spills. A negative value
	// disables spilling.
	MaxSpills int
	// SpillWait is the predicted wait above which a request without a cached prefix is handed back.
	// A cached prefix adds the time that it saves.
	SpillWait time.Duration
	// SpillQueue is the number of waiting requests per owned engine of the pool at which new ones
	// are handed back regardless of the predicted wait.
	SpillQueue int
	// ExplainRing is the number of decisions kept for Explain.
	ExplainRing int

	Flow       flowcontrol.Options
	Index      prefixindex.Options
	Feed       prefixindex.FeedOptions
	Scheduling scheduling.Options
}

func (o Options) withDefaults() Options {
	setDefault(&o.GrantValid, DefaultGrantValid)
	setDefault(&o.ReportGrace, DefaultReportGrace)
	setDefault(&o.MaxEngineQueue, DefaultMaxEngineQueue)
	setDefault(&o.ReserveFraction, DefaultReserveFraction)
	setDefault(&o.StatusTTL, DefaultStatusTTL)
	setDefault(&o.DispatchDelay, DefaultDispatchDelay)
	setDefault(&o.ReconsiderInterval, DefaultReconsiderInterval)
	setDefault(&o.WarmWaitFraction, DefaultWarmWaitFraction)
	setDefault(&o.HoldTokens, DefaultHoldTokens)
	setDefault(&o.MaxHops, DefaultMaxHops)
	setDefault(&o.MaxForeignHops, DefaultMaxForeignHops)
	setDefault(&o.MaxSpills, DefaultMaxSpills)
	setDefault(&o.SpillWait, DefaultSpillWait)
	setDefault(&o.SpillQueue, DefaultSpillQueue)
	setDefault(&o.ExplainRing, DefaultExplainRing)
	setDefault(&o.Scheduling, scheduling.DefaultOptions())
	setDefault(&o.Flow.ScanDepth, defaultScanDepth)
	if o.Flow.Random == nil {
		o.Flow.Random = o.Random
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
