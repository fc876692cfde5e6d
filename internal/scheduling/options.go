package scheduling

import "time"

// Defaults of Options, and of endpoints that haven't reported their speed.
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

// Options sets the prices that a scheduler compares engines by. A zero field
// means what it says; DefaultOptions gives a start.
type Options struct {
	// ZonePenalty is added for an engine outside the agent's zone. It covers
	// the round trip there.
	ZonePenalty time.Duration
	// RecomputeWeight is the time of other requests' work that one recomputed
	// prompt token is worth. Prefill takes shared capacity, so at 0 a request
	// would recompute a long prefix to gain a moment for itself.
	RecomputeWeight time.Duration
	// CongestionWeight is added to RecomputeWeight in proportion to the mean
	// congestion of the candidates: the longer the queues, the more requests wait
	// behind what is recomputed. Without it, recomputation could keep up the queues
	// that it is meant to avoid. An engine is congested in full when its queue is
	// CongestedQueue long.
	CongestionWeight time.Duration
	CongestedQueue   time.Duration
	// TieFraction is how much dearer than the cheapest, in parts of its cost, a
	// candidate may be and still count as equal. Equal candidates are taken by
	// the fewest streams in flight, then at random: routers that decide from
	// the same late load reports then don't all choose the same engine.
	TieFraction float64
	// ImportWeight is charged for each token that is taken over from another
	// holder: a move loads two links and may fail, and makes a second copy that
	// takes the place of others.
	ImportWeight time.Duration
	// DecodeStallWeight is charged for each stream whose events a prompt holds up
	// over all the steps between two of them.
	DecodeStallWeight time.Duration
	// MemoryWeight is charged for each token that doesn't fit into an endpoint's
	// memory beside what its requests hold: an engine that runs out of memory puts
	// a request back and computes its prompt anew.
	MemoryWeight time.Duration
}

// DefaultOptions returns options that suit the stand-in engines.
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
