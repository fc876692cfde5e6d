package delivery

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Options sets up followers and directors.
type Options struct {
	// Self is this node.
	Self fleet.NodeID
	// ExposureShare and ExposureSlack bound what a bad version may get: a part of the
	// requests that reach the service between the order and its deadline, and requests
	// besides.
	ExposureShare float64
	ExposureSlack float64
	// RollbackWithin is the time after the first bad answers within which a bad version
	// must get nothing any more.
	RollbackWithin time.Duration
}

// TargetWorker is a worker of a service, as the director sees it.
type TargetWorker struct {
	ID      fleet.EngineID
	Version fleet.SoftwareVersion
	Slots   int
	// InFlight is the number of requests there, over all nodes.
	InFlight int
	// Doubtful is set if it can't be reached, by what is known.
	Doubtful bool
}

// Director runs the deliveries of the whole fleet while its node holds the lease.
type Director struct{}

// NewDirector returns a director that knows of no order and no record.
func NewDirector(_ Options) *Director { return &Director{} }

// Restore takes in the records in the store and the store's steady clock, right after the
// lease was taken. sinceStore translates: local time = store time + sinceStore.
func (d *Director) Restore(_ time.Duration, _ []Record, _ time.Duration) {}

// SetOrder takes in an order. at is when it was written at the latest.
func (d *Director) SetOrder(_, _ time.Duration, _ Order) error { return nil }

// Observe takes in what a node has seen; a node's counts only grow.
func (d *Director) Observe(_ time.Duration, _ fleet.NodeID, _ Evidence) {}

// Observation is what the director sees of one service at a look.
type Observation struct {
	Service fleet.PoolName
	// Known is set if the configuration holds the service.
	Known   bool
	Workers []TargetWorker
}

// Step is what follows from a look.
type Step struct {
	// Directive is to be passed on to every node; nil if there is no delivery.
	Directive *Directive
	// Write is a record to be written with its public status before a final directive
	// is issued; nil if there is nothing to write.
	Write *Record
	// Event is a line for the log; its Name is empty if nothing has happened.
	Event Event
}

// Event is a step or verdict with what decided it.
type Event struct {
	Name    string
	Service fleet.PoolName
	Target  fleet.SoftwareVersion
	Stage   Stage
	Reason  string
	// Route and Worker are where the evidence against the target is strongest.
	Route  RouteName
	Worker fleet.EngineID
	// Score and Bound are the strongest evidence and from where on it condemns.
	Score, Bound float64
	// NewAnswers, NewBad, OldAnswers and OldBad are the counts behind it.
	NewAnswers, NewBad, OldAnswers, OldBad uint64
	// Elapsed and Left are the times since the order and until its deadline.
	Elapsed, Left time.Duration
}

// Look decides for one service. It is called each LookInterval.
func (d *Director) Look(_ time.Duration, _ Observation) Step { return Step{} }

// LookInterval is the time between two looks of the director at a service.
const LookInterval = 100 * time.Millisecond

// Written tells how a write of Step.Write went: on success the final directive is
// issued; a record found instead is taken over; else it is tried again at a later look.
func (d *Director) Written(_ time.Duration, _ fleet.PoolName, _ Record, _ *Record, _ error) {}
