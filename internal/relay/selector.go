// Package relay decides where a node gets changes of the store from: from the store itself, or from
// another node that reads it. A proof is the store's confirmation that a node's state was current at
// some time. The package is a state machine without I/O and clock.
//
// The rules are:
//
//   - A node whose role is to read always reads the store. It asks peers only while it has no fresh
//     proof from the store.
//   - A node that other nodes ask reads the store, so every chain of nodes ends at the store.
//   - A restarted node reads until it has the full state once, from any source, or until its role is
//     confirmed: after a restart of all nodes, peers have no more state than it does. Until then it
//     asks peers only if the store doesn't answer soon. While the nodes discover each other, they
//     would ask many different peers, which would then all read.
//   - At the first start of the whole fleet there are no callers yet, and nodes wait for their roles
//     instead.
//   - A node that gets no answer from any peer reads.
//   - A node whose peers answer with stale proofs rotates through its first MaxSources peers and
//     occasionally probes the store itself. The more nodes there are, the less often each probes.
package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Options configures a Selector. Zero fields take the defaults.
type Options struct {
	Self fleet.NodeID
	// Random spreads the nodes' probes of the store; required.
	Random *rand.Rand
	// StaleAfter is the age from which on a proof is stale, so that its peer counts as cut off from
	// the store.
	StaleAfter time.Duration
	// PeerTimeout is the time without an answer of any peer after which the node reads the store.
	PeerTimeout time.Duration
	// WatchLinger is how long a node reads after it was last asked.
	WatchLinger time.Duration
	// FailbackAfter is how long a node stays with a source that isn't its first.
	FailbackAfter time.Duration
	// ProbeInterval is the mean time between a node's probes of the store while its peers answer
	// with stale proofs; ProbeDuration is how long a probe lasts. At nodes that don't serve callers
	// the interval grows with their number, so that their probes together are ProbeSpacing apart on
	// average.
	ProbeInterval time.Duration
	ProbeDuration time.Duration
	ProbeSpacing  time.Duration
	// StoreGracePeriod is how long a node that has just started waits for the store before it asks
	// peers as well.
	StoreGracePeriod time.Duration
	// AwaitRole makes the node wait for its role before it reads.
	AwaitRole bool
	// ProofGracePeriod is how long a node that has awaited its role stays with a source that answers
	// without a proof, since that source may have just begun to read. If every node moved on, each
	// would ask many peers for the full state, and all of these would read the store.
	ProofGracePeriod time.Duration
	// IsolatedAfter is the time without an answer of any peer after which the node needs the full
	// state from the store.
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
	// DefaultStoreGracePeriod is many times the store's usual response time.
	DefaultStoreGracePeriod = 150 * time.Millisecond
	DefaultMaxSources       = 9
	// DefaultIsolatedAfter allows for several rounds over all sources. A short interruption that
	// affects a whole zone must not make all its nodes read the full state at once.
	DefaultIsolatedAfter = 5 * time.Second
	// DefaultProofGracePeriod is several times what a node takes to read the full state.
	DefaultProofGracePeriod = time.Second
)

// Selector decides for one node what it reads and whom it asks. It isn't safe for concurrent use.
type Selector struct {
	options Options
	// reader is set while the node's role is to read.
	reader  bool
	sources []fleet.NodeID
	// sourceIndex is the index of the current source, which was chosen at sourceChosenAt.
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
	// synced is set once the node has had the full state, roleConfirmed once its role is confirmed.
	synced          bool
	roleConfirmed   bool
	roleConfirmedAt time.Duration
	// storeAnswered is set while the node's last call to the store was answered.
	storeAnswered bool
	// nonServingNodes is the number of nodes that don't serve callers if this is one of them, else 0.
	nonServingNodes int
	// ownProvenAt is the time of the newest proof that the node got from the store itself.
	ownProvenAt time.Duration
	ownProven   bool
}

// New returns a selector of a node that starts at now.
func New(now time.Duration, options Options) *Selector {
	for _, option := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{
		{&options.StaleAfter, DefaultStaleAfter}, {&options.PeerTimeout, DefaultPeerTimeout},
		{&options.WatchLinger, DefaultWatchLinger}, {&options.FailbackAfter, DefaultFailbackAfter},
		{&options.ProbeInterval, DefaultProbeInterval}, {&options.ProbeDuration, DefaultProbeDuration},
		{&options.ProbeSpacing, DefaultProbeSpacing}, {&options.StoreGracePeriod, DefaultStoreGracePeriod},
		{&options.ProofGracePeriod, DefaultProofGracePeriod}, {&options.IsolatedAfter, DefaultIsolatedAfter},
	} {
		if *option.field <= 0 {
			*option.field = option.fallback
		}
	}
	if options.MaxSources <= 0 {
		options.MaxSources = DefaultMaxSources
	}
	selector := &Selector{options: options, started: now}
	selector.scheduleProbe(now)
	return selector
}

// SetRole sets whether the node's role is to read the store, and the peers that it asks otherwise, in
// order of preference.
func (s *Selector) SetRole(now time.Duration, reader bool, sources []fleet.NodeID) {
	s.reader = reader
	sources = slices.DeleteFunc(slices.Clone(sources), func(node fleet.NodeID) bool { return node == s.options.Self })
	sources = sources[:min(len(sources), s.options.MaxSources)]
	if slices.Equal(sources, s.sources) {
		return
	}
	current, found := s.Source()
	s.sources = sources
	s.sourceIndex = 0
	if kept := slices.Index(sources, current); found && kept > 0 && now < s.sourceChosenAt+s.options.FailbackAfter {
		s.sourceIndex = kept
	}
}

// ConfirmRole records that the role set by SetRole is definite. Only the first call counts.
func (s *Selector) ConfirmRole(now time.Duration) {
	if !s.roleConfirmed {
		s.roleConfirmed, s.roleConfirmedAt = true, now
	}
}

// AwaitRole makes a node without a confirmed role wait for it, since the full state is too large for
// all nodes to read at once.
func (s *Selector) AwaitRole() { s.options.AwaitRole = true }

// SetNonServingNodes sets the number of nodes that don't serve callers, including this one; 0 if
// this one serves callers.
func (s *Selector) SetNonServingNodes(count int) { s.nonServingNodes = count }

// ObserveStoreCall records whether the store answered the node's last call.
func (s *Selector) ObserveStoreCall(answered bool) { s.storeAnswered = answered }

// Source returns the current source among the peers; false if there is none.
func (s *Selector) Source() (fleet.NodeID, bool) {
	if s.sourceIndex >= len(s.sources) {
		return "", false
	}
	return s.sources[s.sourceIndex], true
}

// ShouldAskPeer reports whether the node is to ask a peer at now. A node whose role is to read asks
// only while it has no fresh proof of its own.
func (s *Selector) ShouldAskPeer(now time.Duration) bool {
	if _, found := s.Source(); !found {
		return false
	}
	if !s.roleConfirmed && (s.options.AwaitRole || s.storeAnswered || now < s.started+s.options.StoreGracePeriod) {
		return false
	}
	return !s.reader || !s.ownProven || now >= s.ownProvenAt+s.options.StaleAfter
}

// ObserveOwnProof records a proof of the given age that the node got from the store itself.
func (s *Selector) ObserveOwnProof(now, age time.Duration) {
	s.ownProven, s.ownProvenAt = true, max(s.ownProvenAt, now-age)
}

// HasProofWithin reports whether the node has a proof from the store itself that is at most maxAge
// old.
func (s *Selector) HasProofWithin(now, maxAge time.Duration) bool {
	return s.ownProven && now <= s.ownProvenAt+maxAge
}

// MarkSynced records that the node has the full state, from any source.
func (s *Selector) MarkSynced() { s.synced = true }

// ShouldReadStore reports whether the node is to read the store at now.
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

// NeedsFullState reports whether the node, if it reads, needs all that the store holds, because
// other nodes ask it or no peer answers it. Otherwise it reads for a proof and for changes only.
func (s *Selector) NeedsFullState(now time.Duration) bool {
	watched := s.watched && now < s.watchedAt+s.options.WatchLinger
	return watched || now >= s.lastAnswer()+s.options.IsolatedAfter
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

// scheduleProbe sets when the node next probes the store.
func (s *Selector) scheduleProbe(now time.Duration) {
	mean := int64(max(s.options.ProbeInterval, time.Duration(s.nonServingNodes)*s.options.ProbeSpacing))
	s.probeAt = now + time.Duration(mean/2+s.options.Random.Int64N(mean+1))
}

// ObserveWatch records that another node has asked this one.
func (s *Selector) ObserveWatch(now time.Duration) { s.watched, s.watchedAt = true, now }

// ObserveAnswer records a source's answer, with the age of its proof; proven is false if it has
// none. It reports whether the node switched to another source.
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

// ObserveFailure records that a source didn't answer. It reports whether the node switched to
// another source.
func (s *Selector) ObserveFailure(now time.Duration, from fleet.NodeID) bool {
	return s.nextSource(now, from)
}

// nextSource switches to the next source if from is the current one. It reports whether it did.
func (s *Selector) nextSource(now time.Duration, from fleet.NodeID) bool {
	current, found := s.Source()
	if !found || current != from || len(s.sources) < 2 {
		return false
	}
	s.sourceIndex = (s.sourceIndex + 1) % len(s.sources)
	s.sourceChosenAt = now
	return true
}

// failBack returns to the first source after FailbackAfter, so that nodes which read only because
// they were asked stop reading. It reports whether it did.
func (s *Selector) failBack(now time.Duration) bool {
	if s.sourceIndex == 0 || now < s.sourceChosenAt+s.options.FailbackAfter {
		return false
	}
	s.sourceIndex, s.sourceChosenAt = 0, now
	return true
}
