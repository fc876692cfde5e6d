package gateway

import (
	"context"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/delivery"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

const (
	// directiveRefreshAge is the age from which on a directive is pulled again from a gateway that
	// reports the same one.
	directiveRefreshAge = delivery.DirectiveLifetime / 2
	// deliveryExchangeTimeout bounds one exchange of deliveries alone.
	deliveryExchangeTimeout = 250 * time.Millisecond
)

// applyOrders applies the orders among the operator's rows, which were written at writtenBy at the
// latest.
func (g *Gateway) applyOrders(now, writtenBy time.Duration, rows *OperatorRows) {
	for _, refused := range rows.RefusedDeliveries {
		g.logInvalidOrder(refused.Key, refused.Err)
	}
	for _, order := range rows.Deliveries {
		isNew, err := g.deliveries.addOrder(now, writtenBy, order)
		if err != nil {
			g.logInvalidOrder(string(order.Service), err)
			continue
		}
		if isNew {
			g.logger.Info().Str("service", string(order.Service)).Str("target", string(order.Target)).
				Dur("duration", order.Duration).Uint64("epoch", uint64(order.Revision.Epoch())).Uint64("revision", order.Revision.Number()).Dur("age", now-writtenBy).Msg("delivery_ordered")
		}
	}
}

// logInvalidOrder logs that an order is invalid. The previous order stays active.
func (g *Gateway) logInvalidOrder(key string, err error) {
	g.logger.Error().Str("key", key).Err(err).Int("code", int(resultcode.DeliveryInvalid)).
		Str("name", resultcode.DeliveryInvalid.String()).Msg("delivery_refused")
}

// allowedVersions returns the restriction of a request to versions of its service. avoidTarget is
// set if the request was sent to the target and is to be retried elsewhere.
func (g *Gateway) allowedVersions(current *callerRequest, avoidTarget bool) *delivery.Filter {
	now, service, route := g.now(), current.service.Name, delivery.RouteName(current.route.Name)
	origin, bound := current.origin.Version()
	if !bound {
		return g.deliveries.versionFilter(now, service, route, current.targetDraw, avoidTarget)
	}
	return g.deliveries.originFilter(now, service, route, origin)
}

// originFilter returns the restriction on a stream that may only go on at its origin. If that is the target of
// a delivery, the stream goes there whatever share of new requests does, but not once no request does.
func (d *deliveryState) originFilter(now time.Duration, service fleet.PoolName, route delivery.RouteName, origin fleet.SoftwareVersion) *delivery.Filter {
	const drawnLast, drawnFirst = 1, 0
	if !d.isTarget(service, origin) {
		return d.versionFilter(now, service, route, drawnLast, false)
	}
	filter := d.versionFilter(now, service, route, drawnFirst, false)
	if filter.Allows("", origin) || filter.PrefersTarget() {
		return filter
	}
	return filter.WithoutFallback()
}

// errTargetNotAllowed is returned if the directive that allowed a request to go to the target is no
// longer valid.
var errTargetNotAllowed = errors.New("target version no longer allowed")

// checkTarget returns an error if a request that was assigned to the target may no longer go there.
// The directive may have expired while a connection was opened or the process was suspended.
func (g *Gateway) checkTarget(current *callerRequest, worker *backends.Worker) error {
	if current.placedForTarget && !g.isSendAllowed(current, worker) {
		return errTargetNotAllowed
	}
	return nil
}

// isSendAllowed reports whether a request that was assigned to a worker may still go there: to a
// worker of the target while the directive allows it, to any other unless its version was rolled
// back.
func (g *Gateway) isSendAllowed(current *callerRequest, worker *backends.Worker) bool {
	if g.deliveries.isTarget(worker.Service, worker.Software) {
		filter := g.allowedVersions(current, false)
		return filter.PrefersTarget() || filter.Allows(worker.ID, worker.Software)
	}
	return !g.deliveries.isRolledBack(g.now(), worker.Service, worker.Software)
}

// recordDeliveryOutcome counts a response for or against its worker's version. Requests that were
// refused, not sent or cancelled don't count.
func (g *Gateway) recordDeliveryOutcome(current *callerRequest, placement *backends.Placement, outcome backends.Outcome) {
	failed := outcome == backends.Failed || outcome == backends.Lost || outcome == backends.Silent
	worker := &placement.Worker
	if g.deliveries.isTarget(worker.Service, worker.Software) {
		current.sentToTarget = true
	}
	// The latency of a rate-limited worker doesn't depend on its version.
	if (outcome != backends.Succeeded && !failed) || (!failed && placement.Limited) || !g.deliveries.hasOrder(worker.Service) {
		return
	}
	recorded := delivery.Outcome{
		Service: worker.Service, Route: delivery.RouteName(current.route.Name), Worker: worker.ID, Version: worker.Software,
		Failed: failed, TimeToFirstByte: placement.TimeToFirstByte(g.now()),
	}
	if placement.Engine != nil {
		total := g.now() - current.sentAt
		recorded.TimeToFirstByte = geometricMean(recorded.TimeToFirstByte, total)
		recorded.Predicted = geometricMean(placement.Engine.Baseline, expectedResponseTime(current, placement.Engine))
	}
	if placement.Engine != nil && recorded.Predicted <= 0 && !failed {
		// A run that continues from a copy has no prediction.
		return
	}
	result := "good"
	if failed {
		result = "failed"
	}
	g.metrics.deliveryAnswers.WithLabelValues(string(worker.Service), string(worker.Software), current.route.Name, result).Inc()
	g.metrics.deliveryLatency.WithLabelValues(string(worker.Service), string(worker.Software), current.route.Name).Observe(placement.TimeToFirstByte(g.now()).Seconds())
	if g.deliveries.recordOutcome(g.now(), recorded) {
		g.logger.Warn().Str("service", string(worker.Service)).Str("target", string(worker.Software)).
			Str("route", current.route.Name).Str("worker", string(worker.ID)).Msg("delivery_stopped")
	}
}

// geometricMean returns the geometric mean of two durations. Engine versions are compared by the
// time to the first event and the time of the whole response together: the first includes queueing,
// which hides a slow version, and the second includes prompt processing, which makes a new version
// with cold caches look slow.
func geometricMean(one, other time.Duration) time.Duration {
	return time.Duration(math.Sqrt(float64(one) * float64(other)))
}

// expectedResponseTime returns the expected time of an engine's whole response, 0 if there is no
// prediction.
func expectedResponseTime(current *callerRequest, engine *backends.EnginePlacement) time.Duration {
	if engine.Baseline <= 0 {
		return 0
	}
	tokens := current.eventCount * max(current.service.Engine.EventTokens, 1)
	return engine.Baseline + time.Duration(tokens)*backends.DefaultStep
}

// addDirectors returns members together with the gateways that direct deliveries.
func (g *Gateway) addDirectors(members []membership.Member) []membership.Member {
	for _, issuer := range g.deliveries.issuers(g.now()) {
		if slices.ContainsFunc(members, func(member membership.Member) bool { return member.Node == issuer }) {
			continue
		}
		if member, found := g.peers.View().Find(issuer); found {
			members = append(slices.Clip(members), member)
		}
	}
	return members
}

// applyDirectives applies the directives in the response to a call that began at start. Their ages
// count from there.
func (g *Gateway) applyDirectives(start time.Duration, encoded []*rpc.DeliveryDirective) {
	now := g.now()
	for _, message := range encoded {
		if directive, valid := decodeDirective(start, now, message); valid {
			g.applyDirective(directive)
		}
	}
}

// applyDirective applies a directive and logs a change.
func (g *Gateway) applyDirective(directive delivery.Directive) {
	now := g.now()
	if !g.deliveries.applyDirective(now, directive) {
		return
	}
	g.logger.Info().Str("service", string(directive.Service)).Str("target", string(directive.Target)).
		Str("stage", directive.Stage.String()).Uint64("epoch", uint64(directive.Revision.Epoch())).Uint64("revision", directive.Revision.Number()).Uint64("sequence", directive.Sequence).
		Float64("default_share", directive.DefaultShare).Str("shares", formatShares(directive.Shares)).Int("canaries", len(directive.Canaries)).
		Str("issuer", string(directive.Issuer)).Dur("age", now-directive.IssuedAt).Msg("delivery_followed")
}

// formatShares returns shares sorted by route name.
func formatShares(shares map[delivery.RouteName]float64) string {
	parts := make([]string, 0, len(shares))
	for route, share := range shares {
		parts = append(parts, string(route)+":"+strconv.FormatFloat(share, 'g', 3, 64))
	}
	slices.Sort(parts)
	return strings.Join(parts, ",")
}

// handlePushedDeliveries handles the delivery part of another gateway's call. The call may have
// waited while this process was suspended, so the age of its directives is unknown: final
// directives apply at any age, others are pulled from the sender.
func (g *Gateway) handlePushedDeliveries(report *rpc.LoadReport) {
	now := g.now()
	if report.GetDeliveriesOnly() {
		g.deliveries.addEvidence(now, fleet.NodeID(report.GetNode()), report.GetDeliveryEvidence())
	}
	for _, message := range report.GetDeliveries() {
		directive, valid := decodeDirective(now, now, message)
		switch {
		case !valid:
		case directive.Stage.IsFinal():
			g.applyDirective(directive)
		case g.deliveries.needsDirective(now, &directive):
			g.pullDeliveries(fleet.NodeID(report.GetNode()))
		}
	}
}

// pullDeliveries requests the directives of a gateway unless such a request is in flight.
func (g *Gateway) pullDeliveries(node fleet.NodeID) {
	member, found := g.peers.View().Find(node)
	if !found || !g.deliveries.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.deliveries.pulling.Store(false)
		g.exchangeDeliveries(member)
	}()
}

// deliveryReport returns a report to another gateway with deliveries alone.
func (g *Gateway) deliveryReport(to fleet.NodeID) *rpc.LoadReport {
	report := &rpc.LoadReport{Node: string(g.node), Partial: true, DeliveriesOnly: true}
	g.deliveries.writeReport(g.now(), report, to)
	return report
}

// exchangeDeliveries sends a deliveries-only report to a gateway and applies its response.
func (g *Gateway) exchangeDeliveries(member membership.Member) {
	if member.Node == g.node {
		return
	}
	ctx, cancel := context.WithTimeout(g.context(), deliveryExchangeTimeout)
	defer cancel()
	start := g.now()
	response, err := g.peers.ExchangeLoad(ctx, member.Address, g.deliveryReport(member.Node))
	if err != nil {
		g.metrics.peerFailures.Inc()
		return
	}
	g.deliveries.addEvidence(g.now(), fleet.NodeID(response.GetNode()), response.GetDeliveryEvidence())
	g.applyDirectives(start, response.GetDeliveries())
}

// announceDeliveries sends changes of this gateway's directives, and its decision to stop sending
// to a target, to all load-sharing gateways at once. It returns when the process stops.
func (g *Gateway) announceDeliveries() error {
	for {
		select {
		case <-g.deliveries.announceSignal:
		case <-g.life.Dying():
			return nil
		}
		for _, member := range g.loadPeers() {
			go g.exchangeDeliveries(member)
		}
	}
}
