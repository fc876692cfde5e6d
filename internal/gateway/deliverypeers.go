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
	// directiveOld is the age from which on a directive is asked for anew when another
	// node names it.
	directiveOld = delivery.DirectiveLifetime / 2
	// deliveryTimeout bounds one exchange about deliveries alone.
	deliveryTimeout = 250 * time.Millisecond
)

// takeOrders takes in the orders among the operator's rows, which were written at a time at
// the latest.
func (g *Gateway) takeOrders(now, at time.Duration, rows *OperatorRows) {
	for _, refused := range rows.RefusedDeliveries {
		g.refuseOrder(refused.Key, refused.Err)
	}
	for _, order := range rows.Deliveries {
		news, err := g.deliveries.order(now, at, order)
		if err != nil {
			g.refuseOrder(string(order.Service), err)
			continue
		}
		if news {
			g.logger.Info().Str("service", string(order.Service)).Str("target", string(order.Target)).
				Dur("duration", order.Duration).Uint64("revision", uint64(order.Revision)).Dur("age", now-at).Msg("delivery_ordered")
		}
	}
}

// refuseOrder logs that an order can't be used; the former state holds.
func (g *Gateway) refuseOrder(key string, err error) {
	g.logger.Error().Str("key", key).Err(err).Int("code", int(resultcode.DeliveryInvalid)).
		Str("name", resultcode.DeliveryInvalid.String()).Msg("delivery_refused")
}

// versions returns what limits a request's choice of a worker to versions of the service.
// again is set if it was at the target and is to go elsewhere.
func (g *Gateway) versions(current *carried, again bool) *delivery.Filter {
	return g.deliveries.choose(g.now(), current.service.Name, delivery.RouteName(current.route.Name), current.draw, again)
}

// errNoTarget is the cause of a send that a directive allowed which counts no more.
var errNoTarget = errors.New("target not allowed any more")

// permitTarget returns an error if a request that was chosen to go to the target may not go
// there any more: a new connection or a frozen process may have outlived the directive.
func (g *Gateway) permitTarget(current *carried, worker *backends.Worker) error {
	if current.forTarget && !g.permits(current, worker) {
		return errNoTarget
	}
	return nil
}

// permits tells whether a request that was chosen for a worker may go there still: runs of
// the old side end there, those of a target only while it may get requests.
func (g *Gateway) permits(current *carried, worker *backends.Worker) bool {
	if g.deliveries.targets(worker.Service, worker.Software) {
		choice := g.versions(current, false)
		return choice.PrefersTarget() || choice.Allows(worker.ID, worker.Software)
	}
	return !g.deliveries.condemned(g.now(), worker.Service, worker.Software)
}

// noteDelivery counts what an answer says about its worker's version. A request that was
// refused, not sent or cancelled says nothing.
func (g *Gateway) noteDelivery(current *carried, placement *backends.Placement, outcome backends.Outcome) {
	failed := outcome == backends.Failed || outcome == backends.Lost
	worker := &placement.Worker
	if g.deliveries.targets(worker.Service, worker.Software) {
		current.wasAtTarget = true
	}
	// How fast a worker with a limit answers says nothing of its version.
	if (outcome != backends.Succeeded && !failed) || (!failed && placement.Limited) || !g.deliveries.follows(worker.Service) {
		return
	}
	noted := delivery.Outcome{
		Service: worker.Service, Route: delivery.RouteName(current.route.Name), Worker: worker.ID, Version: worker.Software,
		Failed: failed, TimeToFirstByte: placement.Took(g.now()),
	}
	if placement.Engine != nil {
		whole := g.now() - current.sentAt
		noted.TimeToFirstByte = geometricMean(noted.TimeToFirstByte, whole)
		noted.Predicted = geometricMean(placement.Engine.Baseline, wholeBaseline(current, placement.Engine))
	}
	if placement.Engine != nil && noted.Predicted <= 0 && !failed {
		// A run that goes on from a copy has no prediction to compare with.
		return
	}
	result := "good"
	if failed {
		result = "failed"
	}
	g.metrics.deliveryAnswers.WithLabelValues(string(worker.Service), string(worker.Software), current.route.Name, result).Inc()
	g.metrics.deliveryLatency.WithLabelValues(string(worker.Service), string(worker.Software), current.route.Name).Observe(placement.Took(g.now()).Seconds())
	if g.deliveries.note(g.now(), noted) {
		g.logger.Warn().Str("service", string(worker.Service)).Str("target", string(worker.Software)).
			Str("route", current.route.Name).Str("worker", string(worker.ID)).Msg("delivery_stopped")
	}
}

// geometricMean returns the time whose ratio to another mean is the mean of two ratios.
// Versions of engines are compared by the first event and the whole answer together: a slow
// one shows little in the first event, where waits on the old side take as long, and a good one
// with empty caches looks slow by whole answers, where long prompts are read between its events.
func geometricMean(one, other time.Duration) time.Duration {
	return time.Duration(math.Sqrt(float64(one) * float64(other)))
}

// wholeBaseline returns what the whole answer of an engine is expected to take, 0 if that
// isn't known.
func wholeBaseline(current *carried, engine *backends.EnginePlacement) time.Duration {
	if engine.Baseline <= 0 {
		return 0
	}
	tokens := current.events * max(current.service.Engine.EventTokens, 1)
	return engine.Baseline + time.Duration(tokens)*backends.DefaultStep
}

// withDirectors returns members and those that direct deliveries besides.
func (g *Gateway) withDirectors(members []membership.Member) []membership.Member {
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

// takeDirectives takes in the directives of an answer to a call that was begun at a time:
// they aren't younger than they were then.
func (g *Gateway) takeDirectives(begun time.Duration, encoded []*rpc.DeliveryDirective) {
	now := g.now()
	for _, told := range encoded {
		if directive, readable := decodeDirective(begun, now, told); readable {
			g.takeDirective(directive)
		}
	}
}

// takeDirective takes in a directive and logs a change.
func (g *Gateway) takeDirective(directive delivery.Directive) {
	now := g.now()
	if !g.deliveries.take(now, directive) {
		return
	}
	g.logger.Info().Str("service", string(directive.Service)).Str("target", string(directive.Target)).
		Str("stage", directive.Stage.String()).Uint64("revision", uint64(directive.Revision)).Uint64("sequence", directive.Sequence).
		Float64("default_share", directive.DefaultShare).Str("shares", shareText(directive.Shares)).Int("canaries", len(directive.Canaries)).
		Str("issuer", string(directive.Issuer)).Dur("age", now-directive.IssuedAt).Msg("delivery_followed")
}

// shareText returns shares in order of the routes' names.
func shareText(shares map[delivery.RouteName]float64) string {
	parts := make([]string, 0, len(shares))
	for route, share := range shares {
		parts = append(parts, string(route)+":"+strconv.FormatFloat(share, 'g', 3, 64))
	}
	slices.Sort(parts)
	return strings.Join(parts, ",")
}

// heedPushed takes in what a call of another node tells of deliveries. The call may have
// lain here while this process stood still, so that the age of a directive isn't known:
// final ones count whatever their age, others are asked for.
func (g *Gateway) heedPushed(report *rpc.LoadReport) {
	now := g.now()
	if report.GetDeliveriesOnly() {
		g.deliveries.observe(now, fleet.NodeID(report.GetNode()), report.GetDeliveryEvidence())
	}
	for _, told := range report.GetDeliveries() {
		directive, readable := decodeDirective(now, now, told)
		switch {
		case !readable:
		case directive.Stage.IsFinal():
			g.takeDirective(directive)
		case g.deliveries.lacks(now, &directive):
			g.pullDeliveries(fleet.NodeID(report.GetNode()))
		}
	}
}

// pullDeliveries asks a node for what it knows of deliveries, unless one is being asked.
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

// deliveryReport returns what this node tells another one about deliveries alone.
func (g *Gateway) deliveryReport(to fleet.NodeID) *rpc.LoadReport {
	report := &rpc.LoadReport{Node: string(g.node), Partial: true, DeliveriesOnly: true}
	g.deliveries.write(g.now(), report, to)
	return report
}

// exchangeDeliveries tells a node about deliveries alone, and takes its answer in.
func (g *Gateway) exchangeDeliveries(member membership.Member) {
	if member.Node == g.node {
		return
	}
	ctx, cancel := context.WithTimeout(g.context(), deliveryTimeout)
	defer cancel()
	begun := g.now()
	answer, err := g.peers.ExchangeLoad(ctx, member.Address, g.deliveryReport(member.Node))
	if err != nil {
		g.metrics.shareFailures.Inc()
		return
	}
	g.deliveries.observe(g.now(), fleet.NodeID(answer.GetNode()), answer.GetDeliveryEvidence())
	g.takeDirectives(begun, answer.GetDeliveries())
}

// announceDeliveries tells all nodes that share loads at once of a changed directive of
// this node's, or that it has stopped sending to a target, until the process ends.
func (g *Gateway) announceDeliveries() error {
	for {
		select {
		case <-g.deliveries.announced:
		case <-g.life.Dying():
			return nil
		}
		for _, member := range g.loadPeers() {
			go g.exchangeDeliveries(member)
		}
	}
}
