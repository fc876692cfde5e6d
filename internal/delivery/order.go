package delivery

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// RouteName is the name of a route in the configuration.
type RouteName string

// Order is an operator's request to move a service to a software version.
type Order struct {
	Service fleet.PoolName
	// Target is the software version that is to get all requests.
	Target fleet.SoftwareVersion
	// Duration is the time within which the order is completed or rolled back.
	Duration time.Duration
	// Revision is the revision of the order's row; a higher one replaces a lower one, unless it
	// continues it.
	Revision fleet.Revision
}

// continues reports whether an order for a target continues another one rather than replacing it:
// the store was restored from an older copy, and the operator has written the order again.
func continues(target, earlierTarget fleet.SoftwareVersion, revision, earlier fleet.Revision) bool {
	return target == earlierTarget && revision.Epoch() != earlier.Epoch()
}

// IsContinuedBy reports whether a later order is this one, written again after the store was
// restored.
func (o Order) IsContinuedBy(later Order) bool {
	return o.Service == later.Service && continues(later.Target, o.Target, later.Revision, o.Revision)
}

// Validate returns an error if a field is missing or out of range.
func (o Order) Validate() error {
	switch {
	case o.Service == "":
		return errors.New("service is missing")
	case o.Target == "":
		return errors.New("target version is missing")
	case o.Duration <= 0:
		return errors.Errorf("duration %s is not positive", o.Duration)
	}
	return nil
}

// Stage is the progress of a delivery.
type Stage int

// Stages of a delivery. The numbers are transmitted between nodes.
const (
	// StageCanary sends a small share of the requests to the target.
	StageCanary Stage = iota + 1
	// StageShifting sends all requests to the target, while the old workers drain.
	StageShifting
	// StageCompleted is final: the old workers may be stopped at any time.
	StageCompleted
	// StageRolledBack is final: the target gets no more requests.
	StageRolledBack
)

// IsFinal reports whether the stage is final.
func (s Stage) IsFinal() bool { return s == StageCompleted || s == StageRolledBack }

// String returns the stage's name.
func (s Stage) String() string {
	switch s {
	case StageCanary:
		return "canary"
	case StageShifting:
		return "shifting"
	case StageCompleted:
		return "completed"
	case StageRolledBack:
		return "rolled_back"
	default:
		return "none"
	}
}

// Record is the stored state of a delivery, from which a new director resumes.
type Record struct {
	Order Order
	// StartedAt is when the order was first seen, on the store's monotonic clock.
	StartedAt time.Duration
	// Stage is StageCanary while the delivery runs, or a final stage.
	Stage Stage
	// Reason is why the final stage was decided.
	Reason string
	// Rejected lists the service's versions that were rolled back, newest last.
	Rejected []fleet.SoftwareVersion
}
