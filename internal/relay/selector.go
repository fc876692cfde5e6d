// Package relay decides from whom a node learns what changes in the store: from
// the store itself, or from another node that reads it. It is a state machine
// without I/O and clock.
//
// Invariants. A node that is to read by its role always reads, and asks peers
// only while the store gives it no proof. A node that is
// asked by others reads, so that a chain of nodes always ends at the store. A
// node that has restarted reads until it knows everything once, whoever told, or
// until its role is settled: after a restart of all nodes the peers know no more than
// it does. At the first start of the whole fleet there are no callers yet, so nodes
// wait for their roles instead. Until then a node asks peers only if the store
// doesn't answer it soon: while all nodes learn of each other they would ask many
// different ones, which would all read. A node
// that hears nothing from any peer reads. A node whose peers answer but have old
// proofs moves on among the first MaxSources of them, and tries the store itself
// now and then: the more nodes there are, the less often each.
package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Options sets up a Selector. Zero fields take the defaults.
type Options struct {
	Self fleet.NodeID
	// Random spreads the nodes' own tries of the store; required.
	Random *rand.Rand
	// StaleAfter is the age of a proof from which on a peer counts as out of the
	// store's reach.
	StaleAfter time.Duration
	// PeerTimeout is the time without any answer of a peer after which the node
	// reads itself.
	PeerTimeout time.Duration
	// WatchLinger is how long a node reads after it was last asked.
	WatchLinger time.Duration
	// FailbackAfter is how long a node stays with a source that isn't its first.
	FailbackAfter time.Duration
	// ProbeInterval is the mean time between a node's own tries of the store while
	// its peers answer with old proofs; TryFor is how long a try lasts. In a large
	// fleet the interval of a node that callers aren't sent to grows, so that the
	// tries of all such nodes together are TrySpacing apart in the mean.
	ProbeInterval time.Duration
	ProbeDuration time.Duration
	ProbeSpacing  time.Duration
	// StoreGracePeriod is how long a node that has just started leaves the store to answer
	// before it asks peers as well.
	StoreGracePeriod time.Duration
	// AwaitRole has the node wait for its role before it reads, instead of reading
	// at once.
	AwaitRole bool
	// ProofGracePeriod is how long a node that has awaited its role stays with a source that
	// answers without a proof: that one has just begun to read. If all moved on, each would ask
	// many for everything, and these would all read the store.
	ProofGracePeriod time.Duration
	// IsolatedAfter is the time without any answer of a peer after which the node is on its
	// own: it needs everything that the store holds.
	IsolatedAfter time.Duration
	// MaxSources bounds the peers that are asked in turn.
	MaxSources int
}

// Defaults of Options.
const (
	DefaultStaleAfter    = 1300 * time.Millisecond
	DefaultPeerTimeout   = 1200 * time.Millisecond
	DefaultWatchLinger   = 3 * time.Second
	DefaultFailbackAfter = 4 * time.Second
	DefaultProbeInterval = 4 * time.Second
	DefaultProbeDuration = 400 * time.Millisecond
	DefaultProbeSpacing  = 200 * time.Millisecond
	// DefaultStoreGracePeriod is many times what the store takes for an answer when
	// nothing ails it.
	DefaultStoreGracePeriod = 150 * time.Millisecond
	DefaultMaxSources       = 9
	// DefaultIsolatedAfter is some turns over all sources: slow peers are many, and all of a zone
	// that read everything at once make the store slow too.
	DefaultIsolatedAfter = 5 * time.Second
	// DefaultProofGracePeriod is some times what reading 3,000 rows over 12 ms takes.
	DefaultProofGracePeriod = time.Second
)

// Selector decides for one node. It isn't safe for concurrent use.
type Selector struct {
	options Options
	// reader is set while the node's role is to read.
	reader  bool
	sources []fleet.NodeID
	// sourceIndex is that of the source in use, chosen at chosenAt.
	sourceIndex    int
	sourceChosenAt time.Duration

	started    time.Duration
	answeredAt time.Duration
	freshAt    time.Duration
	watchedAt  time.Duration
	probeAt    time.Duration
	answered   bool
	fresh      bool
	watched    bool
	// synced is set once the node has known everything, settled once it knows its
	// role.
	synced          bool
	roleConfirmed   bool
	roleConfirmedAt time.Duration
	// storeAnswered is set while the node's last call to the store was answered.
	storeAnswered bool
	// nonServingNodes is the number of nodes that callers aren't sent to if this is one of
	// them, else 0.
	nonServingNodes int
	// ownProvenAt is the time of the node's own newest proof.
	ownProvenAt time.Duration
	ownProven   bool
}

// New returns a selector of a node that starts at now.
func New(now time.Duration, options Options) *Selector {
	for _, bound := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{
		{&options.StaleAfter, DefaultStaleAfter}, {&options.PeerTimeout, DefaultPeerTimeout},
		{&options.WatchLinger, DefaultWatchLinger}, {&options.FailbackAfter, DefaultFailbackAfter},
		{&options.ProbeInterval, DefaultProbeInterval}, {&options.ProbeDuration, DefaultProbeDuration},
		{&options.ProbeSpacing, DefaultProbeSpacing}, {&options.StoreGracePeriod, DefaultStoreGracePeriod},
		{&options.ProofGracePeriod, DefaultProofGracePeriod}, {&options.IsolatedAfter, DefaultIsolatedAfter},
	} {
		if *bound.field <= 0 {
			*bound.field = bound.fallback
		}
	}
	if options.MaxSources <= 0 {
		options.MaxSources = DefaultMaxSources
	}
	selector := &Selector{options: options, started: now}
	selector.scheduleProbe(now)
	return selector
}

// SetRole says whether the node's role is to read, and whom it asks otherwise,
// in order.
func (s *Selector) SetRole(now time.Duration, reader bool, sources []fleet.NodeID) {
	s.reader = reader
	sources = slices.DeleteFunc(slices.Clone(sources), func(node fleet.NodeID) bool { return node == s.options.Self })
	sources = sources[:min(len(sources), s.options.MaxSources)]
	if slices.Equal(sources, s.sources) {
		return
	}
	current, asked := s.Source()
	s.sources = sources
	s.sourceIndex = 0
	if kept := slices.Index(sources, current); asked && kept > 0 && now < s.sourceChosenAt+s.options.FailbackAfter {
		s.sourceIndex = kept
	}
}

// ConfirmRole says that the node knows its role: from now on SetRole's word counts.
func (s *Selector) ConfirmRole(now time.Duration) {
	if !s.roleConfirmed {
		s.roleConfirmed, s.roleConfirmedAt = true, now
	}
}

// AwaitRole has a node that doesn't know its role yet wait for it: there is so much to read
// that not all can at once.
func (s *Selector) AwaitRole() { s.options.AwaitRole = true }

// SetNonServingNodes says how many nodes callers aren't sent to, this one among them; 0 if
// callers are sent to this one.
func (s *Selector) SetNonServingNodes(count int) { s.nonServingNodes = count }

// ObserveStoreCall takes in whether the node's last call to the store was answered.
func (s *Selector) ObserveStoreCall(answered bool) { s.storeAnswered = answered }

// Source returns the peer to ask now; false if there is none.
func (s *Selector) Source() (fleet.NodeID, bool) {
	if s.sourceIndex >= len(s.sources) {
		return "", false
	}
	return s.sources[s.sourceIndex], true
}

// ShouldAskPeer tells whether the node is to ask a peer at now. A node whose role is to
// read asks only while it has no fresh proof of its own.
func (s *Selector) ShouldAskPeer(now time.Duration) bool {
	if _, found := s.Source(); !found {
		return false
	}
	if !s.roleConfirmed && (s.options.AwaitRole || s.storeAnswered || now < s.started+s.options.StoreGracePeriod) {
		return false
	}
	return !s.reader || !s.ownProven || now >= s.ownProvenAt+s.options.StaleAfter
}

// ObserveOwnProof takes in that the node itself has proof by the store, of an age.
func (s *Selector) ObserveOwnProof(now, age time.Duration) {
	s.ownProven, s.ownProvenAt = true, max(s.ownProvenAt, now-age)
}

// HasProofWithin tells whether the node itself has a proof by the store that isn't older
// than within.
func (s *Selector) HasProofWithin(now, within time.Duration) bool {
	return s.ownProven && now <= s.ownProvenAt+within
}

// MarkSynced takes in that the node knows everything, by whoever told.
func (s *Selector) MarkSynced() { s.synced = true }

// ShouldReadStore tells whether the node is to read the store at now.
func (s *Selector) ShouldReadStore(now time.Duration) bool {
	switch {
	case s.reader:
		return true
	case !s.synced && !s.options.AwaitRole && (!s.roleConfirmed || !s.answered):
		return true
	case !s.roleConfirmed:
		return false
	case s.watched && now < s.watchedAt+s.options.WatchLinger:
		return true
	case now >= s.lastAnswer()+s.options.PeerTimeout:
		return true
	case now < s.lastFresh()+s.options.StaleAfter+s.options.PeerTimeout:
		return false
	}
	if now >= s.probeAt+s.options.ProbeDuration {
		s.scheduleProbe(now)
	}
	return now >= s.probeAt
}

// NeedsFullState tells whether the node, if it reads, needs everything that the store holds, since
// others ask it or nobody answers it. Otherwise it reads for its proof and for changes.
func (s *Selector) NeedsFullState(now time.Duration) bool {
	asked := s.watched && now < s.watchedAt+s.options.WatchLinger
	return asked || now >= s.lastAnswer()+s.options.IsolatedAfter
}

func (s *Selector) lastAnswer() time.Duration {
	if s.answered {
		return s.answeredAt
	}
	return max(s.started, s.roleConfirmedAt)
}

func (s *Selector) lastFresh() time.Duration {
	if s.fresh {
		return s.freshAt
	}
	return s.started
}

// scheduleProbe sets when the node next tries the store by itself.
func (s *Selector) scheduleProbe(now time.Duration) {
	mean := int64(max(s.options.ProbeInterval, time.Duration(s.nonServingNodes)*s.options.ProbeSpacing))
	s.probeAt = now + time.Duration(mean/2+s.options.Random.Int64N(mean+1))
}

// ObserveWatch notes that another node has asked this one.
func (s *Selector) ObserveWatch(now time.Duration) { s.watched, s.watchedAt = true, now }

// ObserveAnswer takes in a source's answer: the age of its proof, and whether it has
// one. It tells whether the node moved on to another source.
func (s *Selector) ObserveAnswer(now time.Duration, from fleet.NodeID, age time.Duration, proven bool) bool {
	s.answered, s.answeredAt = true, now
	if proven && age < s.options.StaleAfter {
		s.fresh, s.freshAt = true, now
		return s.failBack(now)
	}
	if s.options.AwaitRole && !s.fresh && now < s.roleConfirmedAt+s.options.ProofGracePeriod {
		return false
	}
	return s.nextSource(now, from)
}

// ObserveFailure takes in that a source gave no answer. It tells whether the node moved
// on to another one.
func (s *Selector) ObserveFailure(now time.Duration, from fleet.NodeID) bool {
	return s.nextSource(now, from)
}

// nextSource takes the next source after one that was of no use.
func (s *Selector) nextSource(now time.Duration, from fleet.NodeID) bool {
	current, found := s.Source()
	if !found || current != from || len(s.sources) < 2 {
		return false
	}
	s.sourceIndex = (s.sourceIndex + 1) % len(s.sources)
	s.sourceChosenAt = now
	return true
}

// failBack goes back to the first source after a while, so that readers
// by chance stop reading.
func (s *Selector) failBack(now time.Duration) bool {
	if s.sourceIndex == 0 || now < s.sourceChosenAt+s.options.FailbackAfter {
		return false
	}
	s.sourceIndex, s.sourceChosenAt = 0, now
	return true
}
