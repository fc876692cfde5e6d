package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/traffic"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

// Constants of carrying.
const (
	// deadlineGrace is how much later than its deadline a request is broken off:
	// the worker's own word on the deadline goes first.
	deadlineGrace = 40 * time.Millisecond
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

// errLateAnswer is the cause of a send broken off at its deadline.
var errLateAnswer = errors.New("deadline passed")

// errForeign is the cause of an answer that isn't the request's own.
var errForeign = errors.Wrap(upstream.ErrForeignAnswer, "request identifier differs")

// carry sends a request to workers until there is a final answer.
func (g *Gateway) carry(current *carried) {
	current.machine = attempt.NewForwarding(current.began, attempt.ForwardingPolicy{
		Idempotent:    current.route.Idempotent() && !current.trial,
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
	if info.HasVersion && placement.Engine != nil && !info.Mismatch {
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
	return g.upstreams.Do(ctx, g.destination(current, &placement.Worker), g.outgoing(current, placement))
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
		g.noteLost(current, placement, abandonedBy(sending))
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
	case errors.Is(err, upstream.ErrTooManyConnections), errors.Is(err, errNoTarget), errors.Is(err, errUnproven), errors.Is(err, errLateAnswer):
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
	if info.Mismatch {
		outcome = backends.Mismatched
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

// messageBytes is the size of an exchange besides the request's body: headers both ways
// and an answer of some hundred bytes.
const messageBytes = 1500

// choice describes the request to the registry.
func (g *Gateway) choice(current *carried) *backends.Request {
	destination := g.destination(current, &backends.Worker{})
	request := &backends.Request{
		Service:  current.service.Name,
		Excluded: current.machine.Excluded(),
		Free: func(worker *backends.Worker) bool {
			destination.Engine, destination.Address = worker.ID, worker.Address
			return g.upstreams.Free(destination)
		},
		Bytes:    messageBytes + int(max(current.request.ContentLength, 0)),
		Versions: g.versions(current, current.wasAtTarget),
	}
	if engine := current.service.Engine; engine != nil {
		request.Engine = &backends.EngineRequest{
			ID:           fleet.RequestID(current.metadata.RequestID),
			Model:        current.metadata.Model,
			Parts:        current.metadata.Parts,
			PromptTokens: current.metadata.PromptTokens,
			OutputTokens: current.metadata.OutputTokens,
			Priority:     priorityOf(current),
			TimeLeft:     g.targetLeft(current),
			Target:       current.route.TargetLatency,
			MayRefuse:    current.machine.Sends() == 0,
			WantsCopy:    wantsCopy(current),
			EventTokens:  engine.EventTokens,
			TokenBytes:   engine.TokenBytes,
			LinkMegabits: engine.LinkMegabits,
		}
		if store := g.keptStore(current); store != nil {
			request.Engine.Store, request.Engine.StoreZone = store.Store.Address, store.Store.Zone
			request.Engine.StoreMegabits = store.Store.LinkMegabits
		}
		if current.tenant != nil {
			request.Engine.Tenant, request.Engine.Isolated = current.tenant.Name, current.tenant.Isolated
		}
	}
	return request
}

// targetLeft returns the time within which an answer should begin; 0 if the route
// names none.
func (g *Gateway) targetLeft(current *carried) time.Duration {
	if current.route.TargetLatency <= 0 {
		return 0
	}
	return max(current.began+current.route.TargetLatency-g.now(), time.Millisecond)
}

// keptStore returns the store of kept KV cache for a request's prompt, or nil:
// of several, all nodes take the same one for the same shared parts.
func (g *Gateway) keptStore(current *carried) *routes.Service {
	held := g.holder.Current()
	if held == nil {
		return nil
	}
	key := backends.PrefixName(current.metadata.Parts)
	var kept *routes.Service
	highest := uint64(0)
	for _, store := range held.Table.Stores() {
		weight := membership.RendezvousWeight(key, string(store.Store.Address))
		if kept == nil || weight > highest {
			kept, highest = store, weight
		}
	}
	return kept
}

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
func (g *Gateway) outgoing(current *carried, placement *backends.Placement) *upstream.Request {
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
		Permit: func() error {
			if err := g.permit(current, &placement.Worker); err != nil {
				return err
			}
			if left := current.timeLeft(g.now()); left < dispatch.TimeLeft-timeLeftSlack {
				dispatch.TimeLeft = left
				g.outside.Codec.WriteDispatch(header, dispatch)
			}
			return nil
		},
		Accept: func(status int, header http.Header) error {
			info := g.outside.Codec.Answer(status, header)
			if info.RequestID != id && (info.RequestID != "" || !info.NotExecuted) {
				return errForeign
			}
			return nil
		},
	}
}

// errUnproven is the cause of a send that isn't made since this node's word on keys has become
// too old.
var errUnproven = errors.New("configuration too old")

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
