package config

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// FollowerOptions configures a Follower. Zero values mean the defaults.
type FollowerOptions struct {
	// PollInterval is the mean time between two platform calls of a node in a
	// small fleet.
	PollInterval time.Duration
	// FleetCallsPerSecond bounds the platform calls of all nodes together: the
	// interval grows with the number of nodes to keep to it.
	FleetCallsPerSecond float64
	// PeerRetry is the first pause after a peer had nothing new or failed; it
	// doubles up to PeerRetryMax.
	PeerRetry    time.Duration
	PeerRetryMax time.Duration
	// BackoffMax bounds the pause after failed platform calls.
	BackoffMax time.Duration
}

// Defaults of FollowerOptions.
const (
	DefaultPollInterval        = time.Second
	DefaultFleetCallsPerSecond = 20
	DefaultPeerRetry           = 100 * time.Millisecond
	DefaultPeerRetryMax        = 5 * time.Second
	DefaultFollowerBackoffMax  = 60 * time.Second
)

// pollJitter is the part of an interval by which a poll moves either way, so
// that nodes that started together don't stay together.
const pollJitter = 0.5

// Source tells whom to ask for a configuration.
type Source int

// Sources of a configuration.
const (
	SourceNone Source = iota
	SourcePeer
	SourcePlatform
)

// Action is what a Follower wants done: ask a source now or, with SourceNone,
// nothing before Until.
type Action struct {
	Source Source
	Until  time.Duration
}

// Follower decides when a node asks its peers and when the platform for a
// newer configuration. Peers are asked as soon as a higher revision was heard
// of, and at the start. The platform is asked at jittered intervals that grow
// with the fleet; that one node sees a new revision there is enough, since it
// spreads among the nodes. It has no clock and no I/O: times are elapsed times
// of the caller's clock. It isn't safe for concurrent use.
type Follower struct {
	options FollowerOptions
	random  *rand.Rand

	nodeCount                       int
	localRevision, observedRevision fleet.Revision

	nextPeer     time.Duration
	nextPlatform time.Duration
	peerAttempts int
	failures     int
}

// NewFollower returns a follower that starts at a time in a fleet of nodes, as
// far as the number is known. The first platform call comes after a random
// part of the interval: a herd of restarted nodes asks its peers meanwhile.
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

// SetNodeCount tells how many nodes poll the platform, this one included. The time
// to the next platform call stretches or shrinks with the interval, unless it is
// a pause after failures: a restarted node that took its fleet for smaller than
// it is doesn't keep to the earlier time.
func (f *Follower) SetNodeCount(now time.Duration, nodes int) {
	before := f.platformInterval()
	f.nodeCount = max(nodes, 1)
	left := f.nextPlatform - now
	if f.failures > 0 || left <= 0 {
		return
	}
	scale := float64(f.platformInterval()) / float64(before)
	f.nextPlatform = now + time.Duration(float64(left)*scale)
}

// ObserveRevision notes a revision that another node's message named.
func (f *Follower) ObserveRevision(now time.Duration, revision fleet.Revision) {
	if revision > f.observedRevision && revision > f.localRevision {
		f.peerAttempts = 0
		f.nextPeer = now
	}
	f.observedRevision = max(f.observedRevision, revision)
}

// SetLocalRevision notes the revision that the node holds.
func (f *Follower) SetLocalRevision(revision fleet.Revision) {
	if revision > f.localRevision {
		f.localRevision = revision
		f.peerAttempts = 0
	}
}

// Next returns what to do at a time. After asking a source, report the end
// with PeerDone or PlatformDone before the next call.
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

// isBehind tells whether a peer may have something newer.
func (f *Follower) isBehind() bool {
	return f.localRevision == 0 || f.observedRevision > f.localRevision
}

// PeerDone notes that a peer was asked; Learn tells what came of it.
func (f *Follower) PeerDone(now time.Duration) {
	pause := exponentialBackoff(f.options.PeerRetry, f.peerAttempts, f.options.PeerRetryMax)
	f.peerAttempts++
	f.nextPeer = now + f.jitter(pause)
}

// PlatformDone notes the end of a platform call. A failed one is followed by
// a pause that doubles with each failure.
func (f *Follower) PlatformDone(now time.Duration, succeeded bool) {
	if succeeded {
		f.failures = 0
		f.nextPlatform = now + f.jitter(f.platformInterval())
		return
	}
	f.failures++
	pause := exponentialBackoff(f.options.PollInterval, f.failures, f.options.BackoffMax)
	f.nextPlatform = now + f.jitter(max(pause, f.platformInterval()))
}

// platformInterval is the mean time between two platform calls of this node.
func (f *Follower) platformInterval() time.Duration {
	shared := float64(f.nodeCount) / f.options.FleetCallsPerSecond * float64(time.Second)
	return max(f.options.PollInterval, time.Duration(shared))
}

// jitter moves a pause by up to pollJitter of it either way.
func (f *Follower) jitter(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (1 - pollJitter + 2*pollJitter*f.random.Float64()))
}

// residualInterval draws the time that is left of a jittered pause at a moment in the
// long run: first the pause that covers the moment, which is the likelier the
// longer it is, then the part of it that is still to come. Renewals that begin
// so occur at a constant rate (Cox, Renewal Theory, 1962, chapter 5); a plain
// random part of the interval would bunch the second calls of a herd.
func (f *Follower) residualInterval(pause time.Duration) time.Duration {
	const shortest, longest = 1 - pollJitter, 1 + pollJitter
	square := shortest*shortest + f.random.Float64()*(longest*longest-shortest*shortest)
	return time.Duration(float64(pause) * math.Sqrt(square) * f.random.Float64())
}

// maxDoublings keeps the shift in doubled from overflowing.
const maxDoublings = 16

func exponentialBackoff(pause time.Duration, times int, bound time.Duration) time.Duration {
	return min(pause<<min(times, maxDoublings), bound)
}
