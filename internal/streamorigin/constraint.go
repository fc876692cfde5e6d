// Package streamorigin decides at which software version of a service a stream may go on.
//
// What workers of two software versions write doesn't fit together, and workers don't check it. So
// the version of the worker that sends a stream's first event, its origin, binds all that follows:
// the rest of the answer after its worker is lost, and the caller's later attempts at any node.
//
// The package is pure: it has no I/O, and callers pass in the monotonic time. It is not safe for
// concurrent use.
package streamorigin

import "github.com/tillerfall/tillerfall/internal/fleet"

// Constraint is the set of software versions at which a request may run: any, a single one or none.
// The zero value allows any. Constraints are comparable.
type Constraint struct {
	kind    constraintKind
	version fleet.SoftwareVersion
}

type constraintKind uint8

const (
	anyVersion constraintKind = iota
	oneVersion
	noVersion
)

// Any returns the constraint of a request that no event has been received of.
func Any() Constraint { return Constraint{} }

// Only returns the constraint of a stream that began at a version. Workers whose rows name no version
// count as one version, the empty one.
func Only(version fleet.SoftwareVersion) Constraint {
	return Constraint{kind: oneVersion, version: version}
}

// None returns the constraint of a stream whose origin isn't known. It may not go on.
func None() Constraint { return Constraint{kind: noVersion} }

// Allows reports whether the request may run at a worker of a version.
func (c Constraint) Allows(version fleet.SoftwareVersion) bool {
	switch c.kind {
	case anyVersion:
		return true
	case oneVersion:
		return version == c.version
	default:
		return false
	}
}

// IsAny reports whether the constraint allows any version.
func (c Constraint) IsAny() bool { return c.kind == anyVersion }

// IsNone reports whether the constraint allows no version.
func (c Constraint) IsNone() bool { return c.kind == noVersion }

// Version returns the only version that the constraint allows, false if it allows any or none.
func (c Constraint) Version() (fleet.SoftwareVersion, bool) {
	return c.version, c.kind == oneVersion
}
