package gateway

import (
	"context"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/delivery"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/liveness"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/streamorigin"
)

// evaluationInterval is the time between two evaluations while requests are under way at engines. It
// is well below the time to detect a silent engine.
const evaluationInterval = 50 * time.Millisecond

// errEngineSilent is the cause of a send that is cancelled because its engine has fallen silent.
var errEngineSilent = errors.New("engine is silent")

// engineWatch tells a failure detector what is sent to engines and what comes from them. It is safe
// for concurrent use.
type engineWatch struct {
	mutex   sync.Mutex
	monitor *liveness.Monitor
	sends   map[*liveness.Run]*watchedSend
	// silentSince holds when each silent engine was last heard.
	silentSince map[fleet.EngineID]time.Duration
	// unannounced holds the silent engines that other gateways have not been told of, announcedAt
	// when they were last told of some.
	unannounced []fleet.EngineID
	announcedAt time.Duration
	// awaiting holds the sends that go on from an engine's copies once it has answered the probe under way.
	awaiting map[fleet.EngineID][]*liveness.Run
	// started holds one element after the first request under way.
	started chan struct{}
}

func newEngineWatch() *engineWatch {
	return &engineWatch{
		monitor: liveness.New(), sends: make(map[*liveness.Run]*watchedSend),
		silentSince: make(map[fleet.EngineID]time.Duration), awaiting: make(map[fleet.EngineID][]*liveness.Run),
		started: make(chan struct{}, 1),
	}
}

// watchedSend is a send to an engine. A nil *watchedSend is one that isn't watched.
type watchedSend struct {
	run       *liveness.Run
	cancel    context.CancelCauseFunc
	service   fleet.PoolName
	requestID string
	// hasElsewhere reports whether another engine could take the request now, within a constraint.
	hasElsewhere func(now time.Duration, origin streamorigin.Constraint) bool
	// origin limits the request before the first event of this send, and software is the version of the
	// engine, which limits it from then on.
	origin   streamorigin.Constraint
	software fleet.SoftwareVersion
	// canContinue reports whether the request can go on at its copy, and is nil if the copy isn't the
	// only way on after the first event.
	canContinue func(now time.Duration) bool
	// copyHolder is the engine with the copy that canContinue is about.
	copyHolder fleet.EngineID
	// moves receives an element when a stream that has begun is to continue elsewhere.
	moves chan struct{}
	// isPaid is set if the budget was charged for a move that wasn't made.
	isPaid bool
	// overBudget is set once the send was kept from moving by the retry budget.
	overBudget bool
	moved      atomic.Bool
}

// canMove reports whether there is an engine where the request could go on now.
func (s *watchedSend) canMove(now time.Duration) bool {
	switch {
	case !s.run.HasBegun():
		return s.hasElsewhere(now, s.origin)
	case s.canContinue != nil:
		return s.canContinue(now)
	default:
		return s.hasElsewhere(now, streamorigin.Only(s.software))
	}
}

// isMoved reports whether the send was cancelled because its engine is silent.
func (s *watchedSend) isMoved() bool { return s != nil && s.moved.Load() }

// watchSend begins to watch a send to an engine. The probes of rate-limited engines would count
// against their limits, so these aren't watched.
func (g *Gateway) watchSend(current *callerRequest, placement *backends.Placement, cancel context.CancelCauseFunc) *watchedSend {
	if placement.Engine == nil || placement.Limited {
		return nil
	}
	send := &watchedSend{
		cancel: cancel, service: current.service.Name, requestID: current.metadata.RequestID,
		hasElsewhere: g.elsewhere(current, placement), origin: current.origin, software: placement.Worker.Software,
		moves: make(chan struct{}, 1),
	}
	if !current.attempts.CanResume() {
		model := current.metadata.Model
		send.canContinue = func(now time.Duration) bool { return g.workers.CanContinue(now, placement, model) }
		send.copyHolder = placement.Engine.CopyTo.ID
	}
	w := g.engineWatch
	w.mutex.Lock()
	defer w.mutex.Unlock()
	send.run = w.monitor.Begin(g.now(), livenessSend(current, placement))
	w.sends[send.run] = send
	select {
	case w.started <- struct{}{}:
	default:
	}
	return send
}

// elsewhere returns the check whether another engine could take a request. It runs beside the
// request, so it only uses what is known at the send.
func (g *Gateway) elsewhere(current *callerRequest, placement *backends.Placement) func(time.Duration, streamorigin.Constraint) bool {
	request := backends.Request{
		Service: current.service.Name, Excluded: slices.Clone(current.attempts.Excluded()),
		Engine: &backends.EngineRequest{
			Model: current.metadata.Model, Priority: priorityOf(current), Deadline: g.callerWaits(current),
			PromptTokens: current.metadata.PromptTokens, OutputTokens: current.metadata.OutputTokens,
		},
	}
	capacity, avoidTarget := g.capacityFor(current), g.avoidsTargetAfter(current, placement)
	route, draw := delivery.RouteName(current.route.Name), current.targetDraw
	return func(now time.Duration, origin streamorigin.Constraint) bool {
		request := request
		request.Origin = origin
		request.Software = g.deliveries.versionFilter(now, request.Service, route, draw, avoidTarget)
		capacity.restrict(now, &request)
		return g.workers.HasElsewhere(now, &request, placement.Worker.ID)
	}
}

// livenessSend describes a send to the failure detector.
func livenessSend(current *callerRequest, placement *backends.Placement) liveness.Send {
	hasCopy := placement.Engine.CopyTo.ID != ""
	send := liveness.Send{
		Engine: placement.Worker.ID, Gap: current.route.TargetGap, Deadline: current.deadline, Target: current.deadline,
		Repeatable: !current.moved && current.attempts.CanRepeat(),
		Resumable:  !current.moved && (current.attempts.CanResume() || hasCopy),
	}
	if current.route.TargetLatency > 0 {
		send.Target = current.startedAt + current.route.TargetLatency
	}
	if current.route.Kind == routes.Streaming {
		send.Expected = placement.Engine.Predicted
	}
	return send
}

// unwatchSend ends the watch of a send.
func (g *Gateway) unwatchSend(send *watchedSend) {
	if send == nil {
		return
	}
	w := g.engineWatch
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.monitor.End(send.run)
	delete(w.sends, send.run)
}

// observeHead records the head of a watched answer.
func (g *Gateway) observeHead(send *watchedSend) {
	g.observeSign(send, func(m *liveness.Monitor, now time.Duration) { m.Head(now, send.run) })
}

// observeEvent records events of a watched stream. identified is set if it can be resumed after them.
func (g *Gateway) observeEvent(send *watchedSend, identified bool) {
	g.observeSign(send, func(m *liveness.Monitor, now time.Duration) { m.Event(now, send.run, identified) })
}

func (g *Gateway) observeSign(send *watchedSend, record func(*liveness.Monitor, time.Duration)) {
	if send == nil {
		return
	}
	w, now := g.engineWatch, g.now()
	w.mutex.Lock()
	record(w.monitor, now)
	w.mutex.Unlock()
	g.endSilence(now, send.run.Engine())
}

// observeAnswer records that an engine has answered a call other than a request.
func (g *Gateway) observeAnswer(engine fleet.EngineID) {
	w, now := g.engineWatch, g.now()
	w.mutex.Lock()
	w.monitor.Heard(now, engine)
	w.mutex.Unlock()
	g.endSilence(now, engine)
}

// observePeerAnswer records that another gateway has answered.
func (g *Gateway) observePeerAnswer() {
	w := g.engineWatch
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.monitor.PeerHeard(g.now())
}

// endSilence makes an engine available again if it was silent.
func (g *Gateway) endSilence(now time.Duration, engine fleet.EngineID) {
	w := g.engineWatch
	w.mutex.Lock()
	since, silent := w.silentSince[engine]
	delete(w.silentSince, engine)
	w.mutex.Unlock()
	if !silent {
		return
	}
	g.workers.ObserveContact(now, engine)
	g.metrics.silence.silentEngines.Dec()
	g.events.line("engine_heard").Str("worker", string(engine)).Dur("silent_for", now-since).Msg("engine_heard")
}

// clearSilences withdraws all silences, since this gateway's own links have failed.
func (g *Gateway) clearSilences() {
	w := g.engineWatch
	w.mutex.Lock()
	defer w.mutex.Unlock()
	g.metrics.silence.silentEngines.Sub(float64(len(w.silentSince)))
	clear(w.silentSince)
	w.unannounced = nil
}

// sweepSilences forgets the silence of workers that the registry no longer knows. A worker may be
// found silent after it was forgotten, while a request is under way there.
func (g *Gateway) sweepSilences() {
	w := g.engineWatch
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for engine := range w.silentSince {
		if _, known := g.workers.Worker(engine); !known {
			delete(w.silentSince, engine)
			g.metrics.silence.silentEngines.Dec()
		}
	}
}

// watchEngines evaluates the failure detector while requests are under way at engines.
func (g *Gateway) watchEngines() error {
	for {
		select {
		case <-g.engineWatch.started:
		case <-g.life.Dying():
			return nil
		}
		for g.engineWatch.isBusy() {
			if !g.pause(evaluationInterval) {
				return nil
			}
			g.evaluateEngines()
		}
	}
}

func (w *engineWatch) isBusy() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.monitor.Runs() > 0
}

// evaluateEngines carries out the verdict of the failure detector.
func (g *Gateway) evaluateEngines() {
	w, now := g.engineWatch, g.now()
	w.mutex.Lock()
	verdict := w.monitor.Evaluate(now)
	// Recorded before a sign of life can come between, which would then not end the silence.
	for index := range verdict.Silences {
		g.recordSilence(now, &verdict.Silences[index])
	}
	w.mutex.Unlock()
	for _, engine := range verdict.Probes {
		g.startProbe(now, engine)
	}
	g.moveSends(now, verdict.Moves)
	g.announceSilences(now)
}

// startProbe probes a suspected engine. It gets no requests until it has answered or the probe has
// timed out.
func (g *Gateway) startProbe(now time.Duration, engine fleet.EngineID) {
	worker, known := g.workers.Worker(engine)
	if !known {
		return
	}
	g.workers.ObserveProbe(now, liveness.ProbeTimeout, engine)
	go g.probeEngine(worker)
}

// probeEngine requests an engine's report. Any answer is a sign of life.
func (g *Gateway) probeEngine(worker backends.Worker) {
	ctx, cancel := context.WithTimeout(g.workerCallContext(g.context(), callReport, &worker), liveness.ProbeTimeout)
	defer cancel()
	_, err := g.dependencies.Engines.Report(ctx, worker)
	var failure *url.Error
	if errors.As(err, &failure) {
		g.metrics.silence.probes.WithLabelValues("unanswered").Inc()
		g.events.line("probe_failed").Str("worker", string(worker.ID)).Err(err).Msg("probe_failed")
		return
	}
	g.metrics.silence.probes.WithLabelValues("answered").Inc()
	g.observeAnswer(worker.ID)
	g.workers.ObserveContact(g.now(), worker.ID)
}

// recordSilence suspends requests to a silent engine. The mutex of engineWatch must be held.
func (g *Gateway) recordSilence(now time.Duration, silence *liveness.Silence) {
	w := g.engineWatch
	_, known := w.silentSince[silence.Engine]
	if !known {
		w.silentSince[silence.Engine] = silence.Since
		g.metrics.silence.silentEngines.Inc()
	}
	w.unannounced = append(w.unannounced, silence.Engine)
	g.workers.ObserveSilence(now, silence.Engine)
	g.events.line("engine_silent").Str("worker", string(silence.Engine)).Dur("silent_for", now-silence.Since).
		Int("under_way", silence.UnderWay).Dur("explained", silence.Explained).Bool("again", known).Msg("engine_silent")
}

// moveSends has sends at silent engines made elsewhere, as far as the retry budgets of their services
// allow.
func (g *Gateway) moveSends(now time.Duration, runs []*liveness.Run) { g.moveSendsAfter(now, runs, "") }

// moveSendsAfter is moveSends right after an engine with copies has answered a probe.
func (g *Gateway) moveSendsAfter(now time.Duration, runs []*liveness.Run, answered fleet.EngineID) {
	w := g.engineWatch
	w.mutex.Lock()
	defer w.mutex.Unlock()
	spent := make(map[fleet.PoolName]bool)
	for _, run := range runs {
		send := w.sends[run]
		if send == nil || spent[send.service] || !w.monitor.MayMove(now, run) || !send.canMove(now) {
			continue
		}
		if !send.isPaid && !g.budgets.forRequest(send.service, send.requestID).Withdraw(now) {
			spent[send.service] = true
			g.countOverBudget(send)
			continue
		}
		send.isPaid = true
		if g.awaitHolder(now, send, answered) {
			continue
		}
		w.monitor.Moved(run)
		send.isPaid = false
		send.move()
		g.metrics.silence.moves.WithLabelValues("moved").Inc()
		g.events.line("send_moved").Str("request_id", send.requestID).Str("worker", string(run.Engine())).
			Bool("begun", run.HasBegun()).Msg("send_moved")
	}
}

// move has a send made elsewhere. It's cancelled first, but for a stream that has begun: no other engine may
// take that over.
func (s *watchedSend) move() {
	if s.run.HasBegun() {
		signal(s.moves)
		return
	}
	s.moved.Store(true)
	s.cancel(errEngineSilent)
}

// countOverBudget counts a send that the retry budget keeps from moving, once however long it waits.
func (g *Gateway) countOverBudget(send *watchedSend) {
	if !send.overBudget {
		send.overBudget = true
		g.metrics.silence.moves.WithLabelValues("over_budget").Inc()
	}
}

// abandonSilent returns the next step after a send was cancelled because its engine is silent. sent is
// false if no byte of the request was written: then it can't have run, and may be moved once more.
func (g *Gateway) abandonSilent(current *callerRequest, placement *backends.Placement, sent bool) attempt.Step {
	current.attempts.PrepayRetry()
	if !sent {
		g.recordOutcome(current, placement, backends.Cancelled, errEngineSilent.Error())
		return g.notSent(current, placement)
	}
	current.moved = true
	g.recordOutcome(current, placement, backends.Silent, errEngineSilent.Error())
	return current.attempts.Unanswered(g.now(), placement.Worker.Run())
}

// abandonSilentStream is abandonSilent for a stream whose head has arrived, without an event.
func (g *Gateway) abandonSilentStream(current *callerRequest, placement *backends.Placement) attempt.Step {
	current.moved = true
	g.recordOutcome(current, placement, backends.Silent, errEngineSilent.Error())
	current.attempts.PrepayRetry()
	return current.attempts.Truncated(g.now(), placement.Worker.Run(), current.rememberCopy(placement))
}
