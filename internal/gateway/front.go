package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/nodecapacity"
	"github.com/tillerfall/tillerfall/internal/quarantine"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/streamorigin"
)

// Limits on callers' requests.
const (
	defaultMaxBodyBytes = 4 << 20
	// maxRequestIDLength bounds the request identifiers that a caller sends, in bytes.
	maxRequestIDLength = 128
	// bodyTimeout bounds the time for reading a request's body.
	bodyTimeout = 5 * time.Second
	// defaultTimeout bounds a request whose route sets no timeout.
	defaultTimeout = 30 * time.Second
)

// Retry delays in refusals.
const (
	shortRetryAfter = 100 * time.Millisecond
	longRetryAfter  = 500 * time.Millisecond
)

// freshnessFraction is the part of the revocation bound within which this gateway's configuration
// counts as fresh. The rest leaves room for short interruptions of the store feed.
const freshnessFraction = 0.7

// permanentRefusalFraction is the part of the configuration bound within which the configuration
// counts as fresh enough to refuse a request permanently.
const permanentRefusalFraction = 0.85

// callerRequest is the state of one caller's request.
type callerRequest struct {
	writer   http.ResponseWriter
	request  *http.Request
	metadata Metadata
	route    *routes.Route
	service  *routes.Service
	tenant   *routes.Tenant
	body     []byte
	// fingerprint is set once the body has been read, parts with it: the fingerprints of the shared parts
	// of the prompt.
	fingerprint quarantine.Fingerprint
	parts       []quarantine.Fingerprint
	// quarantineTrial is set if the request is quarantined and may be tried once, trialOf is what it
	// shows of then: the request or a part.
	quarantineTrial bool
	trialOf         quarantine.Fingerprint
	startedAt       time.Duration
	// deadline is when the final response is due.
	deadline time.Duration
	attempts *attempt.Forwarding
	// targetDraw is uniform in [0, 1). It decides whether the request goes to the target version of
	// a rollout; it is drawn once, so retries decide the same.
	targetDraw float64
	// placedForTarget is set if the last placement was for the target version, sentToTarget once
	// the request was sent to it.
	placedForTarget bool
	sentToTarget    bool
	// capacity is what the last placement considered; nil before the first one.
	capacity *capacity
	// sendState is that of the current send.
	sendState
	// held is a stream that another engine is to take over, until it has.
	held *openStream
	// lostPlacement is the placement of a lost run that is to be resumed at another engine.
	lostPlacement *backends.Placement
	// moved is set once a send was moved because its engine is silent, which happens once per request unless the
	// stream returns to that engine.
	moved bool
	// bodyBytes is the memory that the request holds for its body.
	bodyBytes int64
	// quotaCost is what the request was charged to its tenant's quota.
	quotaCost float64
	// configurationVersion is the version of the configuration that admitted the request.
	configurationVersion uint64

	// origin limits the request to the software version that began its stream, once the caller has
	// received an event of it.
	origin streamorigin.Constraint
	// lastEventID identifies the last event that the caller received.
	lastEventID string
	// firstSentAt is when the request was first sent to a worker.
	firstSentAt time.Duration
	headSent    bool
	firstByteAt time.Duration
	// lastEventAt is when the last event was written, longestEventGap the longest time between two
	// events.
	lastEventAt     time.Duration
	longestEventGap time.Duration
	status          int
	result          resultcode.Code
	reason          string
	// callerGone is set once the caller was found to have disconnected.
	callerGone bool
}

// sendState is the state of one send of a request to a worker.
type sendState struct {
	worker string
	// sentAt is when the send began, eventCount the number of events received from it.
	sentAt     time.Duration
	eventCount int
	// relay is the gateway through which the send goes; empty if its connection is direct.
	relay fleet.NodeID
	// watched is the send as the failure detector knows it; nil if it isn't to an engine.
	watched *watchedSend
}

// refusal is an error response that the gateway itself generates.
type refusal struct {
	code       resultcode.Code
	reason     string
	retryAfter time.Duration
	// unreadBody is set if the caller may still be sending its body.
	unreadBody bool
}

// serveFront handles one request of a caller.
func (g *Gateway) serveFront(writer http.ResponseWriter, request *http.Request) {
	g.inFlight.Add(1)
	g.requestCount.Add(1)
	defer g.inFlight.Add(-1)
	g.checkSuspension()
	now := g.now()
	g.lastRequest.Store(int64(now))
	current := &callerRequest{writer: writer, request: request, startedAt: now, targetDraw: rand.Float64()}
	defer g.finish(current)
	defer g.releaseBody(current)
	if hasRestedLongerThan(request.Context(), g.idleTimeout()) {
		// The connection ends in order instead of being closed while it rests again.
		writer.Header().Set("Connection", "close")
	}
	if refused := g.admit(current); refused != nil {
		g.refuse(current, *refused)
		return
	}
	// Refused requests are not counted: they cost little, and callers that retry after a loss of
	// all gateways would inflate the demand.
	g.demand.countRequest()
	if refused := g.readBody(current); refused != nil {
		g.refuse(current, *refused)
		return
	}
	current.fingerprint = fingerprintOf(current)
	if refused := g.checkQuarantine(current); refused != nil {
		g.refuse(current, *refused)
		return
	}
	if refused := g.bindToOrigin(current); refused != nil {
		g.refuse(current, *refused)
		return
	}
	g.forward(current)
}

// admit decides by the active configuration whether a request is accepted. It sets the route,
// tenant and service of the request.
func (g *Gateway) admit(current *callerRequest) *refusal {
	metadata, err := g.dependencies.Codec.ReadMetadata(current.request.Header)
	current.metadata = metadata
	current.lastEventID = metadata.LastEventID
	g.reportInvalidInput(metadata.RequestID, metadata.Invalid)
	if err != nil {
		return &refusal{code: resultcode.HeaderInvalid, reason: err.Error()}
	}
	if len(metadata.RequestID) > maxRequestIDLength || len(metadata.Resumes) > maxRequestIDLength || !strings.HasPrefix(current.request.RequestURI, "/") {
		return &refusal{code: resultcode.HeaderInvalid, reason: "malformed request"}
	}
	if g.refusesRequests() {
		return &refusal{code: resultcode.Stopping, reason: "stopping", retryAfter: shortRetryAfter}
	}
	if g.pressure.level() == nodecapacity.Full {
		return &refusal{code: resultcode.NodeFull, reason: "short of " + g.pressure.scarcestResource().String(), retryAfter: shortRetryAfter}
	}
	g.awaitReady(current.request.Context())
	snapshot := g.configuration.Current()
	if snapshot == nil || !g.workersKnown.Load() {
		return &refusal{code: resultcode.NoConfiguration, reason: "no configuration yet", retryAfter: longRetryAfter}
	}
	current.configurationVersion = uint64(snapshot.Table.Version())
	path, _, _ := strings.Cut(current.request.RequestURI, "?")
	route, found := snapshot.Table.Match(current.request.Host, path)
	if !found {
		return g.permanentUnlessStale(refusal{code: resultcode.UnknownPath, reason: "no route"})
	}
	current.route = route
	if refused := g.authenticate(current, snapshot.Table); refused != nil {
		return refused
	}
	if refused := g.chooseService(current, snapshot.Table); refused != nil {
		return refused
	}
	if g.mayOutlastStop(current) {
		return &refusal{code: resultcode.Stopping, reason: "may outlast the stop", retryAfter: shortRetryAfter}
	}
	if refused := g.refuseQuarantinedParts(current); refused != nil {
		return refused
	}
	return g.chargeQuota(current)
}

// authenticate finds the tenant of the request's key.
func (g *Gateway) authenticate(current *callerRequest, table *routes.Table) *refusal {
	if current.route.Public || !table.RequiresKey() {
		return nil
	}
	if !g.canServeKeyed() {
		return &refusal{code: resultcode.NoConfiguration, reason: "configuration too old", retryAfter: longRetryAfter}
	}
	if current.metadata.Key == "" {
		return &refusal{code: resultcode.MissingKey, reason: "no key"}
	}
	tenant, found := table.Tenant(current.metadata.Key)
	if !found {
		return g.permanentUnlessStale(refusal{code: resultcode.WrongKey, reason: "unknown key"})
	}
	current.tenant = tenant
	return nil
}

// canServeKeyed reports whether this gateway's configuration is fresh enough to check keys. With
// RevokeEverywhere, a gateway that cannot reach the store serves no keyed requests.
func (g *Gateway) canServeKeyed() bool {
	return !g.settings().RevokeEverywhere || g.freshness.IsWithin(g.now(), g.maxKeyedAge())
}

// maxKeyedAge returns the greatest age of the configuration at which keyed requests are served.
func (g *Gateway) maxKeyedAge() time.Duration {
	return time.Duration(float64(g.settings().RevokeWithin) * freshnessFraction)
}

// permanentUnlessStale returns the given permanent refusal if the configuration is fresh. Otherwise
// it returns one that asks the caller to retry, since a newer configuration may allow the request.
func (g *Gateway) permanentUnlessStale(refused refusal) *refusal {
	if g.freshness.IsWithin(g.now(), time.Duration(float64(g.settings().ConfigureWithin)*permanentRefusalFraction)) {
		return &refused
	}
	return &refusal{code: resultcode.NoConfiguration, reason: refused.reason + ", configuration too old", retryAfter: longRetryAfter}
}

// chooseService chooses a service of the route by the split's weights and sets the deadline.
func (g *Gateway) chooseService(current *callerRequest, table *routes.Table) *refusal {
	g.splitMutex.Lock()
	name, found := g.splitter.Choose(current.route)
	g.splitMutex.Unlock()
	if !found {
		return &refusal{code: resultcode.NoEngine, reason: "no service with positive weight", retryAfter: longRetryAfter}
	}
	current.service, found = table.Service(name)
	if !found {
		return &refusal{code: resultcode.NoEngine, reason: "unknown service", retryAfter: longRetryAfter}
	}
	current.deadline = current.startedAt + defaultTimeout
	if current.route.Timeout > 0 {
		current.deadline = current.startedAt + current.route.Timeout
	}
	if left := current.metadata.TimeLeft; left > 0 {
		current.deadline = min(current.deadline, current.startedAt+left)
	}
	return nil
}

// refuse answers with the gateway's own error. It aborts the connection if the head of a response
// was already sent.
func (g *Gateway) refuse(current *callerRequest, refused refusal) {
	current.result, current.reason = refused.code, refused.reason
	if current.headSent {
		panic(http.ErrAbortHandler)
	}
	entry := resultcode.Lookup(refused.code)
	header := current.writer.Header()
	g.dependencies.Codec.WriteRefusal(header, current.metadata.RequestID, refused.retryAfter)
	g.closeAfterResponse(header)
	if refused.code == resultcode.BodyTimeout || refused.code == resultcode.BodyTooLarge || refused.unreadBody {
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := strconv.Itoa(int(refused.code)) + " " + entry.Name + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	current.status = entry.Status
	current.writer.WriteHeader(entry.Status)
	_, _ = io.WriteString(current.writer, body)
	if refused.unreadBody {
		discardBody(current)
	}
}

// resultCallerGone is the result of a request whose caller left before its response was complete.
const resultCallerGone = "caller_gone"

// finish logs and counts a request that has ended. A request without a complete response always
// leaves its line, since a caller may ask what became of it.
func (g *Gateway) finish(current *callerRequest) {
	panicked := recover()
	g.refundIfNotRun(current)
	duration := g.now() - current.startedAt
	result := current.result.String()
	if (current.callerGone || current.request.Context().Err() != nil) && current.result == resultcode.OK && !current.isComplete() {
		result = resultCallerGone
	}
	route := ""
	if current.route != nil {
		route = current.route.Name
	}
	g.metrics.requests.WithLabelValues(route, result).Inc()
	if current.firstByteAt > 0 {
		g.metrics.latency.WithLabelValues(route).Observe((current.firstByteAt - current.startedAt).Seconds())
	}
	newLine := g.events.line
	if panicked != nil || current.status == 0 || result == resultCallerGone {
		newLine = g.events.failureLine
	}
	line := newLine("request_ended").Str("request_id", current.metadata.RequestID).Str("route", route).
		Str("result", result).Int("status", current.status).Dur("took", duration).Uint64("configuration", current.configurationVersion)
	if current.reason != "" {
		line = line.Str("reason", current.reason)
	}
	if current.tenant != nil {
		line = line.Str("tenant", string(current.tenant.Name))
	}
	if current.attempts != nil {
		line = line.Int("sends", current.attempts.Sends()).Str("worker", current.worker)
	}
	if current.metadata.Resumes != "" {
		line = line.Str("resumes", current.metadata.Resumes)
	}
	if current.fingerprint != (quarantine.Fingerprint{}) {
		line = line.Str("fingerprint", current.fingerprint.Short())
	}
	if shared := sharedParts(current.metadata.Parts); len(shared) > 0 {
		line = line.Str("parts", partNames(shared))
	}
	if current.firstSentAt > 0 {
		line = line.Dur("before_send", current.firstSentAt-current.startedAt)
	}
	if current.firstByteAt > 0 {
		line = line.Dur("first_byte", current.firstByteAt-current.startedAt)
	}
	if current.longestEventGap > 0 {
		line = line.Dur("longest_gap", current.longestEventGap)
	}
	line.Msg("request_ended")
	if panicked != nil {
		g.breakOff(current)
		panic(panicked)
	}
}

// breakOff sees to it that the caller can tell a response that ends early from a whole one. HTTP/1.0 has no chunks,
// so that a response without a length ends with its connection.
func (g *Gateway) breakOff(current *callerRequest) {
	if !current.headSent || current.request.ProtoAtLeast(1, 1) {
		return
	}
	if err := resetAtClose(current.request.Context()); err != nil {
		g.events.line("caller_not_reset").Str("request_id", current.metadata.RequestID).Err(err).Msg("caller_not_reset")
	}
}

// subject returns what the request may have in common with others that crash workers.
func (c *callerRequest) subject() quarantine.Subject {
	return quarantine.Subject{Request: c.fingerprint, Parts: c.parts}
}

// isComplete reports whether the whole response was sent.
func (c *callerRequest) isComplete() bool { return c.status != 0 && c.reason == "" }

// timeLeft returns the time until the final response is due.
func (c *callerRequest) timeLeft(now time.Duration) time.Duration { return c.deadline - now }

// isCallerGone reports whether the caller has disconnected.
func (c *callerRequest) isCallerGone() bool {
	return errors.Is(c.request.Context().Err(), context.Canceled) || hasDisconnected(c.request.Context())
}

// recordCallerGone records that the caller's connection was found closed, and how far its request had
// come.
func (g *Gateway) recordCallerGone(current *callerRequest) {
	current.reason = errCallerGone.Error()
	if g.serversClosed.Load() {
		current.result, current.reason = resultcode.StreamInterrupted, "cut by the stop"
	} else {
		current.callerGone = true
	}
	current.reason += " " + current.progress()
}

// progress tells how far a request has come.
func (c *callerRequest) progress() string {
	switch {
	case c.headSent:
		return "while relaying"
	case c.firstSentAt > 0:
		return "while waiting for the head"
	default:
		return "before placement"
	}
}
