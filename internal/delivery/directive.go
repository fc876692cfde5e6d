package delivery

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// DirectiveLifetime is how long a directive that isn't final counts after its issue. It is
// the longest time for which a node that hears nothing goes on sending to a version that
// may be bad; reports pass each 0.6 s, over one relay at most.
const DirectiveLifetime = 2500 * time.Millisecond

// Directive is what the director asks of every node for one service.
type Directive struct {
	Service fleet.PoolName
	Target  fleet.SoftwareVersion
	// Revision is the order's, Sequence counts the director's changes of stage and
	// shares, across directors. Together they tell which of two directives is newer.
	Revision fleet.Revision
	Sequence uint64
	Stage    Stage
	// Issuer is the node that directs: evidence goes there first.
	Issuer fleet.NodeID
	// IssuedAt is when it was last renewed, on this process's steady clock.
	IssuedAt time.Duration
	// Shares holds the part of each route's requests that goes to the target, 0 to 1;
	// DefaultShare is that of routes which aren't named.
	Shares       map[RouteName]float64
	DefaultShare float64
	// ShiftAt is when a canary directive that counts then sends everything to the target
	// by itself, on this process's steady clock; 0 if no shift is planned. It is told in
	// advance, so that all nodes shift at one moment and not one report after another.
	ShiftAt time.Duration
	// Canaries are the target's workers that get the share; empty means all.
	Canaries []fleet.EngineID
	// Rejected lists versions of the service that were rolled back.
	Rejected []fleet.SoftwareVersion
}

// IsValid tells whether the directive counts at now.
func (d *Directive) IsValid(now time.Duration) bool {
	return d.Stage.IsFinal() || now <= d.IssuedAt+DirectiveLifetime
}

// isShifted tells whether everything is to go to the target.
func (d *Directive) isShifted(now time.Duration) bool {
	return d.Stage == StageShifting || d.Stage == StageCanary && d.ShiftAt > 0 && now >= d.ShiftAt
}

// routeShare returns the part of a route's requests that goes to the canaries.
func (d *Directive) routeShare(route RouteName) float64 {
	if share, named := d.Shares[route]; named {
		return share
	}
	return d.DefaultShare
}

// Filter limits which workers of a service may get a request. The nil Filter
// limits nothing.
type Filter struct {
	target fleet.SoftwareVersion
	// targetOnly is set for requests that go to the target, canaries then limits its workers.
	targetOnly bool
	canaries   map[fleet.EngineID]bool
	// completed is set once the target is where everything belongs.
	completed bool
	excluded  []fleet.SoftwareVersion
	// fallback is what holds if nobody fits who is listed; nil if there is none.
	fallback *Filter
}

// PrefersTarget tells whether the request goes to the target for a trial: if it finds no
// room there, it is to go to the old side. After a completion it waits for the target.
func (c *Filter) PrefersTarget() bool { return c != nil && c.targetOnly && !c.completed }

// Fallback returns what holds if no listed worker fits, or nil.
func (c *Filter) Fallback() *Filter {
	if c == nil {
		return nil
	}
	return c.fallback
}
