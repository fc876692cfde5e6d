package enginemodel

import (
	"math/rand/v2"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Costs is the speed of an engine. The package comment defines how the values are combined.
type Costs struct {
	// StepBase is the fixed duration of a step.
	StepBase time.Duration
	// DecodePerToken is added to a step for each output token.
	DecodePerToken time.Duration
	// PrefillPerToken is added to a step for each computed prompt token.
	PrefillPerToken time.Duration
	// StepTokens is the token budget of a step, output and prompt tokens together.
	StepTokens int
	// ImportPerBlock is the time to import one KV cache block.
	ImportPerBlock time.Duration
	// LoadTime is the time to load weights.
	LoadTime time.Duration
}

// DefaultCosts returns the speed of a mid-range accelerator: about 21,000 prompt tokens per second,
// and 8 to 20 ms between output tokens.
func DefaultCosts() Costs {
	return Costs{
		StepBase:        8 * time.Millisecond,
		DecodePerToken:  100 * time.Microsecond,
		PrefillPerToken: 40 * time.Microsecond,
		StepTokens:      2048,
		ImportPerBlock:  60 * time.Microsecond,
		LoadTime:        600 * time.Millisecond,
	}
}

// Defaults of Config.
const (
	DefaultBlockTokens    = 16
	DefaultCacheBlocks    = 8192
	DefaultMaxRunning     = 64
	DefaultMaxWaiting     = 256
	DefaultMaxOutput      = 4096
	DefaultFrameRetention = 30 * time.Second
	DefaultMaxRetained    = 1024
)

// Config describes an engine. Zero values select the defaults, except for the delays, EventLoss and
// BlockIdleTTL, where zero disables them.
type Config struct {
	ID          fleet.EngineID
	Incarnation fleet.Incarnation
	Zone        fleet.ZoneName
	Costs       Costs
	// CacheBlocks is the capacity of the KV cache in blocks.
	CacheBlocks int
	// BlockTokens is the number of tokens in a block.
	BlockTokens int
	// MaxRunning bounds the streams in a batch, MaxWaiting the streams in the queue.
	MaxRunning int
	MaxWaiting int
	// MaxOutputTokens caps the output limit of every request.
	MaxOutputTokens int
	// StopTokens ends each output after this number of tokens with reason "stop", unless its limit
	// is lower. Zero runs every output to its limit.
	StopTokens int
	// EventDelay is the time until a cache event becomes visible. EventLoss is the probability that
	// an event is lost, which leaves a gap in the sequence numbers.
	EventDelay time.Duration
	EventLoss  float64
	// LoadLag is the minimum age of the load that Status reports.
	LoadLag time.Duration
	// BlockIdleTTL is the idle time after which an unpinned block is evicted.
	BlockIdleTTL time.Duration
	// Loaded lists the weights that are loaded at the start.
	Loaded []engine.ModelVersion
	// KeepWeights loads Loaded again after a restart.
	KeepWeights bool
	// FrameRetention is how long the frames of ended streams are kept, MaxRetained for how many
	// streams.
	FrameRetention time.Duration
	MaxRetained    int
	// RecordHistory enables TakeExecutions and EverStored.
	RecordHistory bool
	// Random decides which events are lost. Nil selects a source with a fixed seed.
	Random *rand.Rand
}

func (c Config) withDefaults() Config {
	if c.Incarnation == 0 {
		c.Incarnation = 1
	}
	if c.Costs == (Costs{}) {
		c.Costs = DefaultCosts()
	}
	c.CacheBlocks = orDefault(c.CacheBlocks, DefaultCacheBlocks)
	c.BlockTokens = orDefault(c.BlockTokens, DefaultBlockTokens)
	c.MaxRunning = orDefault(c.MaxRunning, DefaultMaxRunning)
	c.MaxWaiting = orDefault(c.MaxWaiting, DefaultMaxWaiting)
	c.MaxOutputTokens = orDefault(c.MaxOutputTokens, DefaultMaxOutput)
	c.MaxRetained = orDefault(c.MaxRetained, DefaultMaxRetained)
	c.FrameRetention = orDefault(c.FrameRetention, DefaultFrameRetention)
	c.Costs.StepTokens = orDefault(c.Costs.StepTokens, DefaultCosts().StepTokens)
	c.Costs.StepBase = max(c.Costs.StepBase, time.Microsecond)
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(1, 1))
	}
	return c
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
