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
	// RollbackWithin is the time after the first bad responses within which a bad version must stop
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
	// Unreachable is set if the worker counts as unreachable.
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

// Event describes a decision or verdict of a delivery and the evidence behind it.
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
	// NewResponses, NewBad, OldResponses and OldBad are the response counts behind the score.
	NewResponses, NewBad, OldResponses, OldBad uint64
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
// service are kept. Evidence collection restarts from zero.
func (d *Director) Restore(now time.Duration, records []Record, storeOffset time.Duration) {
	d.storeOffset = storeOffset
	previous := d.services
	d.services = make(map[fleet.PoolName]*directorState, len(records))
	for _, record := range records {
		if record.Order.Validate() != nil {
			continue
		}
		start := record.StartedAt + storeOffset
		restored := d.newState(now, start, record.Order, record.Rejected)
		restored.recorded = true
		if record.Stage.IsFinal() {
			restored.finish(record, min(now, start+record.Order.Duration))
		}
		d.services[record.Order.Service] = restored
	}
	for service, old := range previous {
		restored := d.services[service]
		if restored == nil || old.order.Revision > restored.order.Revision {
			d.replaceOrder(now, old.startedAt, old.order)
		}
	}
}

// SetOrder sets a service's order, unless it isn't newer than the current one. at is the latest
// time at which the order may have been written.
func (d *Director) SetOrder(now, at time.Duration, order Order) error {
	if err := order.Validate(); err != nil {
		return errors.Wrap(err, "invalid order")
	}
	state := d.services[order.Service]
	if state != nil && order.Revision <= state.order.Revision {
		return nil
	}
	if state != nil && state.order.IsContinuedBy(order) {
		state.order.Revision = order.Revision
		return nil
	}
	d.replaceOrder(now, min(at, now), order)
	return nil
}

// Conclude applies the known outcome of the current order of a service, whose record a restored store
// has lost. The record is then written again.
func (d *Director) Conclude(now time.Duration, outcome Directive) {
	state := d.services[outcome.Service]
	if state == nil || state.stage.IsFinal() || !outcome.Stage.IsFinal() || state.order.Target != outcome.Target {
		return
	}
	state.finish(Record{Stage: outcome.Stage, Reason: ReasonStoreRestored, Rejected: outcome.Rejected}, now)
	state.verdict = outcome.Stage
	state.recorded = false
}

// handleConclusionWritten processes the result of writing the record of Conclude. If the store holds an
// earlier record of the order, the write is repeated with that one's version.
func (s *directorState) handleConclusionWritten(now time.Duration, stored *Record, err error) {
	if s.recorded {
		return
	}
	if err != nil && (stored == nil || !stored.Stage.IsFinal()) {
		s.nextWriteAt = now + writeRetryInterval
		return
	}
	s.recorded = true
	s.finalAt = now
	s.changed = true
}

// replaceOrder replaces a service's order. The target of the replaced order counts as rolled back,
// unless it was completed or is the new target too.
func (d *Director) replaceOrder(now, start time.Duration, order Order) {
	var rejected []fleet.SoftwareVersion
	if state := d.services[order.Service]; state != nil {
		rejected = slices.Clone(state.rejected)
		if state.stage != StageCompleted && state.order.Target != order.Target {
			rejected = appendUnique(rejected, state.order.Target)
		}
	}
	d.services[order.Service] = d.newState(now, start, order, rejected)
}

// newState returns the initial state of an order that is started or resumed.
func (d *Director) newState(now, start time.Duration, order Order, rejected []fleet.SoftwareVersion) *directorState {
	created := &directorState{
		self:      d.options.Self,
		order:     order,
		stage:     StageCanary,
		startedAt: start,
		rejected:  slices.Clone(rejected),
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
	state := d.services[evidence.Service]
	if state == nil || state.stage.IsFinal() || evidence.Revision != state.order.Revision {
		return
	}
	state.meter.observe(state.conditions(now), node, evidence, state.judge)
}

// Evaluate decides the next step for one service. It is called every EvaluationInterval.
func (d *Director) Evaluate(now time.Duration, observation Observation) Decision {
	state := d.services[observation.Service]
	if state == nil {
		return Decision{}
	}
	if !observation.Configured && !state.stage.IsFinal() {
		return state.refuse(now)
	}
	decision := Decision{Event: state.advance(now, observation.Workers)}
	if !state.stage.IsFinal() || state.recorded {
		decision.Directive = state.directive(now, now-d.storeOffset)
	}
	decision.Write = state.pendingRecord(now, d.storeOffset)
	return decision
}

// HandleWriteResult processes the result of writing Decision.Write. On success a final directive is
// issued. If the store holds another record, stored, that one is adopted. After an error the write
// is retried at a later evaluation.
func (d *Director) HandleWriteResult(now time.Duration, service fleet.PoolName, written Record, stored *Record, err error) {
	state := d.services[service]
	if state == nil || state.order.Revision != written.Order.Revision {
		return
	}
	if state.stage.IsFinal() {
		state.handleConclusionWritten(now, stored, err)
		return
	}
	switch {
	case stored != nil:
		d.adoptRecord(now, state, *stored)
	case err != nil:
		if written.Stage == state.recordStage() {
			state.nextWriteAt = now + writeRetryInterval
		}
	default:
		state.recorded = true
		if written.Stage.IsFinal() {
			state.finish(written, now)
		}
	}
}

// adoptRecord updates the state to a record that another director has stored.
func (d *Director) adoptRecord(now time.Duration, state *directorState, stored Record) {
	start := stored.StartedAt + d.storeOffset
	switch {
	case stored.Order.Revision > state.order.Revision:
		next := d.newState(now, start, stored.Order, stored.Rejected)
		next.recorded = true
		if stored.Stage.IsFinal() {
			next.finish(stored, now)
		}
		d.services[stored.Order.Service] = next
	case stored.Order.Revision < state.order.Revision:
		state.mergeOlderRecord(stored)
	case stored.Stage.IsFinal():
		state.finish(stored, now)
	default:
		state.recorded = true
		state.restart(now, start)
	}
}

// appendUnique appends a version to a list unless the list contains it.
func appendUnique(versions []fleet.SoftwareVersion, version fleet.SoftwareVersion) []fleet.SoftwareVersion {
	if slices.Contains(versions, version) {
		return versions
	}
	return append(versions, version)
}
