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

	nodes        int
	known, heard fleet.Revision

	nextPeer     time.Duration
	nextPlatform time.Duration
	peerTries    int
	failures     int
}

// NewFollower returns a follower that starts at a time in a fleet of nodes, as
// far as the number is known. The first platform call comes after a random
// part of the interval: a herd of restarted nodes asks its peers meanwhile.
func NewFollower(options FollowerOptions, random *rand.Rand, now time.Duration, nodes int) *Follower {
	options.setDefaults()
	follower := &Follower{options: options, random: random, nodes: max(nodes, 1), nextPeer: now}
	follower.nextPlatform = now
	if nodes > 1 {
		follower.nextPlatform += follower.residual(follower.interval())
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

// SetNodes tells how many nodes poll the platform, this one included. The time
// to the next platform call stretches or shrinks with the interval, unless it is
// a pause after failures: a restarted node that took its fleet for smaller than
// it is doesn't keep to the earlier time.
func (f *Follower) SetNodes(now time.Duration, nodes int) {
	before := f.interval()
	f.nodes = max(nodes, 1)
	left := f.nextPlatform - now
	if f.failures > 0 || left <= 0 {
		return
	}
	scale := float64(f.interval()) / float64(before)
	f.nextPlatform = now + time.Duration(float64(left)*scale)
}

// Hear notes a revision that another node's message named.
func (f *Follower) Hear(now time.Duration, revision fleet.Revision) {
	if revision > f.heard && revision > f.known {
		f.peerTries = 0
		f.nextPeer = now
	}
	f.heard = max(f.heard, revision)
}

// Learn notes the revision that the node holds.
func (f *Follower) Learn(revision fleet.Revision) {
	if revision > f.known {
		f.known = revision
		f.peerTries = 0
	}
}

// Next returns what to do at a time. After asking a source, report the end
// with PeerDone or PlatformDone before the next call.
func (f *Follower) Next(now time.Duration) Action {
	if f.behind() && now >= f.nextPeer {
		return Action{Source: SourcePeer}
	}
	if now >= f.nextPlatform {
		return Action{Source: SourcePlatform}
	}
	until := f.nextPlatform
	if f.behind() {
		until = min(until, f.nextPeer)
	}
	return Action{Source: SourceNone, Until: until}
}

// behind tells whether a peer may have something newer.
func (f *Follower) behind() bool { return f.known == 0 || f.heard > f.known }

// PeerDone notes that a peer was asked; Learn tells what came of it.
func (f *Follower) PeerDone(now time.Duration) {
	pause := doubled(f.options.PeerRetry, f.peerTries, f.options.PeerRetryMax)
	f.peerTries++
	f.nextPeer = now + f.jitter(pause)
}

// PlatformDone notes the end of a platform call. A failed one is followed by
// a pause that doubles with each failure.
func (f *Follower) PlatformDone(now time.Duration, succeeded bool) {
	if succeeded {
		f.failures = 0
		f.nextPlatform = now + f.jitter(f.interval())
		return
	}
	f.failures++
	pause := doubled(f.options.PollInterval, f.failures, f.options.BackoffMax)
	f.nextPlatform = now + f.jitter(max(pause, f.interval()))
}

// interval is the mean time between two platform calls of this node.
func (f *Follower) interval() time.Duration {
	shared := float64(f.nodes) / f.options.FleetCallsPerSecond * float64(time.Second)
	return max(f.options.PollInterval, time.Duration(shared))
}

// jitter moves a pause by up to pollJitter of it either way.
func (f *Follower) jitter(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (1 - pollJitter + 2*pollJitter*f.random.Float64()))
}

// residual draws the time that is left of a jittered pause at a moment in the
// long run: first the pause that covers the moment, which is the likelier the
// longer it is, then the part of it that is still to come. Renewals that begin
// so occur at a constant rate (Cox, Renewal Theory, 1962, chapter 5); a plain
// random part of the interval would bunch the second calls of a herd.
func (f *Follower) residual(pause time.Duration) time.Duration {
	const shortest, longest = 1 - pollJitter, 1 + pollJitter
	square := shortest*shortest + f.random.Float64()*(longest*longest-shortest*shortest)
	return time.Duration(float64(pause) * math.Sqrt(square) * f.random.Float64())
}

// maxDoublings keeps the shift in doubled from overflowing.
const maxDoublings = 16

func doubled(pause time.Duration, times int, bound time.Duration) time.Duration {
	return min(pause<<min(times, maxDoublings), bound)
}
