package delivery

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

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

// Worker is a worker of a service, as the director sees it.
type Worker struct {
	ID      fleet.EngineID
	Version fleet.SoftwareVersion
	Slots   int
	// InFlight is the number of requests there, over all nodes.
	InFlight int
	// Unreachable is set if it can't be reached, by what is known.
	Unreachable bool
}

// Observation is what the director sees of one service at a look.
type Observation struct {
	Service fleet.PoolName
	// Configured is set if the configuration holds the service.
	Configured bool
	Workers    []Worker
}

// Decision is what follows from a look.
type Decision struct {
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
	// Score and Threshold are the strongest evidence and from where on it condemns.
	Score, Threshold float64
	// NewAnswers, NewBad, OldAnswers and OldBad are the counts behind it.
	NewAnswers, NewBad, OldAnswers, OldBad uint64
	// Elapsed and Remaining are the times since the order and until its deadline.
	Elapsed, Remaining time.Duration
}

// EvaluationInterval is the time between two looks of the director at a service.
const EvaluationInterval = 100 * time.Millisecond

// Director runs the deliveries of the whole fleet while its node holds the lease.
type Director struct {
	options  Options
	services map[fleet.PoolName]*directorState
	// storeOffset translates times: local time = store time + storeOffset.
	storeOffset time.Duration
}

// NewDirector returns a director that knows of no order and no record.
func NewDirector(options Options) *Director {
	return &Director{options: options, services: map[fleet.PoolName]*directorState{}}
}

// Restore takes in the records in the store and the store's steady clock, right after the
// lease was taken. sinceStore translates: local time = store time + sinceStore. Orders that
// are newer than their service's record stay; all evidence is taken in anew.
func (d *Director) Restore(now time.Duration, records []Record, sinceStore time.Duration) {
	d.storeOffset = sinceStore
	known := d.services
	d.services = make(map[fleet.PoolName]*directorState, len(records))
	for _, record := range records {
		if record.Order.Validate() != nil {
			continue
		}
		start := record.StartedAt + sinceStore
		restored := d.newState(now, start, record.Order, record.Rejected)
		restored.recorded = true
		if record.Stage.IsFinal() {
			restored.finish(record, min(now, start+record.Order.Duration))
		}
		d.services[record.Order.Service] = restored
	}
	for service, before := range known {
		restored := d.services[service]
		if restored == nil || before.order.Revision > restored.order.Revision {
			d.replaceOrder(now, before.startedAt, before.order)
		}
	}
}

// SetOrder takes in an order. at is when it was written at the latest.
func (d *Director) SetOrder(now, at time.Duration, order Order) error {
	if err := order.Validate(); err != nil {
		return errors.Wrap(err, "invalid order")
	}
	known := d.services[order.Service]
	if known != nil && order.Revision <= known.order.Revision {
		return nil
	}
	d.replaceOrder(now, min(at, now), order)
	return nil
}

// replaceOrder puts an order in the place of an older one, whose target counts as rolled
// back unless it was completed or is named again.
func (d *Director) replaceOrder(now, start time.Duration, order Order) {
	var condemned []fleet.SoftwareVersion
	if known := d.services[order.Service]; known != nil {
		condemned = slices.Clone(known.rejected)
		if known.stage != StageCompleted && known.order.Target != order.Target {
			condemned = appendUnique(condemned, known.order.Target)
		}
	}
	d.services[order.Service] = d.newState(now, start, order, condemned)
}

// newState returns the state of an order that is to be begun or gone on with.
func (d *Director) newState(now, start time.Duration, order Order, condemned []fleet.SoftwareVersion) *directorState {
	created := &directorState{
		self:      d.options.Self,
		order:     order,
		stage:     StageCanary,
		startedAt: start,
		rejected:  slices.Clone(condemned),
		schedule: schedule{
			start:    start,
			deadline: start + order.Duration,
			exposure: d.options.ExposureShare,
			slack:    d.options.ExposureSlack,
		},
		meter: newMeter(now),
		judge: newJudge(),
	}
	created.extend(now)
	return created
}

// Observe takes in what a node has seen; a node's counts only grow. The evidence must not
// be changed afterwards.
func (d *Director) Observe(now time.Duration, node fleet.NodeID, evidence Evidence) {
	known := d.services[evidence.Service]
	if known == nil || known.stage.IsFinal() || evidence.Revision != known.order.Revision {
		return
	}
	known.meter.observe(known.conditions(now), node, evidence, known.judge)
}

// Evaluate decides for one service. It is called each LookInterval.
func (d *Director) Evaluate(now time.Duration, observation Observation) Decision {
	known := d.services[observation.Service]
	if known == nil {
		return Decision{}
	}
	if !observation.Configured && !known.stage.IsFinal() {
		return known.refuse(now)
	}
	step := Decision{Event: known.advance(now, observation.Workers)}
	step.Directive = known.directive(now, now-d.storeOffset)
	step.Write = known.pendingRecord(now, d.storeOffset)
	return step
}

// HandleWriteResult tells how a write of Step.Write went: on success the final directive is
// issued; a record found instead is taken over; else it is tried again at a later look.
func (d *Director) HandleWriteResult(now time.Duration, service fleet.PoolName, written Record, found *Record, err error) {
	known := d.services[service]
	if known == nil || known.order.Revision != written.Order.Revision || known.stage.IsFinal() {
		return
	}
	switch {
	case found != nil:
		d.adoptRecord(now, known, *found)
	case err != nil:
		if written.Stage == known.recordStage() {
			known.nextWriteAt = now + writeRetryInterval
		}
	default:
		known.recorded = true
		if written.Stage.IsFinal() {
			known.finish(written, now)
		}
	}
}

// adoptRecord goes by a record that another director has written.
func (d *Director) adoptRecord(now time.Duration, known *directorState, found Record) {
	start := found.StartedAt + d.storeOffset
	switch {
	case found.Order.Revision > known.order.Revision:
		next := d.newState(now, start, found.Order, found.Rejected)
		next.recorded = true
		if found.Stage.IsFinal() {
			next.finish(found, now)
		}
		d.services[found.Order.Service] = next
	case found.Order.Revision < known.order.Revision:
		known.mergeOlderRecord(found)
	case found.Stage.IsFinal():
		known.finish(found, now)
	default:
		known.recorded = true
		known.restart(now, start)
	}
}

// appendUnique adds a version to a list that doesn't hold it.
func appendUnique(versions []fleet.SoftwareVersion, version fleet.SoftwareVersion) []fleet.SoftwareVersion {
	if slices.Contains(versions, version) {
		return versions
	}
	return append(versions, version)
}
