package enginemodel

import (
	"math/rand/v2"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Costs is the engine's speed; the package comment has the formulas.
type Costs struct {
	// StepBase is the fixed time of a step.
	StepBase time.Duration
	// DecodePerToken is the time that each output token adds to its step.
	DecodePerToken time.Duration
	// PrefillPerToken is the time that each computed prompt token adds.
	PrefillPerToken time.Duration
	// StepTokens is the budget of a step, output and prompt tokens together.
	StepTokens int
	// ImportPerBlock is the time to import one block of KV cache.
	ImportPerBlock time.Duration
	// LoadTime is the time to load weights.
	LoadTime time.Duration
}

// DefaultCosts returns the speed of a middling accelerator: about 21,000
// prompt tokens a second, and 8 to 20 ms between output tokens.
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

// Config describes an engine. Zero values mean the defaults, except for the
// delays, the loss and BlockIdleTTL, where zero means none.
type Config struct {
	ID          fleet.EngineID
	Incarnation fleet.Incarnation
	Zone        fleet.ZoneName
	Costs       Costs
	// CacheBlocks is the memory for KV blocks, in blocks.
	CacheBlocks int
	// BlockTokens is the number of tokens in a block.
	BlockTokens int
	// MaxRunning bounds the streams in a batch, MaxWaiting the queue.
	MaxRunning int
	MaxWaiting int
	// MaxOutputTokens bounds every output; a higher limit of a request is
	// lowered to it.
	MaxOutputTokens int
	// StopTokens ends each output after so many tokens with reason "stop", if
	// its limit isn't reached before. Zero means that outputs run to the limit.
	StopTokens int
	// EventDelay passes before a cache event can be taken. EventLoss is the
	// probability that an event is lost and leaves a gap in the sequence.
	EventDelay time.Duration
	EventLoss  float64
	// LoadLag is the least age of the load that Status reports.
	LoadLag time.Duration
	// BlockIdleTTL evicts blocks that have been idle for so long.
	BlockIdleTTL time.Duration
	// Loaded are the weights in memory at the start.
	Loaded []engine.Weights
	// KeepWeights puts Loaded into memory again after a restart.
	KeepWeights bool
	// FrameRetention and MaxRetained bound how long and for how many ended
	// streams the frames are kept.
	FrameRetention time.Duration
	MaxRetained    int
	// RecordHistory keeps what checkers ask for: TakeExecutions and EverStored.
	RecordHistory bool
	// Random is the source of event loss. Nil means a fixed seed.
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
