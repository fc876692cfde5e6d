// Package placement holds the decision state of a router: the engines, their load and cached
// prefixes, and the waiting requests. It combines the prefix index, the scheduler and flow control
// to choose an engine for each request. A Core has no I/O, goroutines or clock; the same calls with
// the same seed give the same outcomes. It isn't safe for concurrent use.
//
// Each engine's queue is bounded. Requests beyond the bound wait in the Core, where they can still
// be reordered.
package placement

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/flowcontrol"
	"github.com/tillerfall/tillerfall/internal/prefixindex"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// waitingRequest is a submitted request without an outcome.
type waitingRequest struct {
	request   Request
	sequence  uint64
	submitted time.Duration
	deadline  time.Duration // absolute; 0 means none
	rank      int
	// maxWait is the class's maximum wait; 0 means no bound.
	maxWait time.Duration
	model   config.Model
	// lane is the lane in which flow control queued the request. The model may have moved to
	// another pool since.
	lane flowcontrol.Lane

	// reconsiderAt is the earliest time of the next placement attempt. blockedOn is the grant whose
	// computation of a common prefix the request waits for, if any.
	reconsiderAt time.Duration
	backoffSteps int
	blockedOn    *grantState
	parkedOn     *engineState
	parkedTokens int
	// reason says why the last placement attempt failed.
	reason string
}

// Core is the decision state of a router.
type Core struct {
	options   Options
	now       time.Duration
	view      *config.View
	bestRank  int
	draining  bool
	owned     func(fleet.EngineID) bool
	flow      *flowcontrol.Controller
	index     *prefixindex.Index
	scheduler *scheduling.Scheduler

	engines map[fleet.EngineID]*engineState
	// pastRuns holds what is kept of engines that have left the machine list.
	pastRuns map[fleet.EngineID]pastRun
	// ordered lists every engine by identifier; byPool lists the owned engines of each pool that
	// aren't leaving.
	ordered []*engineState
	byPool  map[fleet.PoolName][]*engineState
	// foreign counts the engines of each pool that only other routers own.
	foreign map[fleet.PoolName]int

	waiting  map[Key]*waitingRequest
	sequence uint64

	grants      map[Key]*grantState
	grantExpiry grantHeap
	lostGrants  uint64

	outcomes []Outcome
	history  *history

	choice         choice
	infeasible     []*waitingRequest
	capacities     map[capacityKey]poolCapacity
	nextReconsider time.Duration

	matches   []prefixindex.Match
	matchStep uint64
	endpoints []scheduling.Endpoint
}

// New returns a core that owns every engine and has no configuration.
func New(options Options) *Core {
	options = options.withDefaults()
	return &Core{
		options:    options,
		owned:      func(fleet.EngineID) bool { return true },
		flow:       flowcontrol.New(options.Flow),
		index:      prefixindex.New(options.Index),
		scheduler:  scheduling.New(options.Scheduling),
		engines:    make(map[fleet.EngineID]*engineState),
		pastRuns:   make(map[fleet.EngineID]pastRun),
		byPool:     make(map[fleet.PoolName][]*engineState),
		foreign:    make(map[fleet.PoolName]int),
		waiting:    make(map[Key]*waitingRequest),
		grants:     make(map[Key]*grantState),
		history:    newHistory(options.ExplainRing),
		capacities: make(map[capacityKey]poolCapacity),
	}
}

// ApplyConfig applies a configuration. It ignores a revision that isn't higher than the current
// one. Waiting requests whose model version is no longer serving are refused.
func (c *Core) ApplyConfig(now time.Duration, view *config.View) {
	if c.view != nil && view.Revision() <= c.view.Revision() {
		return
	}
	c.view = view
	c.flow.ApplyPolicy(policyOf(view))
	c.bestRank = 0
	if classes := view.Classes(); len(classes) > 0 {
		c.bestRank = classes[0].Rank
	}
	for _, state := range c.ordered {
		c.applyDirectives(state)
		c.updatePools(state)
	}
	c.refreshRequests()
	c.recheckWaiting(now)
	c.Tick(now)
}

func policyOf(view *config.View) flowcontrol.Policy {
	var policy flowcontrol.Policy
	for _, class := range view.Classes() {
		policy.Classes = append(policy.Classes, flowcontrol.ClassPolicy{
			Name:     class.Name,
			Rank:     class.Rank,
			MaxWait:  time.Duration(class.MaxWait),
			MinShare: class.MinShare,
		})
	}
	for _, tenant := range view.Document().Tenants {
		policy.Tenants = append(policy.Tenants, flowcontrol.TenantPolicy{
			Name:       tenant.Name,
			Weight:     tenant.Weight,
			MaxWaiting: tenant.MaxWaiting,
		})
	}
	return policy
}

// refreshRequests updates the class and model settings of waiting requests. It leaves removed
// models to recheckWaiting.
func (c *Core) refreshRequests() {
	for _, waiting := range c.waiting {
		c.unpark(waiting)
		if class, found := c.view.Class(waiting.request.Class); found {
			waiting.rank = class.Rank
			waiting.maxWait = time.Duration(class.MaxWait)
		}
		if model, found := c.view.Model(waiting.request.ModelVersion.Model); found {
			waiting.model = model
		}
	}
}

// Submit requests a placement. Exactly one outcome follows, at once or later, unless Withdraw
// returns true first. Submitting a key that already waits has no effect. Submitting a key that has
// a grant releases the grant, because an agent that asks again didn't receive it.
func (c *Core) Submit(now time.Duration, request Request) {
	c.advance(now)
	if _, found := c.waiting[request.Key]; found {
		return
	}
	if grant := c.grants[request.Key]; grant != nil {
		c.endGrant(now, grant, grant.phase == 0)
	}
	waiting := &waitingRequest{request: request, submitted: now}
	if outcome := c.reject(&request); outcome != nil {
		c.conclude(waiting, outcome)
		return
	}
	c.enqueue(now, waiting)
	c.dispatchWaiting(now)
}

func (c *Core) enqueue(now time.Duration, waiting *waitingRequest) {
	request := &waiting.request
	if request.Deadline > 0 {
		waiting.deadline = now + request.Deadline
	}
	waiting.model, _ = c.view.Model(request.ModelVersion.Model)
	if class, found := c.view.Class(request.Class); found {
		waiting.rank = class.Rank
		waiting.maxWait = time.Duration(class.MaxWait)
	}
	waiting.lane = flowcontrol.Lane(waiting.model.Pool)
	if outcome := c.spill(now, waiting); outcome != nil {
		c.conclude(waiting, outcome)
		return
	}
	refusal := c.flow.Enqueue(now, flowcontrol.Item{
		Key:      request.Key,
		Tenant:   request.Tenant,
		Class:    request.Class,
		Lane:     waiting.lane,
		Cost:     float64(request.PromptTokens + request.MaxTokens),
		Deadline: waiting.deadline,
	})
	if refusal != nil {
		c.conclude(waiting, c.spillRefused(waiting, *refusal))
		return
	}
	c.sequence++
	waiting.sequence = c.sequence
	c.waiting[request.Key] = waiting
	c.concludeRefused(now)
}

// Withdraw cancels a request whose caller is gone. It reports whether the request was still
// waiting; if so, no outcome follows.
func (c *Core) Withdraw(now time.Duration, key Key) bool {
	c.advance(now)
	waiting := c.waiting[key]
	if waiting == nil || !c.flow.Remove(now, key) {
		return false
	}
	c.dequeue(waiting)
	return true
}

// Drain hands back every waiting request and all later ones. Grants in flight are still tracked.
func (c *Core) Drain(now time.Duration) {
	c.advance(now)
	c.draining = true
	for _, item := range c.flow.Drain(now) {
		c.conclude(c.waiting[item.Key], HandBack{Key: item.Key, Reason: HandBackDraining})
	}
}

// Tick does the work that is due at now. Call it at NextWake or earlier.
func (c *Core) Tick(now time.Duration) {
	c.advance(now)
	for _, state := range c.ordered {
		if state.feed != nil {
			state.feed.Tick(now)
		}
	}
	c.dispatchWaiting(now)
}

// advance moves the clock, expires overdue grants and refuses expired requests.
func (c *Core) advance(now time.Duration) {
	c.now = max(c.now, now)
	c.expireGrants(now)
	c.concludeRefused(now)
}

// concludeRefused concludes the requests that flow control refused.
func (c *Core) concludeRefused(now time.Duration) {
	for _, refusal := range c.flow.Expire(now) {
		c.conclude(c.waiting[refusal.Key], Refusal(refusal))
	}
}

// NextWake returns when Tick is next due, and false if nothing is.
func (c *Core) NextWake() (time.Duration, bool) {
	wake, found := c.flow.NextExpiry()
	consider := func(at time.Duration) {
		if !found || at < wake {
			wake, found = at, true
		}
	}
	if len(c.grantExpiry) > 0 {
		consider(c.grantExpiry[0].expires)
	}
	if len(c.waiting) > 0 && c.nextReconsider > 0 {
		consider(c.nextReconsider)
	}
	return wake, found
}

// TakeOutcomes returns the outcomes since the last call, in order.
func (c *Core) TakeOutcomes() []Outcome {
	outcomes := c.outcomes
	c.outcomes = nil
	return outcomes
}

// conclude records the outcome of a request and removes it from the queue.
func (c *Core) conclude(waiting *waitingRequest, outcome Outcome) {
	c.dequeue(waiting)
	c.outcomes = append(c.outcomes, outcome)
	c.history.add(Explanation{
		Key:          waiting.request.Key,
		Tenant:       waiting.request.Tenant,
		Class:        waiting.request.Class,
		ModelVersion: waiting.request.ModelVersion,
		Submitted:    waiting.submitted,
		Decided:      c.now,
		Outcome:      outcome,
	})
}

func (c *Core) dequeue(waiting *waitingRequest) {
	c.unpark(waiting)
	delete(c.waiting, waiting.request.Key)
}
