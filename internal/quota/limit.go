package quota

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Limit bounds what a tenant may use of all nodes together, in units: requests or
// tokens.
type Limit struct {
	// Rate is the units a second.
	Rate float64
	// Burst is the units that may be used above the rate.
	Burst float64
}

// Options sets up a Limiter.
type Options struct {
	// Slack is the units by which all nodes together may exceed a limit in Window: it
	// pays for what nodes admit before they hear of each other.
	Slack float64
	// Overshoot is a part of the limit by which they may exceed it besides.
	Overshoot float64
	// Window is the time over which a limit is judged.
	Window time.Duration
	// Standalone is set for a node that has no peers: it has the whole limit from its
	// start.
	Standalone bool
	// FirstStart is set if the whole fleet starts for the first time, so that nothing
	// was used before.
	FirstStart bool
}

// Parts of a limit.
const (
	// assumedJoiningNodes divides the limit at a node that no peer has told anything: so
	// many nodes may get the callers of a fleet that has restarted as a whole. The
	// smallest serving set of a larger fleet has six nodes.
	assumedJoiningNodes = 8
	// isolatedJoiningFraction is the part of a newcomer's share that is left to it after newcomerFor
	// without a peer: many nodes may have been cut off since their start.
	isolatedJoiningFraction = 0.25
	// initialToleranceFraction is the part of the tolerance that all newcomers together may use at
	// once: what was used before the start isn't known.
	initialToleranceFraction = 0.25
	// debtFraction is the part of the slack by which one request may exceed what is left.
	// Without it, small requests would always come before large ones of a tenant at
	// its limit.
	debtFraction = 0.35
	// convergenceThreshold is the part of the burst by which a peer may believe more to be used than
	// this node, and pullPart the part of what lies beyond that one report removes.
	convergenceThreshold = 0.5
	convergenceFraction  = 0.1
	// weightSmoothing is the part of one report in the mean of a peer's weight.
	weightSmoothing = 0.1
	// nearLimitFraction is the part of the burst below which a tenant is near its limit, once it
	// has used nearSlackPart of the slack besides: what a small tenant uses may be within
	// the slack altogether. Two sides of a partition that haven't noticed it yet may use
	// 2 x (1 - nearLimitFraction) bursts together.
	nearLimitFraction      = 0.8
	nearLimitSlackFraction = 0.25
)

// Times of the talk with peers.
const (
	// peerTimeout is how long a peer that reports each half second may be unheard
	// until it counts as out of touch.
	peerTimeout = 1500 * time.Millisecond
	// NearLimitInterval is the time between two exchanges with each peer while a tenant is
	// near its limit, and staleAfter how long a peer may be unheard for such a tenant
	// until it counts as out of touch: what both sides of a partition use in this time
	// may exceed the limit.
	NearLimitInterval    = 100 * time.Millisecond
	nearLimitPeerTimeout = 3*NearLimitInterval + 50*time.Millisecond
	// pauseThreshold is how long a process may not look at its accounts until it counts as
	// having slept: it does so each NearInterval, and is given five of them.
	pauseThreshold = 5 * NearLimitInterval
	// idleReportPeriod is how long after the last use of a tenant a node names it in its reports:
	// several exchanges, so that each peer has heard the last total. Tenants at rest cost no
	// bytes.
	idleReportPeriod = 3 * time.Second
	// shareReservation is how long the part of a peer out of touch is left to it. A peer that
	// is dead for good takes its part along for as long.
	shareReservation = 10 * time.Minute
	// joinTimeout is how long a node that has peers stays a newcomer if all of them are.
	joinTimeout = 2 * time.Second
	// partitionGuardPeriod is how long after its start such a node takes a few peers for a side of
	// a partition, and leaves the others a part.
	partitionGuardPeriod = 10 * time.Second
)

// tolerance returns the units by which a limit may be exceeded within the window.
func (o *Options) tolerance(limit Limit) float64 {
	return o.Overshoot*(limit.Rate*o.Window.Seconds()+limit.Burst) + o.Slack
}

// Usage is what a node says of one tenant.
type Usage struct {
	Tenant fleet.TenantName
	// Total is the units that the node has admitted since its start, Recent those since it
	// last became a newcomer.
	Total  uint64
	Recent uint64
	// Deficit is the units that are missing in the tenant's bucket, by the node's
	// knowledge.
	Deficit uint64
	// Acknowledged is the receiver's Total, as far as the node has heard it: that much of the
	// receiver's use is in Deficit.
	Acknowledged uint64
}

// Report is what a peer says.
type Report struct {
	Node fleet.NodeID
	// Machine stays the same when the node restarts.
	Machine string
	// Joining is set while the peer doesn't know what was used before its start.
	Joining bool
	// RequestRate is the peer's requests a second; negative if it doesn't tell.
	RequestRate float64
	// Usages names the tenants of which the peer has admitted something of late.
	Usages []Usage
}

// Decision is the answer to a request, with what it was based on.
type Decision struct {
	Admitted bool
	// RetryAfter is when the tenant's bucket can hold the request, if it wasn't
	// admitted.
	RetryAfter time.Duration
	Limit      Limit
	// Share is the part of the limit that this node and those in touch with it have.
	Share float64
	// Available is the units left in the bucket before the request, negative if more
	// was used than the limit allows.
	Available float64
	// NearLimit is set if the tenant is near its limit: what was used is to be told to the
	// peers at once, and the peers are to be asked.
	NearLimit bool
}
