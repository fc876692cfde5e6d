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

// Options sets up a Table. A zero field takes its default.
type Options struct {
	// Random spreads requests over routers that are as good as each other; required.
	Random *rand.Rand
	// FirstDepth is the number of leading blocks in a prompt's first key. Each
	// further key has DepthRatio times as many, up to Levels keys.
	FirstDepth int
	DepthRatio int
	Levels     int
	// MaxKeys bounds the keys that are remembered, least recently used first out.
	MaxKeys int
	// HalfLife is the time in which an unused width and a count of requests halve.
	HalfLife time.Duration
	// GrowInterval is the least time between two doublings of one width: a doubling
	// shows its effect once the routers' queues have had time to drain.
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
