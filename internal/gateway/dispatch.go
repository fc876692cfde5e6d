package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

// Constants of what goes to a worker.
const (
	// timeLeftSlack is by how much the time left that a worker is told may be too long: the
	// making of a connection takes some milliseconds.
	timeLeftSlack = 20 * time.Millisecond
	// connectionSharers is the number of nodes that a worker's connections are
	// divided by at the least: nodes may be added.
	connectionSharers = 10
	// tenantRanks is the width of one rank of tenants in an engine's priorities.
	tenantRanks = 3
	maxPriority = backends.Priorities - 1
	// defaultPriority is that of a tenant without one.
	defaultPriority = 1
)

// Causes of sends that aren't made, or bring nothing.
var (
	// errForeign means that an answer isn't the request's own.
	errForeign = errors.Wrap(upstream.ErrResponseMismatch, "request identifier differs")
	// errUnproven means that this node's word on keys has become too old.
	errUnproven = errors.New("configuration too old")
	// errDraining means that the worker shuts down, or has gone, since it was chosen.
	errDraining = errors.New("worker shuts down")
)

// servingPart is the part of a worker's connections that the nodes to which
// callers are sent share; the other nodes share the rest.
const servingPart = 0.6

// destination returns where to send, with this node's part of the worker's
// connections.
func (g *Gateway) destination(current *carried, worker *backends.Worker) upstream.Destination {
	destination := upstream.Destination{Engine: worker.ID, Address: worker.Address}
	if limit := current.service.MaxConnections; limit > 0 {
		destination.MaxConnections = max(int(float64(limit)*g.connectionShare()), 1)
	}
	return destination
}

// connectionShare returns the part of a worker's connections that this node may
// open.
func (g *Gateway) connectionShare() float64 {
	members, serving := g.memberCount(), g.servingCount()
	switch {
	case serving >= members:
		return 1 / float64(max(members, connectionSharers))
	case g.serves():
		return servingPart / float64(max(serving, connectionSharers))
	default:
		return (1 - servingPart) / float64(max(members-serving, connectionSharers))
	}
}

// outgoing returns the request as it goes to a worker.
func (g *Gateway) outgoing(ctx context.Context, current *carried, placement *backends.Placement) *upstream.Request {
	header := forwardedHeader(current.request.Header)
	g.outside.Codec.StripReserved(header)
	dispatch := &Dispatch{
		Worker:      placement.Worker.ID,
		TimeLeft:    current.timeLeft(g.now()),
		Priority:    priorityOf(current),
		LastEventID: current.lastEventID,
		Engine:      placement.Engine,
	}
	if current.tenant != nil {
		dispatch.Tenant = current.tenant.Name
	}
	g.outside.Codec.WriteDispatch(header, dispatch)
	id := current.metadata.RequestID
	return &upstream.Request{
		Method: current.request.Method,
		Target: current.request.RequestURI,
		Host:   current.request.Host,
		Header: header,
		Body:   current.body,
		Permit: func() error { return g.permitSend(ctx, current, &placement.Worker, dispatch, header) },
		CheckResponse: func(status int, header http.Header) error {
			info := g.outside.Codec.Answer(status, header)
			if info.RequestID != id && (info.RequestID != "" || !info.NotExecuted) {
				return errForeign
			}
			return nil
		},
	}
}

// permitSend is called right before a request is written. It corrects the time left that the
// worker is told: the making of the connection may have taken its time.
func (g *Gateway) permitSend(ctx context.Context, current *carried, worker *backends.Worker, dispatch *Dispatch, header http.Header) error {
	if err := g.permitWorker(worker); err != nil {
		return err
	}
	if err := g.permitLimit(ctx, limitPriority(current), worker); err != nil {
		return err
	}
	if err := g.permit(current, worker); err != nil {
		return err
	}
	// The question for a grant takes time.
	if err := g.permitWorker(worker); err != nil {
		return err
	}
	if g.backoffs.begin(g.now(), backoffRun(worker.ID, worker.Born)) > 0 {
		return errBackoff
	}
	if left := current.timeLeft(g.now()); left < dispatch.TimeLeft-timeLeftSlack {
		dispatch.TimeLeft = left
		g.outside.Codec.WriteDispatch(header, dispatch)
	}
	g.noteCall(worker.ID, callRequest)
	return nil
}

// permitWorker returns an error if a worker takes no requests of this node any more.
func (g *Gateway) permitWorker(worker *backends.Worker) error {
	if !g.workers.Sendable(g.now(), worker) {
		return errDraining
	}
	if g.backoffs.closed(g.now(), backoffRun(worker.ID, worker.Born)) > 0 {
		return errBackoff
	}
	return nil
}

// permit returns an error if a request may not go to its worker any more: a new connection, a
// process that stood still or a machine that was suspended may have outlived what allowed it.
func (g *Gateway) permit(current *carried, worker *backends.Worker) error {
	if current.timeLeft(g.now()) <= 0 {
		return errLateAnswer
	}
	if current.tenant != nil && !g.mayServeKeyed() {
		return errUnproven
	}
	if _, held := g.holds(current); held {
		return errQuarantined
	}
	return g.permitTarget(current, worker)
}

// priorityOf returns the priority at an engine: the tenant's rank goes before
// the route's.
func priorityOf(current *carried) int {
	rank := defaultPriority
	if current.tenant != nil && current.tenant.HasPriority {
		rank = current.tenant.Priority
	}
	priority := rank*tenantRanks + min(current.route.Priority, tenantRanks-1)
	return min(max(priority, 0), maxPriority)
}
