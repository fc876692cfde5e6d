package router

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// errSuperseded ends a call when a later call for the same attempt arrives, since the agent has
// abandoned the earlier one.
var errSuperseded = errors.New("superseded by a later call for the same attempt")

// overloadedRetryAfter is the mean Retry-After of requests refused because of too many open calls.
const overloadedRetryAfter = time.Second

// openCall is a placement call that waits for its outcome.
type openCall struct {
	request   placement.Request
	submitted time.Duration
	// outcome is closed without a value if the call is superseded.
	outcome chan placement.Outcome
}

// placer serializes access to the placement core, delivers outcomes to waiting calls and ticks the
// core when it is due.
type placer struct {
	clock    fleet.Clock
	metrics  *metrics
	maxCalls int
	// wake signals that the core's next wake-up is earlier than the timer is set for.
	wake chan struct{}

	mutex sync.Mutex
	core  *placement.Core
	calls map[placement.Key]*openCall
	// recent keeps the block hashes of recent requests for operators.
	recent *recentRequests
	// armed is set while the timer is set for nextTickAt.
	nextTickAt time.Duration
	armed      bool
}

func newPlacer(core *placement.Core, clock fleet.Clock, metrics *metrics, maxCalls int) *placer {
	return &placer{
		clock:    clock,
		metrics:  metrics,
		maxCalls: maxCalls,
		wake:     make(chan struct{}, 1),
		core:     core,
		calls:    make(map[placement.Key]*openCall),
		recent:   newRecentRequests(),
	}
}

// do calls step with the core and delivers the resulting outcomes.
func (p *placer) do(step func(now time.Duration, core *placement.Core)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.doLocked(step)
}

// doLocked implements do. The mutex must be held.
func (p *placer) doLocked(step func(now time.Duration, core *placement.Core)) {
	now := p.clock.Now()
	step(now, p.core)
	for _, outcome := range p.core.TakeOutcomes() {
		p.deliver(now, outcome)
	}
	p.arm()
}

func (p *placer) deliver(now time.Duration, outcome placement.Outcome) {
	key := outcome.OutcomeKey()
	call := p.calls[key]
	if call == nil {
		p.abandon(now, outcome)
		return
	}
	delete(p.calls, key)
	p.metrics.observeOutcome(call.request.Class, outcome, now-call.submitted)
	call.outcome <- outcome
}

// abandon releases a grant that no call waits for.
func (p *placer) abandon(now time.Duration, outcome placement.Outcome) {
	grant, granted := outcome.(placement.Grant)
	if !granted {
		return
	}
	p.core.Report(now, placement.AttemptReport{Key: grant.Key, Run: grant.Run, Phase: placement.PhaseAbandoned})
}

// arm signals the timer if the core is due earlier than the timer is set for.
func (p *placer) arm() {
	at, due := p.core.NextWake()
	if !due || (p.armed && p.nextTickAt <= at) {
		return
	}
	p.armed = true
	p.nextTickAt = at
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run ticks the core when it is due, until dying is closed.
func (p *placer) run(dying <-chan struct{}) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-dying:
			return nil
		case <-p.wake:
		case <-timer.C:
		}
		timer.Reset(p.tick())
	}
}

// maxTickInterval is the maximum time between ticks.
const maxTickInterval = time.Second

// tick runs the core if it is due and returns the time until the next tick.
func (p *placer) tick() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.doLocked(func(now time.Duration, core *placement.Core) {
		if at, due := core.NextWake(); due && at <= now {
			core.Tick(now)
		}
	})
	at, due := p.core.NextWake()
	p.armed = due
	p.nextTickAt = at
	if !due {
		return maxTickInterval
	}
	return min(max(at-p.clock.Now(), time.Millisecond), maxTickInterval)
}

// place submits a request and waits for its outcome. If ctx ends first, it withdraws the request or
// releases its grant.
func (p *placer) place(ctx context.Context, request placement.Request) (placement.Outcome, error) {
	call := p.submit(request)
	select {
	case outcome, delivered := <-call.outcome:
		if !delivered {
			return nil, errSuperseded
		}
		return outcome, nil
	case <-ctx.Done():
		p.withdraw(call)
		return nil, ctx.Err()
	}
}

func (p *placer) submit(request placement.Request) *openCall {
	call := &openCall{request: request, outcome: make(chan placement.Outcome, 1)}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.supersede(request.Key)
	if len(p.calls) >= p.maxCalls {
		p.refuseOverload(call)
		return call
	}
	p.calls[request.Key] = call
	p.recent.add(request.Key.Request, request.Blocks)
	p.doLocked(func(now time.Duration, core *placement.Core) {
		call.submitted = now
		started := time.Now()
		core.Submit(now, request)
		p.metrics.decisionTime.Observe(time.Since(started).Seconds())
	})
	return call
}

// supersede ends an earlier call for the same attempt. The mutex must be held.
func (p *placer) supersede(key placement.Key) {
	if earlier := p.calls[key]; earlier != nil {
		close(earlier.outcome)
		delete(p.calls, key)
	}
}

// refuseOverload refuses a call without submitting it to the core.
func (p *placer) refuseOverload(call *openCall) {
	refusal := placement.Refusal{
		Key:        call.request.Key,
		Code:       resultcode.Overloaded,
		Reason:     "too many requests wait at this router",
		RetryAfter: jitter(overloadedRetryAfter),
	}
	p.metrics.observeOutcome(call.request.Class, refusal, 0)
	call.outcome <- refusal
}

// withdraw cancels a call whose agent has disconnected.
func (p *placer) withdraw(call *openCall) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	key := call.request.Key
	if p.calls[key] == call {
		delete(p.calls, key)
		p.doLocked(func(now time.Duration, core *placement.Core) { core.Withdraw(now, key) })
		p.metrics.withdrawn.Inc()
		return
	}
	select {
	case outcome, delivered := <-call.outcome:
		if delivered {
			p.doLocked(func(now time.Duration, _ *placement.Core) { p.abandon(now, outcome) })
		}
	default:
	}
}

// openCallCount returns the number of waiting calls.
func (p *placer) openCallCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.calls)
}
