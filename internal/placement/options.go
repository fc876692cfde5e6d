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

	// defaultScanDepth is deep, because a look at a request that waits for an
	// engine or a prefix is cheap.
	defaultScanDepth = 64
)

// Options sets up a Core. A zero field takes its default.
type Options struct {
	Node fleet.NodeID
	Zone fleet.ZoneName
	// Random breaks ties and spreads retry times; required.
	Random *rand.Rand
	// GrantValid is the time within which an agent must dispatch.
	GrantValid time.Duration
	// ReportGrace is how much later than expected a report may come before the
	// grant counts as over.
	ReportGrace time.Duration
	// MaxEngineQueue bounds the prompt work, as predicted time, that is given
	// to an engine ahead of its computing it. What is over it waits here, where
	// its order can still change.
	MaxEngineQueue time.Duration
	// ReserveFraction is the part of an engine's streams and queue that only
	// the best class may use. A negative value means none.
	ReserveFraction float64
	// StatusTTL is how long an engine's last word keeps it ready.
	StatusTTL time.Duration
	// DispatchDelay is the least time from a grant until the engine knows of it.
	DispatchDelay time.Duration
	// ReconsiderInterval is the least time between two looks at a request that waits
	// for a warm engine.
	ReconsiderInterval time.Duration
	// WarmWaitFraction is the part of its class's longest wait after which a
	// request doesn't wait for a warm engine any more while others are idle. A
	// negative value means never.
	WarmWaitFraction float64
	// HoldTokens is the length of an uncomputed common prefix from which on a
	// request waits until the engine that computes it is done, since an engine
	// that got both at once would compute it twice. A negative value means never.
	HoldTokens int
	// MaxHops bounds the hand-backs of a request for want of an engine.
	MaxHops int
	// MaxForeignHops takes its place while other routers own engines of the pool:
	// after a change of the routers an engine may have no owner for a moment, and
	// agents back off between hand-backs.
	MaxForeignHops int
	// MaxSpills bounds the hand-backs of a request that finds the engines of one
	// router after the other saturated; the router asked then queues or refuses
	// it. Only a router that owns a part of the pool hands back. A negative value
	// means never.
	MaxSpills int
	// SpillWait is the predicted wait from which on a request that has nothing
	// cached here is handed back; a cached prefix adds the time that it saves.
	SpillWait time.Duration
	// SpillQueue is the number of waiting requests for each owned engine of the
	// pool from which on new ones are handed back whatever is predicted.
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
