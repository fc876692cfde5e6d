package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/traffic"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

// deadlineGrace is how long after its deadline a request is cancelled. It leaves the worker time to
// report the missed deadline itself.
const deadlineGrace = 40 * time.Millisecond

// reasonUnreachable is the reason for refusing a request while no gateway reaches any worker.
const reasonUnreachable = "no_worker_reachable"

// inputResponseHead is the source of an invalid input in the metrics: the head of a worker's response.
const inputResponseHead = "response_head"

// errDeadlinePassed is the cause of a send that is cancelled at its deadline.
var errDeadlinePassed = errors.New("deadline passed")

// forward sends a request to workers until there is a final response.
func (g *Gateway) forward(current *callerRequest) {
	current.attempts = attempt.NewForwarding(current.startedAt, attempt.ForwardingPolicy{
		Idempotent:    current.route.IsIdempotent() && !current.quarantineTrial,
		Resumable:     current.route.Kind == routes.Streaming && current.route.Resumable && !current.quarantineTrial,
		RetryFailures: current.route.Kind == routes.Safe,
		MaxRuns:       current.route.MaxAttempts,
		Deadline:      current.deadline,
		RetryAfter:    shortRetryAfter,
	}, g.budgets.forRequest(current.service.Name, current.metadata.RequestID))
	ctx, cancel := g.deadlines.withDeadline(current.request.Context(), g.now(), current.deadline+deadlineGrace)
	defer cancel()
	defer g.dropHeldStream(current)
	step := attempt.Step{Kind: attempt.StepSend}
	for {
		if step.Kind != attempt.StepAbort && current.isHeldStreamHeard() {
			step = current.attempts.CalledOff(fleet.EngineRun{}, false)
		}
		switch step.Kind {
		case attempt.StepSend:
			step = g.send(ctx, current)
		case attempt.StepContinue:
			step = g.resumeAtCopy(ctx, current)
		case attempt.StepDeliver:
			return
		case attempt.StepFail:
			g.refuse(current, refusal{code: step.Code, reason: step.Reason, retryAfter: step.RetryAfter})
			return
		case attempt.StepAbort:
			if current.canReturn(ctx) {
				step = g.returnToHeldStream(ctx, current)
				break
			}
			if current.isCallerGone() {
				g.recordCallerGone(current)
				panic(http.ErrAbortHandler)
			}
			current.result, current.reason = resultcode.StreamInterrupted, "answer broke off"
			panic(http.ErrAbortHandler)
		}
		if current.isCallerGone() {
			g.recordCallerGone(current)
			panic(http.ErrAbortHandler)
		}
	}
}

// send chooses a worker, sends the request to it and relays the response.
func (g *Gateway) send(ctx context.Context, current *callerRequest) attempt.Step {
	if current.isCallerGone() {
		return attempt.Step{Kind: attempt.StepAbort}
	}
	g.checkSuspension()
	verdict, quarantined := g.quarantineVerdict(current)
	if quarantined {
		return current.attempts.Denied(resultcode.Quarantined, reasonQuarantined, verdict.RetryAfter)
	}
	if verdict.Suspected && current.attempts.MayHaveRun() && !current.headSent {
		return current.attempts.Denied(resultcode.EngineFailed, reasonSuspected, 0)
	}
	now := g.now()
	if current.tenant != nil && !g.canServeKeyed() {
		return current.attempts.NoWorker("configuration too old", 0)
	}
	if wait, unreachable := g.refuseUnreachable(); unreachable {
		return current.attempts.NoWorker(reasonUnreachable, wait)
	}
	g.refreshDueVersions(now)
	placement, refused := g.chooseWorker(ctx, current, func() *backends.Request {
		request := g.placementRequest(current)
		current.placedForTarget = request.Software.PrefersTarget()
		return request
	})
	if placement == nil {
		if current.isCallerGone() {
			return attempt.Step{Kind: attempt.StepAbort}
		}
		if ctx.Err() != nil {
			return current.attempts.Expired()
		}
		if refused.Reason == backends.ReasonLimited {
			refused = g.unavailableRefusal(current, refused.RetryAfter)
		}
		if refused.Reason == backends.ReasonNoWorker && !current.origin.IsAny() {
			refused = backends.Refusal{Reason: reasonNoneAtOrigin, RetryAfter: longRetryAfter}
		}
		if refused.Reason == backends.ReasonLate {
			g.reportLateRefusal(current, &refused)
		}
		return current.attempts.NoWorker(refused.Reason, refused.RetryAfter)
	}
	g.chargeRerun(current)
	g.announcePlacement(placement)
	return g.sendTo(ctx, current, placement)
}

// sendTo sends the request to a chosen worker and relays the response.
func (g *Gateway) sendTo(ctx context.Context, current *callerRequest, placement *backends.Placement) attempt.Step {
	current.worker = string(placement.Worker.ID)
	current.sentAt, current.eventCount, current.relay = g.now(), 0, ""
	g.logPlacement(current, placement)
	if current.firstSentAt == 0 {
		current.firstSentAt = g.now()
		g.metrics.beforeSend.Observe((current.firstSentAt - current.startedAt).Seconds())
	}
	sending, cancel := context.WithCancelCause(ctx)
	current.watched = g.watchSend(current, placement, cancel)
	send := &openSend{placement: placement, cancel: cancel, watched: current.watched}
	defer g.endSend(current, send)
	response, err := g.exchangeWith(sending, cancel, current, placement)
	if err != nil {
		return g.handleSendError(ctx, sending, current, placement, err)
	}
	send.response = response
	if errors.Is(context.Cause(sending), errEngineHeard) {
		g.recordOutcome(current, placement, backends.Cancelled, errEngineHeard.Error())
		return current.attempts.CalledOff(placement.Worker.Run(), true)
	}
	g.links.recordHeard(g.now(), current.relay)
	g.observeHead(current.watched)
	info := g.dependencies.Codec.ReadResponse(response.Status, response.Header)
	g.reportInvalidInput(current.metadata.RequestID, info.Invalid)
	g.observeLimit(current, &placement.Worker, info)
	g.applyResponseNotice(&placement.Worker, current.sentAt, info)
	if info.HasVersion && placement.Engine != nil && !info.Misdirected {
		g.workers.ObserveVersion(placement.Worker.ID, current.metadata.Model, info.Version)
	}
	if info.NotExecuted {
		return g.handleRejection(current, placement, response, info)
	}
	if !isAcceptable(response.Status, info) {
		g.recordOutcome(current, placement, backends.Lost, "answer without signature")
		return current.attempts.Unanswered(g.now(), placement.Worker.Run())
	}
	return g.deliver(ctx, current, send)
}

// openSend is a send with what is to be released at its end.
type openSend struct {
	placement *backends.Placement
	// response is nil until its head has arrived.
	response *upstream.Response
	watched  *watchedSend
	cancel   context.CancelCauseFunc
}

// endSend releases a send unless it's held open.
func (g *Gateway) endSend(current *callerRequest, send *openSend) {
	if current.held != nil && current.held.send == send {
		return
	}
	if send.response != nil {
		send.response.Close()
	}
	g.unwatchSend(send.watched)
	send.cancel(nil)
}

// exchangeWith sends the request and waits for the head of the response. Until the head arrives,
// the send may be cancelled because the engine's model version has become too old or the request
// has been quarantined.
func (g *Gateway) exchangeWith(ctx context.Context, cancel context.CancelCauseFunc, current *callerRequest, placement *backends.Placement) (*upstream.Response, error) {
	send := &pendingSend{
		cancel: cancel, subject: current.subject(), quarantineTrial: current.quarantineTrial,
		reserveMove: g.reserveMove(current, placement),
	}
	if placement.Engine != nil && placement.Engine.ContinueAt == "" {
		send.model, send.version = current.metadata.Model, placement.Engine.Version
	}
	g.pending.add(send)
	defer g.pending.remove(send)
	defer g.checkLinkAfter(&placement.Worker)()
	ctx = traffic.With(ctx, traffic.Requests, g.distanceTo(placement.Worker.Zone))
	destination := g.destination(current, &placement.Worker)
	if placement.Engine != nil && placement.Engine.ContinueAt != "" {
		// No other engine can continue the run, so this gateway's share of connections doesn't apply.
		destination.MaxConnections = 0
	}
	defer current.endHandover()
	return g.upstreams.Do(ctx, destination, g.outgoingRequest(ctx, cancel, current, placement, send))
}

// isAcceptable reports whether a worker's response may be passed on. A success must be signed, and
// so must a status that implies that the request did not run.
func isAcceptable(status int, info ResponseInfo) bool {
	switch {
	case status < http.StatusMultipleChoices:
		return info.Signed
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable, status == http.StatusRequestTimeout:
		return info.Signed
	default:
		return true
	}
}

// handleSendError returns the next step after a send that brought no response. sending is the
// context of the send, ctx that of the request.
func (g *Gateway) handleSendError(ctx, sending context.Context, current *callerRequest, placement *backends.Placement, err error) attempt.Step {
	run := placement.Worker.Run()
	var failure *upstream.ExchangeError
	sent := !errors.As(err, &failure) || failure.Stage == upstream.Sent
	if failure != nil && sent {
		g.events.line("exchange_failed").Str("request_id", current.metadata.RequestID).Str("worker", string(placement.Worker.ID)).
			Str("relay", string(current.relay)).Bool("reused", failure.Reused).Dur("idle", failure.Idle).Err(failure.Cause).Msg("exchange_failed")
	}
	g.reportOversizedHead(current, placement, err)
	moved := current.watched.isMoved()
	if sent && !moved && !errors.Is(err, errEngineHeard) {
		g.recordLostRun(current, placement, lossOf(sending))
	}
	switch {
	case errors.Is(err, errCallerGone) || current.isCallerGone():
		g.recordOutcome(current, placement, backends.Cancelled, errCallerGone.Error())
		return attempt.Step{Kind: attempt.StepAbort}
	case ctx.Err() != nil && sent:
		g.recordOutcome(current, placement, backends.Lost, "deadline passed")
		return current.attempts.TimedOut()
	case ctx.Err() != nil:
		g.recordOutcome(current, placement, backends.Unreachable, "deadline passed")
		return current.attempts.Expired()
	case moved:
		return g.abandonSilent(current, placement, sent)
	case (errors.Is(err, errStaleVersion) || errors.Is(err, errQuarantined)) && sent:
		g.recordOutcome(current, placement, backends.Cancelled, err.Error())
		return current.attempts.Unanswered(g.now(), run)
	case errors.Is(err, errLinkLost) && sent:
		current.attempts.PrepayRetry()
		g.recordOutcome(current, placement, backends.Disconnected, err.Error())
		return current.attempts.Unanswered(g.now(), run)
	case errors.Is(err, errEngineHeard):
		g.recordOutcome(current, placement, backends.Cancelled, err.Error())
		return current.attempts.CalledOff(run, sent)
	case errors.Is(err, errNoPath):
		g.recordOutcome(current, placement, backends.Disconnected, err.Error())
		return current.attempts.NoWorker(err.Error(), g.relays.availableIn(g.now()))
	case errors.Is(err, errQuarantined):
		g.recordOutcome(current, placement, backends.Cancelled, err.Error())
		verdict := g.quarantines.check(g.now(), current.subject())
		return current.attempts.Denied(resultcode.Quarantined, reasonQuarantined, verdict.RetryAfter)
	case errors.Is(err, errBackoff):
		g.recordOutcome(current, placement, backends.Cancelled, err.Error())
		return current.attempts.Throttled(g.now(), g.backoffs.remaining(g.now(), backoffRun(placement.Worker.ID, placement.Worker.StartTime)))
	case errors.Is(err, errLimited):
		g.recordOutcome(current, placement, backends.Cancelled, err.Error())
		return current.attempts.Throttled(g.now(), g.limits.closedFor(g.now(), placement.Worker.ID, limitPriority(current)))
	case errors.Is(err, upstream.ErrTooManyConnections), errors.Is(err, errTargetNotAllowed), errors.Is(err, errStaleConfiguration), errors.Is(err, errDraining),
		errors.Is(err, errDeadlinePassed):
		g.recordOutcome(current, placement, backends.Cancelled, err.Error())
		return g.notSent(current, placement)
	case !sent && (current.relay != "" || errors.Is(err, errLinkLost)):
		g.recordOutcome(current, placement, backends.Disconnected, err.Error())
		return g.notSent(current, placement)
	case !sent:
		g.recordOutcome(current, placement, backends.Unreachable, err.Error())
		g.recordUnreachable(placement.Worker.ID, err)
		return g.notSent(current, placement)
	default:
		g.recordOutcome(current, placement, backends.Lost, err.Error())
		return current.attempts.Unanswered(g.now(), run)
	}
}

// notSent returns the next step after a send of which no byte was written.
func (g *Gateway) notSent(current *callerRequest, placement *backends.Placement) attempt.Step {
	if placement.Avoided {
		return current.attempts.AvoidedNotSent(g.now(), placement.Worker.Run())
	}
	return current.attempts.NotSent(g.now(), placement.Worker.Run())
}

// reportOversizedHead logs and counts a response whose head exceeds its bound.
func (g *Gateway) reportOversizedHead(current *callerRequest, placement *backends.Placement, err error) {
	if !errors.Is(err, upstream.ErrHeadTooLarge) {
		return
	}
	g.metrics.invalidInputs.WithLabelValues(inputResponseHead).Inc()
	g.events.line("response_head_too_large").Str("request_id", current.metadata.RequestID).Str("worker", string(placement.Worker.ID)).
		Str("address", string(placement.Worker.Address)).Int("limit", upstream.MaxResponseHeadBytes).Msg("response_head_too_large")
}

// handleRejection returns the next step after a worker reported that it did not run the request.
func (g *Gateway) handleRejection(current *callerRequest, placement *backends.Placement, response *upstream.Response, info ResponseInfo) attempt.Step {
	drainResponse(response)
	outcome := backends.Refused
	if !info.Misdirected && info.RetryAfter == 0 {
		g.rejections.recordRejection(g.now(), &placement.Worker)
	}
	switch {
	case info.Misdirected:
		outcome = backends.Mismatched
	case info.RetryAfter > 0:
		outcome = backends.Deferred
	}
	g.recordOutcome(current, placement, outcome, "status "+http.StatusText(response.Status))
	return current.attempts.Rejected(g.now(), placement.Worker.Run())
}

// maxDrainBytes bounds how much is read of a response that is not passed on.
const maxDrainBytes = 4 << 10

// drainResponse reads a short response to its end, so that its connection can be reused.
func drainResponse(response *upstream.Response) {
	var buffer [512]byte
	for total := 0; total < maxDrainBytes; {
		count, err := response.Read(buffer[:])
		total += count
		if err != nil {
			return
		}
	}
}

// recordOutcome records and logs the outcome of a send. A response that was lost on a link of this
// gateway isn't held against its worker.
func (g *Gateway) recordOutcome(current *callerRequest, placement *backends.Placement, outcome backends.Outcome, cause string) {
	if outcome == backends.Lost && g.isOwnFailure(placement.Worker.ID, current.relay) {
		outcome = backends.Disconnected
	}
	g.recordDeliveryOutcome(current, placement, outcome)
	placement.End(g.now(), outcome)
	g.metrics.attempts.WithLabelValues(string(placement.Worker.Service), outcome.String()).Inc()
	if outcome == backends.Succeeded {
		g.rejections.recordDuration(placement.Worker.Service, g.now()-current.sentAt)
		g.observeFirstToken(placement)
		if current.status < http.StatusMultipleChoices {
			g.recordCompleteResponse(current)
		}
		return
	}
	g.events.line("send_failed").Str("request_id", current.metadata.RequestID).Str("worker", string(placement.Worker.ID)).
		Str("address", string(placement.Worker.Address)).Str("fingerprint", current.fingerprint.Short()).
		Str("parts", partNames(sharedParts(current.metadata.Parts))).Str("outcome", outcome.String()).Str("cause", cause).
		Dur("left", current.timeLeft(g.now())).Msg("send_failed")
}

func (g *Gateway) logPlacement(current *callerRequest, placement *backends.Placement) {
	line := g.events.line("placed").Str("request_id", current.metadata.RequestID).Str("worker", string(placement.Worker.ID)).
		Int("in_flight", placement.InFlight).Int("candidates", placement.Candidates).Int("looked_at", placement.Examined).Float64("failure_rate", placement.FailureRate).
		Str("software", string(placement.Worker.Software)).Str("after_event", current.lastEventID)
	if engine := placement.Engine; engine != nil {
		line = line.Uint64("version", uint64(engine.Version)).Int("cached", engine.CachedTokens).
			Int("imported", engine.ImportedTokens).Int("prompt", current.metadata.PromptTokens).
			Str("scope", engine.Scope).Str("prefix", engine.Prefix).Str("import_from", string(engine.ImportFrom)).
			Str("save_to", string(engine.SaveTo)).Int("shared", engine.SharedTokens).Int("shared_parts", engine.SharedParts).Int("held_parts", engine.HeldParts).
			Int("stored_parts", engine.StoredParts).Int("most_held_parts", engine.MostHeldParts).Bool("home", engine.Home).Int("prefill_ahead", placement.PrefillTokens).
			Int("memory_used", placement.MemoryTokens).Str("copy_to", string(engine.CopyTo.ID)).Bool("continues", engine.ContinueAt != "").
			Dur("predicted", engine.Predicted).Float64("speed_factor", engine.Speed.Prefill).Float64("speed_samples", engine.Speed.Samples)
	}
	if age, proven := g.freshness.Age(g.now()); proven {
		line = line.Dur("configuration_age", age)
	}
	line.Msg("placed")
}
