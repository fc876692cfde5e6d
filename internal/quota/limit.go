package quota

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Limit bounds a tenant's use over all nodes, in units: requests or tokens.
type Limit struct {
	// Rate is in units per second.
	Rate float64
	// Burst is the number of units that may be used at once, above the rate.
	Burst float64
}

// Options configures a Limiter.
type Options struct {
	// Slack is the number of units by which all nodes together may exceed a limit within Window. It
	// covers what nodes admit before they receive each other's reports.
	Slack float64
	// Overshoot is the fraction of the limit by which they may exceed it in addition.
	Overshoot float64
	// Window is the time over which a limit is enforced.
	Window time.Duration
	// Standalone is set for a node without peers, which has the whole limit from its start.
	Standalone bool
	// FirstStart is set if the whole fleet starts for the first time, so nothing was used before.
	FirstStart bool
}

// Fractions of a limit, and the number of nodes that share one at their start.
const (
	// assumedJoiningNodes divides the limit at a node that hasn't synchronized with any peer: after
	// a restart of the whole fleet, callers may be served by this many nodes.
	assumedJoiningNodes = 8
	// isolatedJoiningFraction is the fraction of its share that a joining node keeps after
	// joinTimeout without a peer, since many nodes may have been isolated from their start.
	isolatedJoiningFraction = 0.25
	// initialToleranceFraction is the fraction of the tolerance that all joining nodes together may
	// use at once.
	initialToleranceFraction = 0.25
	// debtFraction is the fraction of the slack by which one request may exceed what is available.
	// It keeps small requests from starving the large ones of a tenant at its limit.
	debtFraction = 0.35
	// convergenceThreshold is the fraction of the burst by which a peer's deficit may exceed this
	// node's; convergenceFraction is the fraction of the rest that one report removes.
	convergenceThreshold = 0.5
	convergenceFraction  = 0.1
	// weightSmoothing is the weight of one report in the moving average of a peer's weight.
	weightSmoothing = 0.1
	// nearLimitFraction and nearLimitSlackFraction define when a tenant is near its limit: less than
	// nearLimitFraction of the burst is left, and nearLimitSlackFraction of the slack is used in
	// addition, since the use of a small tenant may be within the slack altogether. Both sides of an
	// undetected partition may use 2 x (1 - nearLimitFraction) bursts together.
	nearLimitFraction      = 0.8
	nearLimitSlackFraction = 0.25
)

// Timeouts and intervals of the reports between peers.
const (
	// peerTimeout is how long a peer may send no report until it counts as unreachable.
	peerTimeout = 1500 * time.Millisecond
	// NearLimitInterval is the time between two exchanges with each peer while a tenant is near its
	// limit. nearLimitPeerTimeout is the peer timeout for such a tenant: until it expires, both
	// sides of a partition together may exceed the limit.
	NearLimitInterval    = 100 * time.Millisecond
	nearLimitPeerTimeout = 3*NearLimitInterval + 50*time.Millisecond
	// pauseThreshold is the time without an update of the accounts after which the process counts
	// as paused. They are normally updated each NearLimitInterval.
	pauseThreshold = 5 * NearLimitInterval
	// idleReportPeriod is how long after its last use a tenant is still reported. It spans several
	// exchanges, so that each peer receives the last total.
	idleReportPeriod = 3 * time.Second
	// shareReservation is how long the share of an unreachable peer is reserved. A peer that
	// has failed for good takes its share out of use for as long.
	shareReservation = 10 * time.Minute
	// joinTimeout is how long a node whose peers are all joining is joining itself.
	joinTimeout = 2 * time.Second
	// partitionGuardPeriod is how long after its start such a node assumes that few peers may be
	// one side of a partition, and reserves a share for the others.
	partitionGuardPeriod = 10 * time.Second
)

// tolerance returns the units by which a limit may be exceeded within the window.
func (o *Options) tolerance(limit Limit) float64 {
	return o.Overshoot*(limit.Rate*o.Window.Seconds()+limit.Burst) + o.Slack
}

// Usage is one node's report on one tenant.
type Usage struct {
	Tenant fleet.TenantName
	// Total is the units that the node has admitted since its start, Recent those since it last
	// began to join.
	Total  uint64
	Recent uint64
	// Deficit is the units missing in the node's copy of the tenant's bucket.
	Deficit uint64
	// Acknowledged is the receiver's last Total that the node has received. Deficit includes that
	// much of the receiver's use.
	Acknowledged uint64
	// Demand is the demand at the node, 0 if the tenant isn't near its limit.
	Demand Demand
}

// Report is one report of a peer.
type Report struct {
	Node fleet.NodeID
	// Machine stays the same when the node restarts.
	Machine string
	// Joining is set while the peer doesn't know what was used before its start.
	Joining bool
	// RequestRate is the peer's requests per second; negative if it isn't reported.
	RequestRate float64
	// Usages lists the tenants whose requests the peer has recently admitted.
	Usages []Usage
}

// Decision is the result of Admit, with what it is based on.
type Decision struct {
	Admitted bool
	// Cause is why the request was admitted or refused.
	Cause Cause
	// RetryAfter is the time until units are free for the request, by what this node knows of more
	// urgent requests and of those refused before it, if it wasn't admitted. It is at most the window.
	RetryAfter time.Duration
	Limit      Limit
	// Share is the fraction of the limit that belongs to this node and its reachable peers.
	Share float64
	// Available is the units left before the request; negative if more than the limit was used.
	Available float64
	// Reserved is the units kept from the request for more urgent ones and for returning callers.
	Reserved float64
	// FreeRate is the units per second that more urgent requests and the minimum shares leave to
	// this one's priority, and FreeAfter the time until units are free for it as a returning one, without those refused before it.
	// Both are 0 if it was admitted or
	// nothing is left.
	FreeRate  float64
	FreeAfter time.Duration
	// NearLimit is set if the tenant is near its limit: the use is to be reported to the peers at
	// once, and the peers are to be asked for theirs.
	NearLimit bool
}
