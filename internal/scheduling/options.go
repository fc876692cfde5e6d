package scheduling

import "time"

// Defaults of Options, and of endpoints that have not reported their speed.
const (
	DefaultZonePenalty       = 3 * time.Millisecond
	DefaultRecomputeWeight   = 100 * time.Microsecond
	DefaultCongestionWeight  = 300 * time.Microsecond
	DefaultCongestedQueue    = 200 * time.Millisecond
	DefaultTieFraction       = 0.05
	DefaultDecodeStallWeight = 100 * time.Millisecond
	DefaultMemoryWeight      = 50 * time.Microsecond
	DefaultStepTokens        = 2048
	DefaultPrefillPerToken   = 50 * time.Microsecond
	DefaultStep              = 10 * time.Millisecond
)

// Options sets the weights of the cost function that engines are compared by. Zero fields are used
// as they are; start from DefaultOptions for defaults.
type Options struct {
	// ZonePenalty is added for an engine outside the agent's zone, to cover the round trip.
	ZonePenalty time.Duration
	// RecomputeWeight is charged for each recomputed prompt token, since prefill takes capacity
	// from other requests. At 0, a request recomputes a long prefix for any gain in its own
	// latency.
	RecomputeWeight time.Duration
	// CongestionWeight is added to RecomputeWeight in proportion to the mean congestion of the
	// candidates, so that recomputation does not sustain the queues that it is meant to avoid. An
	// engine counts as fully congested when its queue is CongestedQueue long.
	CongestionWeight time.Duration
	CongestedQueue   time.Duration
	// TieFraction is the fraction by which a candidate may cost more than the cheapest one and
	// still count as equal. Among equal candidates, those with the fewest streams in flight are
	// preferred, then one is picked at random, so that routers with the same stale load reports do
	// not all choose the same engine.
	TieFraction float64
	// ImportWeight is charged for each token imported from another holder: a transfer loads two
	// links, may fail, and its copy displaces other cached blocks.
	ImportWeight time.Duration
	// DecodeStallWeight is charged for each decoding stream whose next event the prompt delays.
	DecodeStallWeight time.Duration
	// MemoryWeight is charged for each token that exceeds an endpoint's memory. An engine that runs
	// out of memory preempts a request and recomputes its prompt.
	MemoryWeight time.Duration
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		ZonePenalty:      DefaultZonePenalty,
		RecomputeWeight:  DefaultRecomputeWeight,
		CongestionWeight: DefaultCongestionWeight,
		CongestedQueue:   DefaultCongestedQueue,
		TieFraction:      DefaultTieFraction,

		DecodeStallWeight: DefaultDecodeStallWeight,
		MemoryWeight:      DefaultMemoryWeight,
	}
}
