package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/traffic"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

// deadlineGrace is how much later than its deadline a request is broken off: the worker's own
// word on the deadline goes first.
const deadlineGrace = 40 * time.Millisecond

// errLateAnswer is the cause of a send broken off at its deadline.
var errLateAnswer = errors.New("deadline passed")

// carry sends a request to workers until there is a final answer.
func (g *Gateway) carry(current *carried) {
	current.machine = attempt.NewForwarding(current.began, attempt.ForwardingPolicy{
		Idempotent:    current.route.IsIdempotent() && !current.trial,
		Resumable:     current.route.Kind == routes.Streaming && current.route.Resumable && !current.trial,
		RetryFailures: current.route.Kind == routes.Safe,
		MaxRuns:       current.route.MaxAttempts,
		Deadline:      current.deadline,
		RetryAfter:    retrySoon,
	}, g.budgets.of(current.service.Name))
	ctx, cancel := g.deadlines.with(current.request.Context(), g.now(), current.deadline+deadlineGrace)
	defer cancel()
	step := attempt.Step{Kind: attempt.StepSend}
	for {
		switch step.Kind {
		case attempt.StepSend:
			step = g.send(ctx, current)
		case attempt.StepContinue:
			step = g.continueAtCopy(ctx, current)
		case attempt.StepDeliver:
			return
		case attempt.StepFail:
			g.refuse(current, refusal{code: step.Code, reason: step.Reason, retryAfter: step.RetryAfter})
			return
		case attempt.StepBreak:
			if current.callerGone() {
				current.reason = "caller gone"
				panic(http.ErrAbortHandler)
			}
			current.result, current.reason = resultcode.StreamInterrupted, "answer broke off"
			panic(http.ErrAbortHandler)
		}
		if current.callerGone() {
			current.reason = "caller gone"
			panic(http.ErrAbortHandler)
		}
	}
}

// send chooses a worker, sends the request there and passes the answer on.
func (g *Gateway) send(ctx context.Context, current *carried) attempt.Step {
	if current.callerGone() {
		return attempt.Step{Kind: attempt.StepBreak}
	}
	g.noteSuspension()
	if verdict, held := g.holds(current); held {
		return current.machine.Barred(resultcode.Quarantined, reasonQuarantined, verdict.RetryAfter)
	}
	now := g.now()
	if current.tenant != nil && !g.mayServeKeyed() {
		return current.machine.NoWorker("configuration too old", 0)
	}
	g.requireDueSoon(now)
	choice := g.choice(current)
	current.forTarget = choice.Versions.WantsTarget()
	placement, refused := g.chooseWorker(ctx, current, choice)
	if placement == nil {
		if refused.Reason == backends.ReasonLimited {
			refused = g.closedRefusal(current, refused.RetryAfter)
		}
		return current.machine.NoWorker(refused.Reason, refused.RetryAfter)
	}
	g.chargeAgain(current)
	g.announcePlacement(placement)
	return g.sendTo(ctx, current, placement)
}

// sendTo sends the request to a chosen worker and passes the answer on.
func (g *Gateway) sendTo(ctx context.Context, current *carried, placement *backends.Placement) attempt.Step {
	current.worker = string(placement.Worker.ID)
	current.sentAt, current.events = g.now(), 0
	g.logPlacement(current, placement)
	if current.firstSend == 0 {
		current.firstSend = g.now()
		g.metrics.beforeSend.Observe((current.firstSend - current.began).Seconds())
	}
	sending, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	answer, err := g.exchangeWith(sending, cancel, current, placement)
	if err != nil {
		return g.failed(ctx, sending, current, placement, err)
	}
	defer answer.Close()
	info := g.outside.Codec.Answer(answer.Status, answer.Header)
	g.noteUnreadable(current.metadata.RequestID, info.Unreadable)
	g.noteLimit(current, &placement.Worker, info)
	g.noteAnswerNotice(&placement.Worker, current.sentAt, info)
	if info.HasVersion && placement.Engine != nil && !info.Misdirected {
		g.workers.NoteVersion(placement.Worker.ID, current.metadata.Model, info.Version)
	}
	if info.NotExecuted {
		return g.rejected(current, placement, answer, info)
	}
	if !acceptable(answer.Status, info) {
		g.ended(current, placement, backends.Lost, "answer without signature")
		return current.machine.Unanswered(g.now(), placement.Worker.Run())
	}
	return g.deliver(ctx, current, placement, answer)
}

// exchangeWith carries out one exchange up to the answer's head. Until then it
// may be broken off since the engine's weights are too old to begin on, or since the
// request is held by then.
func (g *Gateway) exchangeWith(ctx context.Context, cancel context.CancelCauseFunc, current *carried, placement *backends.Placement) (*upstream.Answer, error) {
	send := &pendingSend{cancel: cancel, fingerprint: current.fingerprint, trial: current.trial}
	if placement.Engine != nil {
		send.model, send.version = current.metadata.Model, placement.Engine.Version
	}
	g.pending.add(send)
	defer g.pending.remove(send)
	ctx = traffic.With(ctx, traffic.Requests, g.distanceTo(placement.Worker.Zone))
	return g.upstreams.Do(ctx, g.destination(current, &placement.Worker), g.outgoing(ctx, current, placement))
}

// acceptable tells whether a worker's answer may be passed on: a success must
// be signed, and so must a status that would promise that nothing ran.
func acceptable(status int, info AnswerInfo) bool {
	switch {
	case status < http.StatusMultipleChoices:
		return info.Signed
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable, status == http.StatusRequestTimeout:
		return info.Signed
	default:
		return true
	}
}

// failed takes in a send without an answer. sending is the context of the send, ctx that
// of the request.
func (g *Gateway) failed(ctx, sending context.Context, current *carried, placement *backends.Placement, err error) attempt.Step {
	run := placement.Worker.Run()
	var failure *upstream.Failure
	sent := !errors.As(err, &failure) || failure.Stage == upstream.Sent
	if sent {
		g.noteLostRun(current, placement, abandonedBy(sending))
	}
	switch {
	case current.callerGone():
		g.ended(current, placement, backends.Cancelled, "caller gone")
		return attempt.Step{Kind: attempt.StepBreak}
	case ctx.Err() != nil && sent:
		g.ended(current, placement, backends.Lost, "deadline passed")
		return current.machine.Interrupted()
	case ctx.Err() != nil:
		g.ended(current, placement, backends.Unreachable, "deadline passed")
		return current.machine.Expired()
	case (errors.Is(err, errOutdated) || errors.Is(err, errQuarantined)) && sent:
		g.ended(current, placement, backends.Cancelled, err.Error())
		return current.machine.Unanswered(g.now(), run)
	case errors.Is(err, errQuarantined):
		g.ended(current, placement, backends.Cancelled, err.Error())
		verdict := g.quarantines.check(g.now(), current.fingerprint)
		return current.machine.Barred(resultcode.Quarantined, reasonQuarantined, verdict.RetryAfter)
	case errors.Is(err, errBackoff):
		g.ended(current, placement, backends.Cancelled, err.Error())
		return current.machine.Withheld(g.now(), g.backoffs.closed(g.now(), backoffRun(placement.Worker.ID, placement.Worker.Born)))
	case errors.Is(err, errLimited):
		g.ended(current, placement, backends.Cancelled, err.Error())
		return current.machine.Withheld(g.now(), g.limits.closed(g.now(), placement.Worker.ID, limitPriority(current)))
	case errors.Is(err, upstream.ErrTooManyConnections), errors.Is(err, errNoTarget), errors.Is(err, errUnproven), errors.Is(err, errDraining),
		errors.Is(err, errLateAnswer):
		g.ended(current, placement, backends.Cancelled, err.Error())
		return current.machine.NotSent(g.now(), run)
	case !sent:
		g.noteUnreachable(placement.Worker.ID, err)
		g.ended(current, placement, backends.Unreachable, err.Error())
		return current.machine.NotSent(g.now(), run)
	default:
		g.ended(current, placement, backends.Lost, err.Error())
		return current.machine.Unanswered(g.now(), run)
	}
}

// rejected takes in a worker's word that it did not run the request.
func (g *Gateway) rejected(current *carried, placement *backends.Placement, answer *upstream.Answer, info AnswerInfo) attempt.Step {
	drain(answer)
	outcome := backends.Refused
	switch {
	case info.Misdirected:
		outcome = backends.Mismatched
	case info.RetryAfter > 0:
		outcome = backends.Deferred
	}
	g.ended(current, placement, outcome, "status "+http.StatusText(answer.Status))
	return current.machine.Rejected(g.now(), placement.Worker.Run())
}

// drainLimit bounds what is read of an answer that isn't passed on.
const drainLimit = 4 << 10

// drain reads a short answer to its end, so that its connection can be used again.
func drain(answer *upstream.Answer) {
	var buffer [512]byte
	for total := 0; total < drainLimit; {
		count, err := answer.Read(buffer[:])
		total += count
		if err != nil {
			return
		}
	}
}

// ended notes and logs how a send went.
func (g *Gateway) ended(current *carried, placement *backends.Placement, outcome backends.Outcome, cause string) {
	g.noteDelivery(current, placement, outcome)
	placement.End(g.now(), outcome)
	g.metrics.attempts.WithLabelValues(string(placement.Worker.Service), outcome.String()).Inc()
	if outcome == backends.Succeeded {
		if current.status < http.StatusMultipleChoices {
			g.noteAnswered(current)
		}
		return
	}
	g.events.line("send_failed").Str("request_id", current.metadata.RequestID).Str("worker", string(placement.Worker.ID)).
		Str("address", string(placement.Worker.Address)).Str("fingerprint", current.fingerprint.Short()).Str("outcome", outcome.String()).Str("cause", cause).
		Dur("left", current.timeLeft(g.now())).Msg("send_failed")
}

func (g *Gateway) logPlacement(current *carried, placement *backends.Placement) {
	line := g.events.line("placed").Str("request_id", current.metadata.RequestID).Str("worker", string(placement.Worker.ID)).
		Int("in_flight", placement.InFlight).Int("candidates", placement.Candidates).Int("looked_at", placement.Looked).Float64("failure_rate", placement.FailureRate)
	if engine := placement.Engine; engine != nil {
		line = line.Uint64("version", uint64(engine.Version)).Int("cached", engine.CachedTokens).
			Int("imported", engine.ImportedTokens).Int("prompt", current.metadata.PromptTokens).
			Str("scope", engine.Scope).Str("prefix", engine.Prefix).Str("import_from", string(engine.ImportFrom)).
			Str("save_to", string(engine.SaveTo)).Int("shared", engine.SharedTokens).Int("shared_parts", engine.SharedParts).Int("held_parts", engine.HeldParts).
			Int("stored_parts", engine.StoredParts).Int("most_held_parts", engine.MostHeldParts).Bool("home", engine.Home).Int("prefill_ahead", placement.PrefillTokens).
			Int("memory_used", placement.MemoryTokens).Str("copy_to", string(engine.CopyTo.ID)).Bool("continues", engine.ContinueAt != "").
			Dur("predicted", engine.Predicted)
	}
	if age, proven := g.fresh.Age(g.now()); proven {
		line = line.Dur("configuration_age", age)
	}
	line.Msg("placed")
}
