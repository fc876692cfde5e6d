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

// Times of directing deliveries.
const (
	// followInterval is the time between two looks at whether this node directs, while it
	// doesn't and a delivery runs.
	followInterval = 300 * time.Millisecond
	// deliveryCallTimeout bounds the store's answer about records; an unknown outcome is
	// looked up within it.
	deliveryCallTimeout = 2500 * time.Millisecond
)

// driveDeliveries directs the deliveries that aren't over while this node holds the lease.
// It rests while there are none.
func (g *Gateway) driveDeliveries() error {
	for {
		unfinished := g.deliveries.unfinished()
		if len(unfinished) == 0 {
			select {
			case <-g.deliveries.ordered:
				continue
			case <-g.life.Dying():
				return nil
			}
		}
		interval := followInterval
		if g.directs() {
			interval = delivery.EvaluationInterval
			for _, service := range unfinished {
				g.direct(service)
			}
		} else if g.deliveries.shifts(g.now()) {
			interval = delivery.EvaluationInterval
			g.tellDirectors()
		}
		g.noteShares()
		if !g.pause(interval) {
			return nil
		}
	}
}

// tellDirectors tells those that direct what this node has seen. Faults that show only under
// load show in a shift, which is shorter than a round of reports.
func (g *Gateway) tellDirectors() {
	for _, issuer := range g.deliveries.issuers(g.now()) {
		if member, found := g.peers.View().Find(issuer); found {
			go g.exchangeDeliveries(member)
		}
	}
}

// directs tells whether this node directs deliveries now. Before it begins to, it reads
// the records of those before it.
func (g *Gateway) directs() bool {
	if _, holds := g.keeper.Fence(); !holds || g.stopping() {
		g.deliveries.resign()
		return false
	}
	if g.deliveries.directing() {
		return true
	}
	ctx, cancel := context.WithTimeout(g.context(), deliveryCallTimeout)
	defer cancel()
	begun := g.now()
	stored, err := g.outside.Platform.ReadDeliveries(ctx)
	if err != nil {
		g.events.line("deliveries_unread").Err(err).Msg("deliveries_unread")
		return false
	}
	g.noteUnreadable("", stored.Unreadable)
	if _, holds := g.keeper.Fence(); !holds {
		return false
	}
	refused := g.deliveries.lead(g.now(), deliveryOptions(g.node, *g.settings()), stored, begun-stored.StoreTime)
	for service, err := range refused {
		g.refuseOrder(string(service), err)
	}
	g.logger.Info().Int("records", len(stored.Records)).Dur("took", g.now()-begun).Msg("delivery_taken_over")
	return true
}

// direct looks at one service's delivery, passes the directive on and writes the record.
func (g *Gateway) direct(service fleet.PoolName) {
	now := g.now()
	step := g.deliveries.look(now, g.observe(now, service))
	if step.Event.Name != "" {
		g.logDelivery(&step.Event)
	}
	if step.Directive != nil {
		g.takeDirective(*step.Directive)
	}
	if step.Write != nil && g.deliveries.beginWrite(service) {
		record := *step.Write
		g.life.Go(func() error {
			g.writeDelivery(record)
			return nil
		})
	}
}

// observe returns what is to be known of a service for a look at its delivery.
func (g *Gateway) observe(now time.Duration, service fleet.PoolName) delivery.Observation {
	observation := delivery.Observation{Service: service}
	held := g.holder.Current()
	if held == nil {
		return observation
	}
	_, observation.Configured = held.Table.Service(service)
	doubtful := g.workers.Doubtful(now)
	for _, worker := range g.workers.WorkersInUse() {
		isTarget := g.deliveries.targets(service, worker.Software)
		if worker.Service != service || (isTarget && worker.Draining) {
			continue
		}
		seen := delivery.Worker{
			ID: worker.ID, Version: worker.Software, Slots: worker.Slots,
			InFlight: g.workers.InFlight(now, worker.ID), Unreachable: doubtful[worker.ID],
		}
		if worker.Draining {
			// It takes no requests; what runs there still counts.
			seen.Slots = 0
		}
		observation.Workers = append(observation.Workers, seen)
	}
	return observation
}

// writeDelivery writes a record, and tells the director what the store holds then.
func (g *Gateway) writeDelivery(record delivery.Record) {
	ctx, cancel := context.WithTimeout(g.context(), deliveryCallTimeout)
	defer cancel()
	begun := g.now()
	service := record.Order.Service
	stored, err := g.outside.Platform.WriteDelivery(ctx, record, g.deliveries.storedVersion(service))
	line := g.logger.Info()
	if err != nil {
		line = g.logger.Warn().Err(err)
	}
	line.Str("service", string(service)).Str("target", string(record.Order.Target)).Str("stage", record.Stage.String()).
		Uint64("revision", uint64(record.Order.Revision)).Uint64("stored_version", uint64(stored.Version)).
		Str("stored_stage", stored.Stage.String()).Dur("took", g.now()-begun).Msg("delivery_recorded")
	g.deliveries.written(g.now(), record, stored, err)
}

// logDelivery logs a step or a verdict with what decided it.
func (g *Gateway) logDelivery(event *delivery.Event) {
	line := g.logger.Info()
	if event.Name == delivery.EventRefused {
		line = g.logger.Error().Int("code", int(resultcode.DeliveryInvalid)).Str("name", resultcode.DeliveryInvalid.String())
	}
	line = line.Str("service", string(event.Service)).Str("target", string(event.Target)).
		Str("stage", event.Stage.String()).Str("reason", event.Reason).
		Str("route", string(event.Route)).Str("worker", string(event.Worker)).
		Float64("score", event.Score).Float64("bound", event.Threshold).
		Uint64("new_answers", event.NewAnswers).Uint64("new_bad", event.NewBad).
		Uint64("old_answers", event.OldAnswers).Uint64("old_bad", event.OldBad).
		Dur("elapsed", event.Elapsed).Dur("left", event.Remaining)
	line.Msg(event.Name)
}

// noteShares updates the metrics of the shares that targets are asked to have and had.
func (g *Gateway) noteShares() {
	for service, routes := range g.deliveries.shares(g.now()) {
		for route, share := range routes {
			g.metrics.deliveryShare.WithLabelValues(string(service), string(route), "asked").Set(share.asked)
			g.metrics.deliveryShare.WithLabelValues(string(service), string(route), "had").Set(share.had())
		}
	}
}

// directing tells whether there is a director.
func (d *deliveries) directing() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.director != nil
}

// resign drops the director.
func (d *deliveries) resign() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.director = nil
}

// lead makes a director of the store's records and the orders heard of. It returns the
// orders that the director refuses.
func (d *deliveries) lead(now time.Duration, options delivery.Options, stored *StoredDeliveries, sinceStore time.Duration) map[fleet.PoolName]error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.director = delivery.NewDirector(options)
	d.stored = make(map[fleet.PoolName]fleet.Revision, len(stored.Records))
	d.writing = make(map[fleet.PoolName]bool)
	var records []delivery.Record
	for _, record := range stored.Records {
		d.stored[record.Order.Service] = record.Version
		if record.Order.Target != "" {
			records = append(records, record.Record)
		}
	}
	d.director.Restore(now, records, sinceStore)
	refused := make(map[fleet.PoolName]error)
	for service, order := range d.orders {
		if err := d.director.SetOrder(now, order.at, order.Order); err != nil {
			refused[service] = err
		}
	}
	return refused
}

// look has the director decide for one service. This node's own evidence counts too.
func (d *deliveries) look(now time.Duration, observation delivery.Observation) delivery.Decision {
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

// observe takes in what another node has seen.
func (d *deliveries) observe(now time.Duration, node fleet.NodeID, encoded []*rpc.DeliveryEvidence) {
	if len(encoded) == 0 {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.director == nil {
		return
	}
	for _, told := range encoded {
		d.director.Observe(now, node, decodeEvidence(told))
	}
}

// beginWrite tells whether a service's record may be written now: none is being written.
func (d *deliveries) beginWrite(service fleet.PoolName) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.director == nil || d.writing[service] {
		return false
	}
	d.writing[service] = true
	return true
}

// storedVersion returns the version that the store's record of a service is believed to have.
func (d *deliveries) storedVersion(service fleet.PoolName) fleet.Revision {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.stored[service]
}

// written tells the director how a write went. err is platform.ErrConflict if the store
// holds another record.
func (d *deliveries) written(now time.Duration, record delivery.Record, stored StoredDelivery, err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.director == nil {
		return
	}
	service := record.Order.Service
	delete(d.writing, service)
	var found *delivery.Record
	if err == nil || errors.Is(err, platform.ErrConflict) {
		d.stored[service] = stored.Version
	}
	if errors.Is(err, platform.ErrConflict) && stored.Order.Target != "" {
		found = &stored.Record
	}
	d.director.HandleWriteResult(now, service, record, found, err)
}
