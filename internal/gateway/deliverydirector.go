package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/delivery"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

const (
	// directorCheckInterval is the time between two checks for the lease while a delivery runs that
	// this gateway doesn't direct.
	directorCheckInterval = 300 * time.Millisecond
	// deliveryCallTimeout bounds one store call about records, including the read that resolves an
	// unknown outcome.
	deliveryCallTimeout = 2500 * time.Millisecond
)

// runDeliveryDirector directs the unfinished deliveries while this gateway holds the lease. It
// waits while there are none.
func (g *Gateway) runDeliveryDirector() error {
	for {
		unfinished := g.deliveries.unfinished()
		if len(unfinished) == 0 {
			select {
			case <-g.deliveries.orderSignal:
				continue
			case <-g.life.Dying():
				return nil
			}
		}
		interval := directorCheckInterval
		if g.ensureDirector() {
			interval = delivery.EvaluationInterval
			for _, service := range unfinished {
				g.stepDelivery(service)
			}
		} else if g.deliveries.isShifting(g.now()) {
			interval = delivery.EvaluationInterval
			g.reportToDirectors()
		}
		g.updateShareMetrics()
		if !g.pause(interval) {
			return nil
		}
	}
}

// reportToDirectors sends this gateway's evidence to the directors at once. A shift is shorter than
// the interval of load reports, and faults that appear only under load appear during it.
func (g *Gateway) reportToDirectors() {
	for _, issuer := range g.deliveries.issuers(g.now()) {
		if member, found := g.peers.View().Find(issuer); found {
			go g.exchangeDeliveries(member)
		}
	}
}

// ensureDirector reports whether this gateway directs deliveries. When it has just acquired the
// lease it first reads the records of its predecessors.
func (g *Gateway) ensureDirector() bool {
	if _, isHolder := g.lease.Fence(); !isHolder || g.isStopping() {
		g.deliveries.resign()
		return false
	}
	if g.deliveries.isDirector() {
		return true
	}
	ctx, cancel := context.WithTimeout(g.context(), deliveryCallTimeout)
	defer cancel()
	start := g.now()
	stored, err := g.dependencies.Store.ReadDeliveries(ctx)
	if err != nil {
		g.events.line("deliveries_unread").Err(err).Msg("deliveries_unread")
		return false
	}
	g.reportInvalidInput("", stored.Invalid)
	if _, isHolder := g.lease.Fence(); !isHolder {
		return false
	}
	rejected := g.deliveries.becomeDirector(g.now(), deliveryOptions(g.node, *g.settings()), stored, start-stored.StoreTime)
	for service, err := range rejected {
		g.logInvalidOrder(string(service), err)
	}
	g.logger.Info().Int("records", len(stored.Records)).Dur("took", g.now()-start).Msg("delivery_taken_over")
	return true
}

// stepDelivery evaluates one service's delivery, applies its directive and writes its record.
func (g *Gateway) stepDelivery(service fleet.PoolName) {
	now := g.now()
	step := g.deliveries.decide(now, g.observeService(now, service))
	if step.Event.Name != "" {
		g.logDeliveryEvent(&step.Event)
	}
	if step.Directive != nil {
		g.applyDirective(*step.Directive)
	}
	if step.Write != nil && g.deliveries.beginWrite(service) {
		record := *step.Write
		g.life.Go(func() error {
			g.writeDelivery(record)
			return nil
		})
	}
}

// observeService returns the state of a service's workers for the director.
func (g *Gateway) observeService(now time.Duration, service fleet.PoolName) delivery.Observation {
	observation := delivery.Observation{Service: service}
	snapshot := g.configuration.Current()
	if snapshot == nil {
		return observation
	}
	_, observation.Configured = snapshot.Table.Service(service)
	suspects := g.workers.AllSuspects(now)
	for _, worker := range g.workers.WorkersInUse() {
		isTarget := g.deliveries.isTarget(service, worker.Software)
		if worker.Service != service || (isTarget && worker.Draining) {
			continue
		}
		observed := delivery.Worker{
			ID: worker.ID, Version: worker.Software, Slots: worker.Slots,
			InFlight: g.workers.InFlight(now, worker.ID), Unreachable: suspects[worker.ID],
		}
		if worker.Draining {
			// A draining worker takes no requests, but its requests in flight count.
			observed.Slots = 0
		}
		observation.Workers = append(observation.Workers, observed)
	}
	return observation
}

// writeDelivery writes a record and passes the result to the director.
func (g *Gateway) writeDelivery(record delivery.Record) {
	ctx, cancel := context.WithTimeout(g.context(), deliveryCallTimeout)
	defer cancel()
	start := g.now()
	service := record.Order.Service
	stored, err := g.dependencies.Store.WriteDelivery(ctx, record, g.deliveries.storedVersion(service))
	line := g.logger.Info()
	if err != nil {
		line = g.logger.Warn().Err(err)
	}
	line.Str("service", string(service)).Str("target", string(record.Order.Target)).Str("stage", record.Stage.String()).
		Uint64("epoch", uint64(record.Order.Revision.Epoch())).Uint64("revision", record.Order.Revision.Number()).Uint64("stored_version", stored.Version.Number()).
		Str("stored_stage", stored.Stage.String()).Dur("took", g.now()-start).Msg("delivery_recorded")
	g.deliveries.finishWrite(g.now(), record, stored, err)
}

// logDeliveryEvent logs a step or a verdict with the figures that decided it.
func (g *Gateway) logDeliveryEvent(event *delivery.Event) {
	line := g.logger.Info()
	if event.Name == delivery.EventRefused {
		line = g.logger.Error().Int("code", int(resultcode.DeliveryInvalid)).Str("name", resultcode.DeliveryInvalid.String())
	}
	line = line.Str("service", string(event.Service)).Str("target", string(event.Target)).
		Str("stage", event.Stage.String()).Str("reason", event.Reason).
		Str("route", string(event.Route)).Str("worker", string(event.Worker)).
		Float64("score", event.Score).Float64("bound", event.Threshold).
		Uint64("new_answers", event.NewResponses).Uint64("new_bad", event.NewBad).
		Uint64("old_answers", event.OldResponses).Uint64("old_bad", event.OldBad).
		Dur("elapsed", event.Elapsed).Dur("left", event.Remaining)
	line.Msg(event.Name)
}

// updateShareMetrics updates the metrics of requested and actual shares of the targets.
func (g *Gateway) updateShareMetrics() {
	for service, routes := range g.deliveries.shares(g.now()) {
		for route, share := range routes {
			g.metrics.deliveryShare.WithLabelValues(string(service), string(route), "asked").Set(share.requested)
			g.metrics.deliveryShare.WithLabelValues(string(service), string(route), "had").Set(share.actual())
		}
	}
}

// isDirector reports whether this gateway directs deliveries.
func (d *deliveryState) isDirector() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.director != nil
}

func (d *deliveryState) resign() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.director = nil
}

// becomeDirector creates a director from the stored records and the received orders. It returns the
// orders that the director rejects. sinceStore is the difference between this gateway's clock and
// the store's.
func (d *deliveryState) becomeDirector(now time.Duration, options delivery.Options, stored *StoredDeliveries, sinceStore time.Duration) map[fleet.PoolName]error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.director = delivery.NewDirector(options)
	d.storedVersions = make(map[fleet.PoolName]fleet.Revision, len(stored.Records))
	d.writing = make(map[fleet.PoolName]bool)
	var records []delivery.Record
	for _, record := range stored.Records {
		d.storedVersions[record.Order.Service] = record.Version
		if record.Order.Target != "" {
			records = append(records, record.Record)
		}
		if record.Stage.IsFinal() && record.Order.Target == d.orders[record.Order.Service].Target {
			delete(d.unrecorded, record.Order.Service)
		}
	}
	d.director.Restore(now, records, sinceStore)
	rejected := make(map[fleet.PoolName]error)
	for service, order := range d.orders {
		if err := d.director.SetOrder(now, order.writtenBy, order.Order); err != nil {
			rejected[service] = err
		}
	}
	for _, directive := range d.follower.Directives(now) {
		d.director.Conclude(now, directive)
	}
	return rejected
}

// decide runs the director for one service, with this gateway's own evidence included.
func (d *deliveryState) decide(now time.Duration, observation delivery.Observation) delivery.Decision {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.director == nil {
		return delivery.Decision{}
	}
	for _, evidence := range d.follower.Evidence(now) {
		d.director.Observe(now, d.self, evidence)
	}
	return d.director.Evaluate(now, observation)
}

// addEvidence passes another gateway's evidence to the director.
func (d *deliveryState) addEvidence(now time.Duration, node fleet.NodeID, encoded []*rpc.DeliveryEvidence) {
	if len(encoded) == 0 {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.director == nil {
		return
	}
	for _, message := range encoded {
		if evidence, valid := decodeEvidence(message); valid {
			d.director.Observe(now, node, evidence)
		}
	}
}

// beginWrite reports whether the caller may write a service's record now. It returns false while
// another write of it is in flight.
func (d *deliveryState) beginWrite(service fleet.PoolName) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.director == nil || d.writing[service] {
		return false
	}
	d.writing[service] = true
	return true
}

// storedVersion returns the version that the stored record of a service had when it was last seen.
func (d *deliveryState) storedVersion(service fleet.PoolName) fleet.Revision {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.storedVersions[service]
}

// finishWrite passes the result of a write to the director. err is platform.ErrConflict if the
// store holds another record.
func (d *deliveryState) finishWrite(now time.Duration, record delivery.Record, stored StoredDelivery, err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.director == nil {
		return
	}
	service := record.Order.Service
	delete(d.writing, service)
	var found *delivery.Record
	if err == nil || errors.Is(err, platform.ErrConflict) {
		d.storedVersions[service] = stored.Version
	}
	if errors.Is(err, platform.ErrConflict) && stored.Order.Target != "" {
		found = &stored.Record
	}
	d.director.HandleWriteResult(now, service, record, found, err)
}
