package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// DisseminationOptions configures a Dissemination. Zero counts and durations are replaced by the
// defaults.
type DisseminationOptions struct {
	// Random is the source of all random choices.
	Random *rand.Rand
	// Fanout is the number of members that each of the two pushes of a new change is sent to.
	Fanout int
	// RepushDelay is the time from the first push of a change to the second.
	RepushDelay time.Duration
	// Retransmits is how often a new change is piggybacked besides the pushes.
	Retransmits int
	// PullInterval is the longest delay between two pulls. Each delay is shortened by a random part
	// of up to a quarter.
	PullInterval time.Duration
	// MaxPullInterval replaces PullInterval after PersistentPulls consecutive pulls without
	// progress.
	MaxPullInterval time.Duration
	// PersistentPulls is the number of consecutive pulls without progress at PullInterval.
	PersistentPulls int
	// MaxPatchBytes bounds the total size of the patches in one message.
	MaxPatchBytes int
}

// Defaults of DisseminationOptions.
const (
	DefaultFanout          = 5
	DefaultRepushDelay     = 700 * time.Millisecond
	DefaultRetransmits     = 4
	DefaultPullInterval    = 300 * time.Millisecond
	DefaultMaxPullInterval = 900 * time.Millisecond
	DefaultPersistentPulls = 16
	DefaultMaxPatchBytes   = 8 << 10
)

// Dissemination spreads configuration changes epidemically (Demers et al., "Epidemic Algorithms for
// Replicated Database Maintenance", PODC 1987). A new change is pushed to a few random members
// immediately and again after a delay, and piggybacked on other messages meanwhile. A node that
// observes a higher revision than its own pulls the missing changes.
//
// It performs no I/O. The caller interprets the changes and decides whether to apply them. It is
// not safe for concurrent use.
type Dissemination struct {
	options  DisseminationOptions
	held     fleet.Revision
	fresh    []freshChange
	sources  pullSources
	nextPull time.Duration
	// pullsWithoutProgress counts consecutive pulls after which the held revision was the same.
	pullsWithoutProgress int
	// secondPushPending is set while a second push is due at secondPushAt.
	secondPushPending bool
	secondPushAt      time.Duration
}

// freshChange is a change that is still being piggybacked.
type freshChange struct {
	Change
	transmissions int
}

// Pull is a request to the member at an address for the changes after a revision.
type Pull struct {
	From  fleet.Address
	After fleet.Revision
}

// NewDissemination returns a dissemination that holds no revision.
func NewDissemination(options DisseminationOptions) *Dissemination {
	setDefault(&options.Fanout, DefaultFanout)
	setDefault(&options.RepushDelay, DefaultRepushDelay)
	setDefault(&options.Retransmits, DefaultRetransmits)
	setDefault(&options.PullInterval, DefaultPullInterval)
	setDefault(&options.MaxPullInterval, DefaultMaxPullInterval)
	setDefault(&options.MaxPatchBytes, DefaultMaxPatchBytes)
	setDefault(&options.PersistentPulls, DefaultPersistentPulls)
	return &Dissemination{options: options}
}

// Held returns the highest revision that this node holds.
func (d *Dissemination) Held() fleet.Revision { return d.held }

// RecordHeld records that this node holds a revision, regardless of how it was received. A revision
// that is not higher than the held one is ignored.
func (d *Dissemination) RecordHeld(revision fleet.Revision) {
	if revision > d.held {
		d.held = revision
		d.sources.drop(revision)
		d.pullsWithoutProgress = 0
	}
}

// Publish records changes that this node has just applied and returns the messages that push them
// to random members. The changes must be consecutive; those already held are skipped.
func (d *Dissemination) Publish(now time.Duration, changes []Change, view *View) []Message {
	var pushed []Change
	for _, change := range changes {
		if change.Revision <= d.held {
			continue
		}
		d.RecordHeld(change.Revision)
		d.fresh = append(d.fresh, freshChange{Change: change})
		pushed = append(pushed, change)
	}
	if len(pushed) == 0 {
		return nil
	}
	d.secondPushPending = true
	d.secondPushAt = now + d.options.RepushDelay
	return d.push(view)
}

// Tick returns the second push of recent changes once it is due.
func (d *Dissemination) Tick(now time.Duration, view *View) []Message {
	if !d.secondPushPending || now < d.secondPushAt {
		return nil
	}
	d.secondPushPending = false
	return d.push(view)
}

// push returns messages with the latest changes to random members.
func (d *Dissemination) push(view *View) []Message {
	changes := d.latestChanges()
	var messages []Message
	for _, peer := range d.pickRandom(view) {
		messages = append(messages, Message{
			Kind: Ack, To: peer.Address, Sender: view.Self, Target: view.Self.Node,
			KnownRevision: d.held, Changes: changes,
		})
	}
	return messages
}

// latestChanges returns the newest recent changes within MaxPatchBytes, oldest first. Members that
// receive a higher revision without its change pull it.
func (d *Dissemination) latestChanges() []Change {
	first, size := len(d.fresh), 0
	for first > 0 {
		size += len(d.fresh[first-1].Patch)
		if size > d.options.MaxPatchBytes {
			break
		}
		first--
	}
	changes := make([]Change, 0, len(d.fresh)-first)
	for _, change := range d.fresh[first:] {
		changes = append(changes, change.Change)
	}
	return changes
}

// pickRandom returns random live members other than this node.
func (d *Dissemination) pickRandom(view *View) []Member {
	peers := make([]Member, 0, len(view.Members()))
	for _, member := range view.Members() {
		if member.Node != view.Self.Node {
			peers = append(peers, member)
		}
	}
	count := min(d.options.Fanout, len(peers))
	for i := range count {
		other := i + d.options.Random.IntN(len(peers)-i)
		peers[i], peers[other] = peers[other], peers[i]
	}
	return peers[:count]
}

// Piggyback adds the held revision and recent changes to a message about to be sent. It does not
// replace changes that the message already carries.
func (d *Dissemination) Piggyback(message *Message) {
	message.KnownRevision = d.held
	if len(message.Changes) > 0 || len(d.fresh) == 0 {
		return
	}
	message.Changes = d.latestChanges()
	for i := range d.fresh {
		d.fresh[i].transmissions++
	}
	d.fresh = slices.DeleteFunc(d.fresh, func(change freshChange) bool {
		return change.transmissions >= d.options.Retransmits
	})
}

// NextChanges returns the changes of a message that directly follow the held revision, in order.
// The caller applies them and then calls Publish.
func (d *Dissemination) NextChanges(changes []Change) []Change {
	var next []Change
	expected := d.held + 1
	for _, change := range changes {
		if change.Revision == expected {
			next = append(next, change)
			expected++
		}
	}
	return next
}

// Observe records the revision that a member holds.
func (d *Dissemination) Observe(address fleet.Address, revision fleet.Revision) {
	if revision > d.held {
		d.sources.add(address, revision)
	}
}

// NextPull returns the pull that is due, if this node is behind. While it makes no progress,
// further pulls follow after bounded delays, rotating among the members that are ahead.
func (d *Dissemination) NextPull(now time.Duration) (Pull, bool) {
	if d.sources.isEmpty() || now < d.nextPull {
		return Pull{}, false
	}
	d.nextPull = now + d.pullDelay()
	d.pullsWithoutProgress++
	return Pull{From: d.sources.next(), After: d.held}, true
}

// pullDelay returns a random delay after a pull.
func (d *Dissemination) pullDelay() time.Duration {
	longest := d.options.PullInterval
	if d.pullsWithoutProgress >= d.options.PersistentPulls {
		longest = d.options.MaxPullInterval
	}
	return longest - time.Duration(d.options.Random.Int64N(int64(longest)/4+1))
}

// NextWake returns when Tick or NextPull has work to do next. pending is false if nothing is
// scheduled.
func (d *Dissemination) NextWake() (at time.Duration, pending bool) {
	behind := !d.sources.isEmpty()
	switch {
	case d.secondPushPending && behind:
		return min(d.secondPushAt, d.nextPull), true
	case d.secondPushPending:
		return d.secondPushAt, true
	default:
		return d.nextPull, behind
	}
}
