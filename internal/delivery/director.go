package delivery

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Options configures followers and directors.
type Options struct {
	// Self is this node's identifier.
	Self fleet.NodeID
	// ExposureShare and ExposureSlack bound the requests that a bad version may get: a fraction of
	// the service's requests between the order and its deadline, plus a fixed number of requests.
	ExposureShare float64
	ExposureSlack float64
	// RollbackWithin is the time after the first bad answers within which a bad version must stop
	// getting requests.
	RollbackWithin time.Duration
}

// Worker is a worker of a service, of any version, as the director sees it.
type Worker struct {
	ID      fleet.EngineID
	Version fleet.SoftwareVersion
	Slots   int
	// InFlight is the number of requests at the worker, over all nodes.
	InFlight int
	// Unreachable is set if the worker is believed to be unreachable.
	Unreachable bool
}

// Observation is the state of one service at an evaluation.
type Observation struct {
	Service fleet.PoolName
	// Configured is set if the service is in the configuration.
	Configured bool
	Workers    []Worker
}

// Decision is the result of an evaluation.
type Decision struct {
	// Directive is to be sent to every node; nil if there is no delivery.
	Directive *Directive
	// Write is a record to store together with its public status; nil if there is nothing to store.
	// A final directive is issued only after its record is stored.
	Write *Record
	// Event is to be logged; its Name is empty if nothing has happened.
	Event Event
}

// Event describes a step or verdict of a delivery and the evidence behind it.
type Event struct {
	Name    string
	Service fleet.PoolName
	Target  fleet.SoftwareVersion
	Stage   Stage
	Reason  string
	// Route and Worker are those with the strongest evidence against the target.
	Route  RouteName
	Worker fleet.EngineID
	// Score is the strongest evidence; the target is rejected from Threshold on.
	Score, Threshold float64
	// NewAnswers, NewBad, OldAnswers and OldBad are the answer counts behind the score.
	NewAnswers, NewBad, OldAnswers, OldBad uint64
	// Elapsed is the time since the order, Remaining the time until its deadline.
	Elapsed, Remaining time.Duration
}

// EvaluationInterval is the time between two evaluations of a service by the director.
const EvaluationInterval = 100 * time.Millisecond

// Director runs the deliveries of all services while its node holds the lease.
type Director struct {
	options  Options
	services map[fleet.PoolName]*directorState
	// storeOffset converts times: local time = store time + storeOffset.
	storeOffset time.Duration
}

// NewDirector returns a director without orders and records.
func NewDirector(options Options) *Director {
	return &Director{options: options, services: map[fleet.PoolName]*directorState{}}
}

// Restore loads the records from the store after the lease was acquired. storeOffset converts
// times: local time = store time + storeOffset. Orders newer than the stored record of their
// service are kept. All evidence is collected anew.
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

// SetOrder sets a service's order, unless it isn't newer than the current one. at is the latest
// time at which the order may have been written.
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

// replaceOrder replaces a service's order. The target of the replaced order counts as rolled back,
// unless it was completed or is the new target too.
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

// newState returns the initial state of an order that is started or resumed.
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

// Observe adds a node's evidence, whose counts are cumulative. The caller must not modify the
// evidence afterwards.
func (d *Director) Observe(now time.Duration, node fleet.NodeID, evidence Evidence) {
	known := d.services[evidence.Service]
	if known == nil || known.stage.IsFinal() || evidence.Revision != known.order.Revision {
		return
	}
	known.meter.observe(known.conditions(now), node, evidence, known.judge)
}

// Evaluate decides the next step for one service. It is called every EvaluationInterval.
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

// HandleWriteResult processes the result of writing Decision.Write. On success a final directive is
// issued. If the store holds another record, stored, that one is adopted. After an error the write
// is retried at a later evaluation.
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

// adoptRecord updates the state to a record that another director has stored.
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

// appendUnique appends a version to a list unless the list contains it.
func appendUnique(versions []fleet.SoftwareVersion, version fleet.SoftwareVersion) []fleet.SoftwareVersion {
	if slices.Contains(versions, version) {
		return versions
	}
	return append(versions, version)
}
