package membership

import (
	"math"
	"math/rand/v2"
	"time"
)

// Options sets up a Core. Zero durations and counts take the defaults.
type Options struct {
	// Self is this node; its State is ignored.
	Self Member
	// Random drives every choice; two cores with equal seeds and inputs act alike.
	Random *rand.Rand
	// ProbeInterval is the time between two probes of this node.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe may take before indirect ones
	// start. It must be shorter than ProbeInterval.
	ProbeTimeout time.Duration
	// IndirectProbes is how many members are asked to probe a silent one.
	IndirectProbes int
	// SuspicionMultiplier times log10(members) probe intervals is the time a
	// suspect has to refute.
	SuspicionMultiplier float64
	// RetransmitMultiplier times log10(members) is how often a node passes one
	// update on: the λ of the SWIM paper.
	RetransmitMultiplier int
	// MaxUpdates bounds the updates in one message.
	MaxUpdates int
	// RemoteEvery makes one in so many probes go to another region.
	RemoteEvery int
	// ReconnectInterval is the time between two probes of members believed dead.
	ReconnectInterval time.Duration
	// SeedInterval is the time between two probes of seeds that aren't known members.
	SeedInterval time.Duration
	// ExchangeInterval is the least time between two whole exchanges with a
	// random member; ExchangeRate stretches it in a large fleet.
	ExchangeInterval time.Duration
	// ExchangeRate bounds the mean bytes a second that this node starts in
	// whole exchanges.
	ExchangeRate int
	// DeadRetention is how long a dead member is remembered and probed. It
	// should exceed the longest loss of contact between regions.
	DeadRetention time.Duration
	// MaxTombstones bounds the incarnations remembered of forgotten members.
	MaxTombstones int
}

// Defaults of Options.
const (
	DefaultProbeInterval        = time.Second
	DefaultProbeTimeout         = 400 * time.Millisecond
	DefaultIndirectProbes       = 3
	DefaultSuspicionMultiplier  = 3
	DefaultRetransmitMultiplier = 4
	DefaultMaxUpdates           = 32
	DefaultRemoteEvery          = 4
	DefaultReconnectInterval    = 10 * time.Second
	DefaultSeedInterval         = 30 * time.Second
	DefaultExchangeInterval     = time.Minute
	DefaultExchangeRate         = 512
	DefaultDeadRetention        = 3 * time.Hour
	DefaultMaxTombstones        = 16384
)

const (
	// approximateMemberBytes is the encoded size of a record, for ExchangeRate.
	approximateMemberBytes = 80
	// leaveFanout is how many members are told at once of a planned stop.
	leaveFanout = 4
	// deadExchangeDuration is how long a death is part of whole exchanges.
	deadExchangeDuration = 2 * time.Minute
	// contestedProbesPerInterval bounds the extra probes of members that another
	// node holds for dead, or alive, against this node's belief.
	contestedProbesPerInterval = 20
	// rejoinInterval is the mean time between the whole exchanges of a node that has just
	// joined, until quietRejoins in a row have brought no new member, and at most
	// maxRejoins of them: in a herd nobody knows all at first, and each exchange squares
	// the part that is missing, while gossip alone takes half a minute for 195 members.
	// settledDelay is the mean time to the exchange after these.
	rejoinInterval      = 400 * time.Millisecond
	maxUnchangedRejoins = 2
	maxRejoins          = 8
	postRejoinInterval  = 5 * time.Second
	// reconnectProbeTimeout is how long the answer to a reconnecting probe is awaited.
	reconnectProbeTimeout = 5 * time.Second
	// seedsPerJoinAttempt is how many seeds are asked at a time.
	seedsPerJoinAttempt = 3
	// maxJoinBackoff bounds the back-off between two attempts to join.
	maxJoinBackoff = 10 * time.Second
)

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (o *Options) setDefaults() {
	setDefault(&o.ProbeInterval, DefaultProbeInterval)
	setDefault(&o.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&o.IndirectProbes, DefaultIndirectProbes)
	setDefault(&o.SuspicionMultiplier, DefaultSuspicionMultiplier)
	setDefault(&o.RetransmitMultiplier, DefaultRetransmitMultiplier)
	setDefault(&o.MaxUpdates, DefaultMaxUpdates)
	setDefault(&o.RemoteEvery, DefaultRemoteEvery)
	setDefault(&o.ReconnectInterval, DefaultReconnectInterval)
	setDefault(&o.SeedInterval, DefaultSeedInterval)
	setDefault(&o.ExchangeInterval, DefaultExchangeInterval)
	setDefault(&o.ExchangeRate, DefaultExchangeRate)
	setDefault(&o.DeadRetention, DefaultDeadRetention)
	setDefault(&o.MaxTombstones, DefaultMaxTombstones)
	o.ProbeTimeout = min(o.ProbeTimeout, o.ProbeInterval/2)
}

// retransmitLimit is how often one update is passed on among that many members.
func (o *Options) retransmitLimit(members int) int {
	return o.RetransmitMultiplier * int(math.Ceil(math.Log10(float64(members)+1)))
}

// suspicionTimeout is the time a suspect has to refute among that many members.
func (o *Options) suspicionTimeout(members int) time.Duration {
	scale := max(1, math.Log10(float64(members)))
	return time.Duration(o.SuspicionMultiplier * scale * float64(o.ProbeInterval))
}

// exchangeDelay is the mean time between two whole exchanges this node starts.
func (o *Options) exchangeDelay(members int) time.Duration {
	bytes := 2 * members * approximateMemberBytes
	return max(o.ExchangeInterval, time.Duration(bytes/o.ExchangeRate)*time.Second)
}
