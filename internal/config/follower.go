package config

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// FollowerOptions configures a Follower. Zero fields take their default values.
type FollowerOptions struct {
	// PollInterval is the mean time between two platform calls of a node in a small fleet.
	PollInterval time.Duration
	// FleetCallsPerSecond bounds the rate of platform calls of all nodes together: the interval of
	// each node grows with the number of nodes.
	FleetCallsPerSecond float64
	// PeerRetry is the first delay after a request to a peer that failed or returned nothing new.
	// It doubles up to PeerRetryMax.
	PeerRetry    time.Duration
	PeerRetryMax time.Duration
	// BackoffMax bounds the delay after failed platform calls.
	BackoffMax time.Duration
}

// Default values of FollowerOptions.
const (
	DefaultPollInterval        = time.Second
	DefaultFleetCallsPerSecond = 20
	DefaultPeerRetry           = 100 * time.Millisecond
	DefaultPeerRetryMax        = 5 * time.Second
	DefaultFollowerBackoffMax  = 60 * time.Second
)

// pollJitter is the fraction by which an interval is randomly shortened or lengthened. It spreads
// the calls of nodes that started together.
const pollJitter = 0.5

// Source is where to get a configuration from.
type Source int

// Sources of a configuration.
const (
	SourceNone Source = iota
	SourcePeer
	SourcePlatform
)

// Action is the next action of a Follower: ask the source now or, with SourceNone, wait until
// Until.
type Action struct {
	Source Source
	Until  time.Duration
}

// Follower decides when a node asks its peers and when the platform for a newer configuration. It
// asks peers at the start and as soon as a higher revision is observed. It polls the platform at
// jittered intervals that grow with the number of nodes; a new revision that one node gets there
// spreads to the others through peers. It has no clock and does no I/O: times are elapsed times of
// the caller's clock. It is not safe for concurrent use.
type Follower struct {
	options FollowerOptions
	random  *rand.Rand

	nodeCount int
	// localRevision is the node's own revision, observedRevision the highest one in messages from
	// other nodes.
	localRevision, observedRevision fleet.Revision

	nextPeer     time.Duration
	nextPlatform time.Duration
	peerAttempts int
	failures     int
}

// NewFollower returns a follower that starts at time now. nodes is the number of nodes known so
// far. With other nodes, the first platform call comes after a random part of the interval: nodes
// that restart together ask their peers first.
func NewFollower(options FollowerOptions, random *rand.Rand, now time.Duration, nodes int) *Follower {
	options.setDefaults()
	follower := &Follower{options: options, random: random, nodeCount: max(nodes, 1), nextPeer: now}
	follower.nextPlatform = now
	if nodes > 1 {
		follower.nextPlatform += follower.residualInterval(follower.platformInterval())
	}
	return follower
}

func (o *FollowerOptions) setDefaults() {
	setDefault(&o.PollInterval, DefaultPollInterval)
	setDefault(&o.FleetCallsPerSecond, DefaultFleetCallsPerSecond)
	setDefault(&o.PeerRetry, DefaultPeerRetry)
	setDefault(&o.PeerRetryMax, DefaultPeerRetryMax)
	setDefault(&o.BackoffMax, DefaultFollowerBackoffMax)
}

// SetNodeCount sets the number of nodes that poll the platform, including this one. The time to the
// next platform call is scaled with the interval, except during a backoff after failures.
func (f *Follower) SetNodeCount(now time.Duration, nodes int) {
	before := f.platformInterval()
	f.nodeCount = max(nodes, 1)
	remaining := f.nextPlatform - now
	if f.failures > 0 || remaining <= 0 {
		return
	}
	scale := float64(f.platformInterval()) / float64(before)
	f.nextPlatform = now + time.Duration(float64(remaining)*scale)
}

// ObserveRevision records a revision from another node's message.
func (f *Follower) ObserveRevision(now time.Duration, revision fleet.Revision) {
	if revision > f.observedRevision && revision > f.localRevision {
		f.peerAttempts = 0
		f.nextPeer = now
	}
	f.observedRevision = max(f.observedRevision, revision)
}

// SetLocalRevision records the revision that the node holds.
func (f *Follower) SetLocalRevision(revision fleet.Revision) {
	if revision > f.localRevision {
		f.localRevision = revision
		f.peerAttempts = 0
	}
}

// Next returns the action at time now. After asking a source, call PeerDone or PlatformDone before
// the next call of Next.
func (f *Follower) Next(now time.Duration) Action {
	if f.isBehind() && now >= f.nextPeer {
		return Action{Source: SourcePeer}
	}
	if now >= f.nextPlatform {
		return Action{Source: SourcePlatform}
	}
	until := f.nextPlatform
	if f.isBehind() {
		until = min(until, f.nextPeer)
	}
	return Action{Source: SourceNone, Until: until}
}

// isBehind reports whether a peer may have a newer configuration.
func (f *Follower) isBehind() bool {
	return f.localRevision == 0 || f.observedRevision > f.localRevision
}

// PeerDone records the end of a request to a peer. A revision obtained from it is set with
// SetLocalRevision.
func (f *Follower) PeerDone(now time.Duration) {
	delay := exponentialBackoff(f.options.PeerRetry, f.peerAttempts, f.options.PeerRetryMax)
	f.peerAttempts++
	f.nextPeer = now + f.jitter(delay)
}

// PlatformDone records the end of a platform call. After failures the delay grows exponentially.
func (f *Follower) PlatformDone(now time.Duration, succeeded bool) {
	if succeeded {
		f.failures = 0
		f.nextPlatform = now + f.jitter(f.platformInterval())
		return
	}
	f.failures++
	delay := exponentialBackoff(f.options.PollInterval, f.failures, f.options.BackoffMax)
	f.nextPlatform = now + f.jitter(max(delay, f.platformInterval()))
}

// platformInterval returns the mean time between two platform calls of this node.
func (f *Follower) platformInterval() time.Duration {
	shared := float64(f.nodeCount) / f.options.FleetCallsPerSecond * float64(time.Second)
	return max(f.options.PollInterval, time.Duration(shared))
}

// jitter shortens or lengthens a duration by a random part of up to pollJitter.
func (f *Follower) jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (1 - pollJitter + 2*pollJitter*f.random.Float64()))
}

// residualInterval draws the remaining part of a jittered interval seen at a random time: first an
// interval, with a probability proportional to its length, then a uniform part of it. The calls of
// nodes that start together then occur at a constant rate (Cox, Renewal Theory, 1962, chapter 5).
func (f *Follower) residualInterval(mean time.Duration) time.Duration {
	const shortest, longest = 1 - pollJitter, 1 + pollJitter
	square := shortest*shortest + f.random.Float64()*(longest*longest-shortest*shortest)
	return time.Duration(float64(mean) * math.Sqrt(square) * f.random.Float64())
}

// maxDoublings keeps the shift in exponentialBackoff from overflowing.
const maxDoublings = 16

func exponentialBackoff(base time.Duration, doublings int, bound time.Duration) time.Duration {
	return min(base<<min(doublings, maxDoublings), bound)
}
