package delivery

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// RouteName names a route of the configuration.
type RouteName string

// Order is an operator's wish to move a service to a version.
type Order struct {
	Service fleet.PoolName
	// Target is the software version that all requests are to go to.
	Target fleet.SoftwareVersion
	// Duration is the time within which the order is to be completed or rolled back.
	Duration time.Duration
	// Revision is that of the order's row: a higher one replaces a lower one.
	Revision fleet.Revision
}

// Validate returns an error that says what is missing.
func (o Order) Validate() error {
	switch {
	case o.Service == "":
		return errors.New("no service")
	case o.Target == "":
		return errors.New("no target version")
	case o.Duration <= 0:
		return errors.Errorf("duration %s isn't above 0", o.Duration)
	}
	return nil
}

// Stage is how far a delivery has come.
type Stage int

// Stages.
const (
	// StageCanary sends a small share to the target.
	StageCanary Stage = iota + 1
	// StageShifting sends everything to the target; the old workers finish what they run.
	StageShifting
	// StageCompleted is final: the old workers may be stopped at any moment.
	StageCompleted
	// StageRolledBack is final: the target gets nothing any more.
	StageRolledBack
)

// IsFinal tells whether the stage never changes any more.
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

// Record is what is kept of a delivery in the store, so that the next director
// goes on where one was lost.
type Record struct {
	Order Order
	// StartedAt is when the order was first seen, on the store's steady clock.
	StartedAt time.Duration
	// Stage is StageCanary while the delivery runs, else final.
	Stage Stage
	// Reason says why it was rolled back.
	Reason string
	// Rejected lists the service's versions that were rolled back, newest last.
	Rejected []fleet.SoftwareVersion
}
