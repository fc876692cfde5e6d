package delivery

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// DirectiveLifetime is how long after its issue a directive that isn't final stays valid. It bounds
// how long an isolated node keeps sending requests to a version that may be bad. It covers several
// report intervals of 0.6 s and one relay.
const DirectiveLifetime = 2500 * time.Millisecond

// Directive is the state of one service's delivery that the director issues to every node.
type Directive struct {
	Service fleet.PoolName
	Target  fleet.SoftwareVersion
	// Revision is the order's revision. Sequence increases with each change of stage or shares,
	// also across directors. Together they order directives.
	Revision fleet.Revision
	Sequence uint64
	Stage    Stage
	// Issuer is the directing node, to which evidence is sent first.
	Issuer fleet.NodeID
	// IssuedAt is when the directive was last renewed, on this process's monotonic clock.
	IssuedAt time.Duration
	// Shares holds the fraction of each route's requests that goes to the target, 0 to 1.
	// DefaultShare applies to routes that aren't in Shares.
	Shares       map[RouteName]float64
	DefaultShare float64
	// ShiftAt is when a valid canary directive starts to send all requests to the target, on this
	// process's monotonic clock; 0 if no shift is planned. It is announced in advance, so that all
	// nodes shift at the same time.
	ShiftAt time.Duration
	// Canaries are the workers of the target that get the share; empty means all of them.
	Canaries []fleet.EngineID
	// Rejected lists versions of the service that were rolled back.
	Rejected []fleet.SoftwareVersion
}

// IsValid reports whether the directive is final or hasn't expired at now.
func (d *Directive) IsValid(now time.Duration) bool {
	return d.Stage.IsFinal() || now <= d.IssuedAt+DirectiveLifetime
}

// isShifted reports whether all requests go to the target at now.
func (d *Directive) isShifted(now time.Duration) bool {
	return d.Stage == StageShifting || d.Stage == StageCanary && d.ShiftAt > 0 && now >= d.ShiftAt
}

// routeShare returns the fraction of a route's requests that goes to the canaries.
func (d *Directive) routeShare(route RouteName) float64 {
	if share, named := d.Shares[route]; named {
		return share
	}
	return d.DefaultShare
}

// Filter limits which workers of a service may get a request. A nil Filter allows all of them.
type Filter struct {
	target fleet.SoftwareVersion
	// targetOnly allows only workers of the target, limited to canaries if there are any.
	targetOnly bool
	canaries   map[fleet.EngineID]bool
	// completed is set if the delivery has completed.
	completed bool
	excluded  []fleet.SoftwareVersion
	// fallback applies if no listed worker is allowed; nil if there is none.
	fallback *Filter
}

// PrefersTarget reports whether the request goes to the target of an unfinished delivery, so that
// it goes to the old workers if the target has no capacity. After the completion it waits for the
// target instead.
func (f *Filter) PrefersTarget() bool { return f != nil && f.targetOnly && !f.completed }

// WithoutFallback returns a copy of the filter that is never widened.
func (f *Filter) WithoutFallback() *Filter {
	if f == nil {
		return nil
	}
	strict := *f
	strict.fallback = nil
	return &strict
}

// Fallback returns the filter that applies if no listed worker is allowed, or nil.
func (f *Filter) Fallback() *Filter {
	if f == nil {
		return nil
	}
	return f.fallback
}
