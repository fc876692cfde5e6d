package affinity

import (
	"math/rand/v2"
	"time"
)

// Defaults of Options.
const (
	DefaultFirstDepth   = 4
	DefaultDepthRatio   = 4
	DefaultLevels       = 4
	DefaultMaxKeys      = 8192
	DefaultHalfLife     = 30 * time.Second
	DefaultGrowInterval = 250 * time.Millisecond
)

// Options configures a Table. Zero fields take their defaults.
type Options struct {
	// Random spreads requests over equally suitable routers; required.
	Random *rand.Rand
	// FirstDepth is the number of leading blocks in a prompt's first key. Each further key covers
	// DepthRatio times as many blocks, up to Levels keys.
	FirstDepth int
	DepthRatio int
	Levels     int
	// MaxKeys bounds the number of tracked keys; the least recently used are evicted first.
	MaxKeys int
	// HalfLife is the half-life of unused widths and request counts.
	HalfLife time.Duration
	// GrowInterval is the minimum time between two doublings of a width. It gives the routers'
	// queues time to drain before the next doubling.
	GrowInterval time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.FirstDepth, DefaultFirstDepth)
	setDefault(&o.DepthRatio, DefaultDepthRatio)
	setDefault(&o.Levels, DefaultLevels)
	setDefault(&o.MaxKeys, DefaultMaxKeys)
	setDefault(&o.HalfLife, DefaultHalfLife)
	setDefault(&o.GrowInterval, DefaultGrowInterval)
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
