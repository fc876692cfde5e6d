package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

const (
	// timeLeftTolerance is by how much the time left that a worker is given may be too long before
	// it is corrected; opening a connection takes some milliseconds.
	timeLeftTolerance = 20 * time.Millisecond
	// minConnectionSharers is the least number of gateways among which a worker's connections are
	// divided, since gateways may be added.
	minConnectionSharers = 10
	// tenantRankWidth is the number of engine priorities per tenant rank.
	tenantRankWidth = 3
	maxPriority     = backends.PriorityCount - 1
	// defaultPriority is the rank of a tenant without a priority.
	defaultPriority = 1
)

// Causes of sends that are not made or whose response is discarded.
var (
	// errStaleConfiguration means that the configuration is too old to check keys.
	errStaleConfiguration = errors.New("configuration too old")
	// errCallerGone means that the caller has disconnected since the worker was chosen.
	errCallerGone = errors.New("caller gone")
	// errDraining means that the worker is draining or gone since it was chosen.
	errDraining = errors.New("worker shuts down")
	// errLinkLost means that the connection hangs since this gateway is partitioned from the workers.
	errLinkLost = errors.New("link to the worker lost")
)

// servingConnectionFraction is the part of a worker's connections that the serving gateways share;
// the other gateways share the rest.
const servingConnectionFraction = 0.6

// minRemainingOnce is for how long an idle connection must still be valid to carry a request that runs at most
// once. A worker that is silent for a second or so may close it before the request arrives, which can't be told
// from a run. TCP's retransmissions, each after twice the time, delay the request beyond the silence.
const minRemainingOnce = 3 * time.Second

// destination returns a worker's address with this gateway's share of its connections.
func (g *Gateway) destination(current *callerRequest, worker *backends.Worker) upstream.Destination {
	destination := upstream.Destination{Engine: worker.ID, Address: worker.Address}
	if current.attempts != nil && !current.attempts.CanRepeat() {
		destination.MinRemaining, destination.Patient = minRemainingOnce, true
	}
	if limit := current.service.MaxConnections; limit > 0 {
		destination.MaxConnections = max(int(float64(limit)*g.connectionShare()), 1)
	}
	return destination
}

// connectionShare returns the part of a worker's connections that this gateway may open.
func (g *Gateway) connectionShare() float64 {
	members, serving := g.memberCount(), g.servingCount()
	switch {
	case serving >= members:
		return 1 / float64(max(members, minConnectionSharers))
	case g.isServing():
		return servingConnectionFraction / float64(max(serving, minConnectionSharers))
	default:
		return (1 - servingConnectionFraction) / float64(max(members-serving, minConnectionSharers))
	}
}

// outgoingRequest returns the request as it is sent to a worker, by a send that cancel ends.
func (g *Gateway) outgoingRequest(ctx context.Context, cancel context.CancelCauseFunc, current *callerRequest, placement *backends.Placement, send *pendingSend) *upstream.Request {
	header := forwardedHeader(current.request.Header)
	g.dependencies.Codec.StripReserved(header)
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
	g.dependencies.Codec.WriteDispatch(header, dispatch)
	id := current.metadata.RequestID
	return &upstream.Request{
		Method: current.request.Method,
		Target: current.request.RequestURI,
		Host:   current.request.Host,
		Header: header,
		Body:   current.body,
		Connected: func(relay fleet.NodeID) {
			current.relay = relay
			send.direct.Store(relay == "")
		},
		Permit: func() error {
			err := g.permitSend(ctx, current, &placement.Worker, dispatch, header)
			if err == nil {
				current.beginHandover(cancel)
			}
			return err
		},
		Identify: func(status int, header http.Header) upstream.Identity {
			return identify(id, g.dependencies.Codec.ReadResponse(status, header))
		},
	}
}

// identify tells whether a response answers the request with an identifier. Only rejections may lack one,
// and the responses to requests that have none.
func identify(id string, info ResponseInfo) upstream.Identity {
	switch {
	case info.RequestID == id && id != "":
		return upstream.Identified
	case info.RequestID == "" && (info.NotExecuted || id == ""):
		return upstream.Unidentified
	default:
		return upstream.Foreign
	}
}

// permitSend checks, right before a request is written, whether it may still be sent. It corrects
// the time left in the header, since opening the connection may have taken long.
func (g *Gateway) permitSend(ctx context.Context, current *callerRequest, worker *backends.Worker, dispatch *Dispatch, header http.Header) error {
	if err := g.permitWorker(worker); err != nil {
		return err
	}
	if err := g.acquireLimitGrant(ctx, limitPriority(current), worker); err != nil {
		return err
	}
	if err := g.permitRequest(current, worker); err != nil {
		return err
	}
	// Asking for a grant takes time, so the worker is checked again.
	if err := g.permitWorker(worker); err != nil {
		return err
	}
	if g.backoffs.begin(g.now(), backoffRun(worker.ID, worker.StartTime)) > 0 {
		return errBackoff
	}
	if left := current.timeLeft(g.now()); left < dispatch.TimeLeft-timeLeftTolerance {
		dispatch.TimeLeft = left
		g.dependencies.Codec.WriteDispatch(header, dispatch)
	}
	g.countCall(worker.ID, callRequest)
	return nil
}

// permitWorker returns an error if a worker takes no more requests from this gateway.
func (g *Gateway) permitWorker(worker *backends.Worker) error {
	if !g.workers.CanSend(g.now(), worker) {
		return errDraining
	}
	if g.backoffs.remaining(g.now(), backoffRun(worker.ID, worker.StartTime)) > 0 {
		return errBackoff
	}
	return nil
}

// permitRequest returns an error if a request may no longer be sent to its worker. The conditions
// at its placement may have changed while a connection was opened, or while the process or the
// machine was suspended.
func (g *Gateway) permitRequest(current *callerRequest, worker *backends.Worker) error {
	if current.isCallerGone() {
		return errCallerGone
	}
	if current.timeLeft(g.now()) <= 0 {
		return errDeadlinePassed
	}
	if current.isHeldStreamHeard() {
		return errEngineHeard
	}
	if current.tenant != nil && !g.canServeKeyed() {
		return errStaleConfiguration
	}
	if _, quarantined := g.quarantineVerdict(current); quarantined {
		return errQuarantined
	}
	return g.checkTarget(current, worker)
}

// priorityOf returns a request's priority at an engine. The tenant's rank takes precedence over the
// route's priority. A stream that goes on is as urgent as the tenant's most urgent requests: a new one could
// begin at other engines.
func priorityOf(current *callerRequest) int {
	rank := defaultPriority
	if current.tenant != nil && current.tenant.HasPriority {
		rank = current.tenant.Priority
	}
	within := min(current.route.Priority, tenantRankWidth-1)
	if !current.origin.IsAny() {
		within = 0
	}
	priority := rank*tenantRankWidth + within
	return min(max(priority, 0), maxPriority)
}
