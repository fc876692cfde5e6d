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
	"github.com/tillerfall/tillerfall/internal/nodecapacity"
	"github.com/tillerfall/tillerfall/internal/quarantine"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/routes"
)

// Bounds on callers that hold before a configuration says more.
const (
	defaultMaxBody = 4 << 20
	// maxIDLength bounds a caller's request identifier.
	maxIDLength = 128
	// bodyTimeout bounds the time for a request's body.
	bodyTimeout = 5 * time.Second
	// defaultTimeout bounds a request whose route names no time.
	defaultTimeout = 30 * time.Second
)

// Waits that refused callers are told.
const (
	retrySoon  = 100 * time.Millisecond
	retryLater = 500 * time.Millisecond
)

// freshPart is the part of the bound on revocations up to which this node's
// knowledge counts as new enough: what the store's feed misses for a moment
// must fit into the rest.
const freshPart = 0.7

// deniedPart is the part of the bound on configurations up to which the proof of
// the one in force is new enough for a refusal for good.
const deniedPart = 0.85

// carried is one caller's request on its way.
type carried struct {
	writer   http.ResponseWriter
	request  *http.Request
	metadata Metadata
	route    *routes.Route
	service  *routes.Service
	tenant   *routes.Tenant
	body     []byte
	// fingerprint is that of the request once its body has been read.
	fingerprint quarantine.Fingerprint
	// trial is set if it is held and may be tried once.
	trial bool
	began time.Duration
	// deadline is when the final answer is due.
	deadline time.Duration
	machine  *attempt.Forwarding
	// draw is uniform in [0, 1): it decides once whether the request goes to the target of
	// a delivery.
	draw float64
	// forTarget is set if the last choice was one for the target, wasAtTarget once the
	// request was sent there.
	forTarget   bool
	wasAtTarget bool
	// atLimit is set if the last choice found a worker without room at its limit.
	atLimit bool
	// sentAt is when the last send began, events the number of events that it has brought.
	sentAt time.Duration
	events int
	// lost is the placement whose run is to go on at another engine.
	lost *backends.Placement
	// cost is what the request has taken out of its tenant's quota.
	cost float64
	// version is the configuration by which it was admitted.
	version uint64

	// lastEventID is the last event that the caller has.
	lastEventID string
	// firstSend is when the request first went to a worker.
	firstSend time.Duration
	headSent  bool
	firstByte time.Duration
	// lastEvent is when the last event went out, longestGap the longest time
	// between two of them.
	lastEvent  time.Duration
	longestGap time.Duration
	status     int
	worker     string
	result     resultcode.Code
	reason     string
}

// refusal is a failure of the gateway's own.
type refusal struct {
	code       resultcode.Code
	reason     string
	retryAfter time.Duration
}

// serveFront takes one request from a caller.
func (g *Gateway) serveFront(writer http.ResponseWriter, request *http.Request) {
	g.inFlight.Add(1)
	g.taken.Add(1)
	defer g.inFlight.Add(-1)
	g.noteSuspension()
	now := g.now()
	g.lastRequest.Store(int64(now))
	current := &carried{writer: writer, request: request, began: now, draw: rand.Float64()}
	defer g.finish(current)
	if refused := g.admit(current); refused != nil {
		g.refuse(current, *refused)
		return
	}
	// What is refused costs little. After a loss of all nodes callers are refused and come
	// back for a second, and twice as many nodes would serve as their requests need.
	g.demand.note()
	if refused := g.readBody(current); refused != nil {
		g.refuse(current, *refused)
		return
	}
	current.fingerprint = fingerprintOf(current)
	if refused := g.checkQuarantine(current); refused != nil {
		g.refuse(current, *refused)
		return
	}
	g.carry(current)
}

// admit decides whether a request may go on, by the configuration in force.
func (g *Gateway) admit(current *carried) *refusal {
	metadata, err := g.outside.Codec.Metadata(current.request.Header)
	current.metadata = metadata
	current.lastEventID = metadata.LastEventID
	g.noteUnreadable(metadata.RequestID, metadata.Unreadable)
	if err != nil {
		return &refusal{code: resultcode.HeaderInvalid, reason: err.Error()}
	}
	if len(metadata.RequestID) > maxIDLength || !strings.HasPrefix(current.request.RequestURI, "/") {
		return &refusal{code: resultcode.HeaderInvalid, reason: "malformed request"}
	}
	if g.refusesNew() {
		return &refusal{code: resultcode.Stopping, reason: "stopping", retryAfter: retrySoon}
	}
	if g.pressure.level() == nodecapacity.Full {
		return &refusal{code: resultcode.NodeFull, reason: "short of " + g.pressure.scarce().String(), retryAfter: retrySoon}
	}
	g.awaitKnown(current.request.Context())
	held := g.holder.Current()
	if held == nil || !g.workersKnown.Load() {
		return &refusal{code: resultcode.NoConfiguration, reason: "no configuration yet", retryAfter: retryLater}
	}
	current.version = uint64(held.Table.Version())
	path, _, _ := strings.Cut(current.request.RequestURI, "?")
	route, found := held.Table.Match(current.request.Host, path)
	if !found {
		return g.unlessBehind(refusal{code: resultcode.UnknownPath, reason: "no route"})
	}
	current.route = route
	if refused := g.authenticate(current, held.Table); refused != nil {
		return refused
	}
	if refused := g.chooseService(current, held.Table); refused != nil {
		return refused
	}
	return g.chargeTenant(current)
}

// authenticate finds the tenant of the request's key.
func (g *Gateway) authenticate(current *carried, table *routes.Table) *refusal {
	if current.route.Public || !table.RequiresKey() {
		return nil
	}
	if !g.mayServeKeyed() {
		return &refusal{code: resultcode.NoConfiguration, reason: "configuration too old", retryAfter: retryLater}
	}
	if current.metadata.Key == "" {
		return &refusal{code: resultcode.MissingKey, reason: "no key"}
	}
	tenant, found := table.Tenant(current.metadata.Key)
	if !found {
		return g.unlessBehind(refusal{code: resultcode.WrongKey, reason: "unknown key"})
	}
	current.tenant = tenant
	return nil
}

// mayServeKeyed tells whether this node knows the keys well enough: where a
// revocation holds everywhere, a node out of touch serves no keyed request.
func (g *Gateway) mayServeKeyed() bool {
	return !g.settings().RevokeEverywhere || g.fresh.IsWithin(g.now(), g.freshBound())
}

// freshBound is how old the proof of the configuration may be for keyed requests.
func (g *Gateway) freshBound() time.Duration {
	return time.Duration(float64(g.settings().RevokeWithin) * freshPart)
}

// unlessBehind returns a refusal for good if this node is known to be up to
// date; else one to come back after, since a newer configuration may allow it.
func (g *Gateway) unlessBehind(refused refusal) *refusal {
	if g.fresh.IsWithin(g.now(), time.Duration(float64(g.settings().ConfigureWithin)*deniedPart)) {
		return &refused
	}
	return &refusal{code: resultcode.NoConfiguration, reason: refused.reason + ", configuration too old", retryAfter: retryLater}
}

// chooseService takes the route's next service by its shares, and the times.
func (g *Gateway) chooseService(current *carried, table *routes.Table) *refusal {
	g.splitMutex.Lock()
	name, found := g.splitter.Choose(current.route)
	g.splitMutex.Unlock()
	if !found {
		return &refusal{code: resultcode.NoEngine, reason: "no service has weight", retryAfter: retryLater}
	}
	current.service, found = table.Service(name)
	if !found {
		return &refusal{code: resultcode.NoEngine, reason: "unknown service", retryAfter: retryLater}
	}
	current.deadline = current.began + defaultTimeout
	if current.route.Timeout > 0 {
		current.deadline = current.began + current.route.Timeout
	}
	if left := current.metadata.TimeLeft; left > 0 {
		current.deadline = min(current.deadline, current.began+left)
	}
	return nil
}

// readBody reads the caller's whole body: a request that may be sent again
// needs it, and a worker gets it with a length.
func (g *Gateway) readBody(current *carried) *refusal {
	request := current.request
	if request.Body == nil || request.Body == http.NoBody || request.ContentLength == 0 {
		return nil
	}
	limit := int64(defaultMaxBody)
	if held := g.holder.Current(); held != nil && held.Table.Limits().MaxBodyBytes > 0 {
		limit = held.Table.Limits().MaxBodyBytes
	}
	if request.ContentLength > limit {
		return &refusal{code: resultcode.BodyTooLarge, reason: "body of " + strconv.FormatInt(request.ContentLength, 10) + " bytes"}
	}
	control := http.NewResponseController(current.writer)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := readAll(request.Body, request.ContentLength, limit)
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case errors.Is(err, errBodyTooLarge):
		return &refusal{code: resultcode.BodyTooLarge, reason: "body too large"}
	case err != nil:
		return &refusal{code: resultcode.BodyTimeout, reason: "body incomplete: " + err.Error()}
	}
	current.body = body
	return nil
}

var errBodyTooLarge = errors.New("body too large")

// readAll reads a body of a known length, or of up to limit bytes.
func readAll(body io.Reader, length, limit int64) ([]byte, error) {
	if length > 0 {
		content := make([]byte, length)
		if _, err := io.ReadFull(body, content); err != nil {
			return nil, err
		}
		return content, nil
	}
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, errBodyTooLarge
	}
	return content, nil
}

// refuse answers with a failure of the gateway's own. A caller that is gone
// gets nothing.
func (g *Gateway) refuse(current *carried, refused refusal) {
	current.result, current.reason = refused.code, refused.reason
	if current.headSent {
		panic(http.ErrAbortHandler)
	}
	entry := resultcode.Lookup(refused.code)
	header := current.writer.Header()
	g.outside.Codec.WriteRefusal(header, current.metadata.RequestID, refused.retryAfter)
	g.markConnection(header)
	if refused.code == resultcode.BodyTimeout || refused.code == resultcode.BodyTooLarge {
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := strconv.Itoa(int(refused.code)) + " " + entry.Name + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	current.status = entry.Status
	current.writer.WriteHeader(entry.Status)
	_, _ = io.WriteString(current.writer, body)
}

// finish logs and counts a request when it has ended.
func (g *Gateway) finish(current *carried) {
	cause := recover()
	g.refundUnrun(current)
	took := g.now() - current.began
	result := current.result.String()
	if current.request.Context().Err() != nil && current.result == resultcode.OK && !current.complete() {
		result = "caller_gone"
	}
	route := ""
	if current.route != nil {
		route = current.route.Name
	}
	g.metrics.requests.WithLabelValues(route, result).Inc()
	if current.firstByte > 0 {
		g.metrics.latency.WithLabelValues(route).Observe((current.firstByte - current.began).Seconds())
	}
	line := g.events.line("request_ended").Str("request_id", current.metadata.RequestID).Str("route", route).
		Str("result", result).Int("status", current.status).Dur("took", took).Uint64("configuration", current.version)
	if current.reason != "" {
		line = line.Str("reason", current.reason)
	}
	if current.tenant != nil {
		line = line.Str("tenant", string(current.tenant.Name))
	}
	if current.machine != nil {
		line = line.Int("sends", current.machine.Sends()).Str("worker", current.worker)
	}
	if current.fingerprint != (quarantine.Fingerprint{}) {
		line = line.Str("fingerprint", current.fingerprint.Short())
	}
	if current.firstSend > 0 {
		line = line.Dur("before_send", current.firstSend-current.began)
	}
	if current.firstByte > 0 {
		line = line.Dur("first_byte", current.firstByte-current.began)
	}
	if current.longestGap > 0 {
		line = line.Dur("longest_gap", current.longestGap)
	}
	line.Msg("request_ended")
	if cause != nil {
		panic(cause)
	}
}

// complete tells whether the whole answer went out.
func (c *carried) complete() bool { return c.status != 0 && c.reason == "" }

// timeLeft returns the time until the final answer is due.
func (c *carried) timeLeft(now time.Duration) time.Duration { return c.deadline - now }

// callerGone tells whether the caller has left.
func (c *carried) callerGone() bool {
	return errors.Is(c.request.Context().Err(), context.Canceled) || hasLeft(c.request.Context())
}
