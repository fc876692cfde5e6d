package membership

import (
	"math"
	"math/rand/v2"
	"time"
)

// Options configures a Core. Zero durations and counts are replaced by the defaults.
type Options struct {
	// Self is this node. Its State is ignored.
	Self Member
	// Random is the source of all random choices. Cores with equal seeds and inputs behave alike.
	Random *rand.Rand
	// ProbeInterval is the mean time between two probes by this node.
	ProbeInterval time.Duration
	// ProbeTimeout is the time to wait for a direct probe before indirect ones are sent. It is
	// limited to half of ProbeInterval.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members asked to probe a member that does not answer.
	IndirectProbes int
	// SuspicionMultiplier times log10(members) probe intervals is the suspicion timeout.
	SuspicionMultiplier float64
	// RetransmitMultiplier times log10(members) is the number of times that a node sends one
	// update: the λ of the SWIM paper.
	RetransmitMultiplier int
	// MaxUpdates bounds the piggybacked updates of one message.
	MaxUpdates int
	// RemoteEvery sends every RemoteEvery-th probe to another region.
	RemoteEvery int
	// ReconnectInterval is the mean time between two probes of dead members.
	ReconnectInterval time.Duration
	// SeedInterval is the mean time between two probes of seeds that are not known members.
	SeedInterval time.Duration
	// ExchangeInterval is the minimum mean time between two full exchanges (push-pull) with a
	// random member. ExchangeRate lengthens it in a large fleet.
	ExchangeInterval time.Duration
	// ExchangeRate bounds the mean traffic of the full exchanges that this node starts, in bytes
	// per second.
	ExchangeRate int
	// DeadRetention is how long a dead member is kept and probed. It should exceed the longest
	// expected partition between regions.
	DeadRetention time.Duration
	// MaxTombstones bounds the tombstones of expired members.
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
	// approximateMemberBytes is the encoded size of a record, used for ExchangeRate.
	approximateMemberBytes = 80
	// leaveFanout is the number of members that are notified immediately of a planned stop.
	leaveFanout = 4
	// deadExchangeDuration is how long a dead member is included in full exchanges.
	deadExchangeDuration = 2 * time.Minute
	// contestedProbesPerInterval bounds the extra probes, per probe interval, of members on whose
	// state this node and another one disagree.
	contestedProbesPerInterval = 20
	// rejoinInterval is the mean time between the full exchanges of a node that has just joined.
	// They end after maxUnchangedRejoins in a row without a new member, or after maxRejoins.
	// postRejoinInterval is the mean time to the next exchange. When many nodes start together, the
	// first answers are incomplete. Each exchange squares the fraction of members that is missing,
	// while gossip alone takes half a minute for 195 members.
	rejoinInterval      = 400 * time.Millisecond
	maxUnchangedRejoins = 2
	maxRejoins          = 8
	postRejoinInterval  = 5 * time.Second
	// reconnectProbeTimeout is how long the answer to a reconnecting probe is awaited.
	reconnectProbeTimeout = 5 * time.Second
	// seedsPerJoinAttempt is the number of seeds asked in one attempt to join.
	seedsPerJoinAttempt = 3
	// maxJoinBackoff bounds the backoff between two attempts to join, without jitter.
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

// retransmitLimit returns how often one update is sent in a fleet of the given size.
func (o *Options) retransmitLimit(members int) int {
	return o.RetransmitMultiplier * int(math.Ceil(math.Log10(float64(members)+1)))
}

// suspicionTimeout returns the time that a suspect has to refute in a fleet of the given size.
func (o *Options) suspicionTimeout(members int) time.Duration {
	scale := max(1, math.Log10(float64(members)))
	return time.Duration(o.SuspicionMultiplier * scale * float64(o.ProbeInterval))
}

// exchangeDelay returns the mean time between two full exchanges that this node starts.
func (o *Options) exchangeDelay(members int) time.Duration {
	bytes := 2 * members * approximateMemberBytes
	return max(o.ExchangeInterval, time.Duration(bytes/o.ExchangeRate)*time.Second)
}
