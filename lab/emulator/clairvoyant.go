package emulator

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/flowcontrol"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// Clairvoyant is the upper bound: a single router that sees the exact current state of every cache
// and queue and is notified of every engine step. It runs the product's scheduler on that state
// behind the product's fair queue, and gives an engine only as much work as its next step can take,
// so that the remaining requests can still be reordered. It doesn't know future requests.
func Clairvoyant() Policy {
	return Policy{Name: PolicyClairvoyant, Routing: RouteCentral, New: newClairvoyant}
}

const (
	// clairvoyantQueueSteps bounds an engine's queued prompt work, in steps: the current one and the
	// next.
	clairvoyantQueueSteps = 2
	// clairvoyantMaxWaiting bounds the streams that wait at an engine. Beyond it they wait for memory
	// rather than for a step.
	clairvoyantMaxWaiting = 8
	// clairvoyantHoldTokens is the minimum length of a prefix in computation for which a request
	// waits until the engine has computed it.
	clairvoyantHoldTokens = 256
	// clairvoyantRetryInterval is the minimum time between two scheduling attempts for a request
	// whose engine hasn't changed or has no room.
	clairvoyantRetryInterval = 50 * time.Millisecond
	// clairvoyantScanDepth bounds the requests of a tenant and class examined in one scan.
	clairvoyantScanDepth = 32
	// clairvoyantRecomputeWeight is the cost of a recomputed token.
	clairvoyantRecomputeWeight = 75 * time.Microsecond
)

func clairvoyantOptions() scheduling.Options {
	options := scheduling.DefaultOptions()
	options.RecomputeWeight = clairvoyantRecomputeWeight
	options.CongestionWeight = 0
	return options
}

type clairvoyant struct {
	setup     Setup
	flow      *flowcontrol.Controller
	scheduler *scheduling.Scheduler
	engines   []*clairvoyantEngine
	waiting   map[placement.Key]*clairvoyantItem
	outcomes  []placement.Outcome
	nextRetry time.Duration

	chosen    *clairvoyantItem
	endpoints []scheduling.Endpoint
}

// clairvoyantItem is a waiting request.
type clairvoyantItem struct {
	request placement.Request
	rank    int
	model   config.Model
	expires time.Duration
	// engine is the engine selected by the last scheduling attempt, version its version at that time.
	engine         *clairvoyantEngine
	version        uint64
	retryAt        time.Duration
	uncachedTokens int
}

// clairvoyantEngine is an engine with the grants whose dispatch hasn't arrived there.
type clairvoyantEngine struct {
	host *engineHost
	// version counts the changes of the engine's state.
	version   uint64
	inTransit []clairvoyantGrant
	// queuedTokens is the prompt work queued at the engine and in transit, streams all its streams
	// and waiting those not running. refresh updates them.
	queuedTokens int
	streams      int
	waiting      int
	// parkedTokens is the prompt work of the requests that wait for this engine, by class rank.
	parkedTokens map[int]int
}

// clairvoyantGrant is a grant whose dispatch hasn't reached the engine.
type clairvoyantGrant struct {
	stream fleet.StreamID
	blocks []fleet.BlockHash
	tokens int
}

func newClairvoyant(setup Setup) Router {
	c := &clairvoyant{
		setup:     setup,
		flow:      flowcontrol.New(flowcontrol.Options{Random: setup.Random, ScanDepth: clairvoyantScanDepth}),
		scheduler: scheduling.New(clairvoyantOptions()),
		waiting:   make(map[placement.Key]*clairvoyantItem),
	}
	for _, host := range setup.engines {
		c.engines = append(c.engines, &clairvoyantEngine{host: host, parkedTokens: make(map[int]int)})
	}
	var policy flowcontrol.Policy
	for _, class := range setup.View.Classes() {
		policy.Classes = append(policy.Classes, flowcontrol.ClassPolicy{
			Name: class.Name, Rank: class.Rank, MaxWait: time.Duration(class.MaxWait), MinShare: class.MinShare,
		})
	}
	for _, tenant := range setup.View.Document().Tenants {
		policy.Tenants = append(policy.Tenants, flowcontrol.TenantPolicy{
			Name: tenant.Name, Weight: tenant.Weight, MaxWaiting: tenant.MaxWaiting,
		})
	}
	c.flow.ApplyPolicy(policy)
	return c
}

// Submit implements Router.
func (c *clairvoyant) Submit(now time.Duration, request placement.Request) {
	c.expire(now)
	class, _ := c.setup.View.Class(request.Class)
	model, _ := c.setup.View.Model(request.ModelVersion.Model)
	item := &clairvoyantItem{request: request, rank: class.Rank, model: model, expires: now + request.Deadline}
	refusal := c.flow.Enqueue(now, flowcontrol.Item{
		Key:      request.Key,
		Tenant:   request.Tenant,
		Class:    request.Class,
		Cost:     float64(request.PromptTokens + request.MaxTokens),
		Deadline: item.expires,
	})
	if refusal != nil {
		c.outcomes = append(c.outcomes, placement.Refusal(*refusal))
		return
	}
	c.waiting[request.Key] = item
	c.placeWaiting(now)
}

// Withdraw implements Router.
func (c *clairvoyant) Withdraw(now time.Duration, key placement.Key) bool {
	item := c.waiting[key]
	if item == nil || !c.flow.Remove(now, key) {
		return false
	}
	c.drop(item)
	return true
}

func (c *clairvoyant) drop(item *clairvoyantItem) {
	item.unpark()
	delete(c.waiting, item.request.Key)
}

func (c *clairvoyant) expire(now time.Duration) {
	for _, refusal := range c.flow.Expire(now) {
		c.drop(c.waiting[refusal.Key])
		c.outcomes = append(c.outcomes, placement.Refusal(refusal))
	}
}

// placeWaiting grants waiting requests while engines have room.
func (c *clairvoyant) placeWaiting(now time.Duration) {
	c.expire(now)
	c.nextRetry = 0
	for len(c.waiting) > 0 {
		_, found := c.flow.Next(now, func(item flowcontrol.Item) bool { return c.admit(now, c.waiting[item.Key]) })
		if !found {
			return
		}
		c.grant()
	}
}

// admit reports whether a request can be granted now, and records it with its engine in chosen.
func (c *clairvoyant) admit(now time.Duration, item *clairvoyantItem) bool {
	if item.engine != nil && now < item.retryAt && (item.version == item.engine.version || !item.engine.hasRoom(item.rank)) {
		c.scheduleRetry(item.retryAt)
		return false
	}
	if !c.anyHasRoom(item.rank) {
		return false // an engine's next step makes room
	}
	item.unpark()
	decision, found := c.schedule(now, item)
	if !found {
		return false
	}
	engine := c.engines[decision.Index]
	item.uncachedTokens = max(item.request.PromptTokens-decision.CachedTokens, 0)
	endpoint := &decision.Endpoint
	uncomputed := (endpoint.PendingBlocks - endpoint.CachedBlocks) * item.model.BlockTokens
	if !engine.hasRoom(item.rank) || uncomputed >= clairvoyantHoldTokens {
		item.park(engine, now)
		c.scheduleRetry(item.retryAt)
		return false
	}
	item.engine = engine
	c.chosen = item
	return true
}

func (c *clairvoyant) scheduleRetry(at time.Duration) {
	if c.nextRetry == 0 || at < c.nextRetry {
		c.nextRetry = at
	}
}

func (i *clairvoyantItem) park(engine *clairvoyantEngine, now time.Duration) {
	i.engine = engine
	i.version = engine.version
	i.retryAt = now + clairvoyantRetryInterval
	engine.parkedTokens[i.rank] += i.uncachedTokens
}

func (i *clairvoyantItem) unpark() {
	if i.engine != nil {
		i.engine.parkedTokens[i.rank] -= i.uncachedTokens
		i.engine = nil
	}
}

func (c *clairvoyant) anyHasRoom(rank int) bool {
	for _, engine := range c.engines {
		if engine.hasRoom(rank) {
			return true
		}
	}
	return false
}

// hasRoom reports whether an engine can take more work for its next step. Classes other than the
// most urgent may use half of the limit.
func (e *clairvoyantEngine) hasRoom(rank int) bool {
	settings := e.host.model.Config()
	limit := clairvoyantQueueSteps * settings.Costs.StepTokens
	if rank > 0 {
		limit /= 2
	}
	return !e.host.down && e.queuedTokens < limit && e.streams < settings.MaxRunning && e.waiting < clairvoyantMaxWaiting
}

// refresh updates the counters from the engine model.
func (e *clairvoyantEngine) refresh() {
	model := e.host.model
	e.queuedTokens = model.QueuedPrefillTokens()
	for _, grant := range e.inTransit {
		e.queuedTokens += grant.tokens
	}
	e.waiting = model.WaitingStreams() + len(e.inTransit)
	e.streams = model.RunningStreams() + e.waiting
}

// schedule runs the product's scheduler on the true state of all engines.
func (c *clairvoyant) schedule(now time.Duration, item *clairvoyantItem) (scheduling.Decision, bool) {
	request := &item.request
	c.endpoints = c.endpoints[:0]
	for _, engine := range c.engines {
		c.endpoints = append(c.endpoints, engine.endpoint(now, item))
	}
	return c.scheduler.Schedule(scheduling.Request{
		ID:           request.Key.Request,
		Tenant:       request.Tenant,
		Class:        request.Class,
		Rank:         item.rank,
		ModelVersion: request.ModelVersion,
		Pool:         item.model.Pool,
		AgentZone:    request.AgentZone,
		PromptTokens: request.PromptTokens,
		MaxTokens:    request.MaxTokens,
		BlockTokens:  item.model.BlockTokens,
		Excluded:     request.Excluded,
		Deadline:     max(item.expires-now, 1),
	}, c.endpoints, c.setup.Random)
}

func (e *clairvoyantEngine) endpoint(now time.Duration, item *clairvoyantItem) scheduling.Endpoint {
	model := e.host.model
	if !e.host.down {
		model.Advance(now)
	}
	costs := model.Config().Costs
	blocks := item.request.Blocks
	endpoint := scheduling.Endpoint{
		Run:             e.host.run(),
		Address:         e.host.machine.Address,
		Zone:            e.host.machine.Zone,
		Pool:            e.host.machine.Pool,
		Ready:           !e.host.down,
		Serves:          servesAll,
		InFlight:        e.streams,
		PrefillTokens:   e.queuedTokens,
		PrefillPerToken: costs.PrefillPerToken,
		Step:            costs.StepBase + time.Duration(model.RunningStreams())*costs.DecodePerToken,
		StepTokens:      costs.StepTokens,
		CachedBlocks:    model.CachedPrefix(blocks),
		PendingBlocks:   model.ExpectedPrefix(blocks),
	}
	for rank, tokens := range e.parkedTokens {
		if rank <= item.rank {
			endpoint.PrefillTokens += tokens
		}
	}
	for _, grant := range e.inTransit {
		endpoint.PendingBlocks = max(endpoint.PendingBlocks, commonPrefix(blocks, grant.blocks))
	}
	return endpoint
}

func servesAll(fleet.ModelVersion) bool { return true }

func commonPrefix(a, b []fleet.BlockHash) int {
	length := 0
	for length < min(len(a), len(b)) && a[length] == b[length] {
		length++
	}
	return length
}

// grant grants the chosen request its engine.
func (c *clairvoyant) grant() {
	item := c.chosen
	engine := item.engine
	item.engine = nil // admit has unparked the item
	key := item.request.Key
	engine.inTransit = append(engine.inTransit, clairvoyantGrant{
		stream: fleet.NewStreamID(key.Request, key.Attempt),
		blocks: item.request.Blocks,
		tokens: item.uncachedTokens,
	})
	engine.refresh()
	delete(c.waiting, key)
	c.outcomes = append(c.outcomes, placement.Grant{
		Key:      key,
		Run:      engine.host.run(),
		Address:  engine.host.machine.Address,
		Priority: item.rank,
		ValidFor: placement.DefaultGrantValid,
	})
}

// engineChanged implements engineObserver.
func (c *clairvoyant) engineChanged(now time.Duration, host *engineHost) {
	c.engines[host.index].version++
	c.engines[host.index].refresh()
	c.placeWaiting(now)
}

// dispatchArrived implements engineObserver.
func (c *clairvoyant) dispatchArrived(_ time.Duration, host *engineHost, stream fleet.StreamID) {
	engine := c.engines[host.index]
	for position, grant := range engine.inTransit {
		if grant.stream == stream {
			engine.inTransit = append(engine.inTransit[:position], engine.inTransit[position+1:]...)
			engine.refresh()
			return
		}
	}
}

// Tick implements Router.
func (c *clairvoyant) Tick(now time.Duration) { c.placeWaiting(now) }

// NextWake implements Router.
func (c *clairvoyant) NextWake() (time.Duration, bool) {
	wake, found := c.flow.NextExpiry()
	if c.nextRetry > 0 && (!found || c.nextRetry < wake) {
		return c.nextRetry, true
	}
	return wake, found
}

// TakeOutcomes implements Router.
func (c *clairvoyant) TakeOutcomes() []placement.Outcome {
	outcomes := c.outcomes
	c.outcomes = nil
	return outcomes
}

// Report implements Router. It ignores reports, since the engines are observed directly.
func (c *clairvoyant) Report(time.Duration, placement.AttemptReport) {}

// ObserveMachine implements Router.
func (c *clairvoyant) ObserveMachine(time.Duration, platform.Machine) {}

// ObserveStatus implements Router.
func (c *clairvoyant) ObserveStatus(time.Duration, engine.Status) {}

// ObserveUnreachable implements Router.
func (c *clairvoyant) ObserveUnreachable(time.Duration, fleet.EngineID) {}

// ObserveCacheEvents implements Router.
func (c *clairvoyant) ObserveCacheEvents(time.Duration, fleet.EngineID, engine.CacheEvents) {}

// ObserveCacheSnapshot implements Router.
func (c *clairvoyant) ObserveCacheSnapshot(time.Duration, fleet.EngineID, engine.CacheSnapshot) {}

// EventsAfter implements Router. It follows no events.
func (c *clairvoyant) EventsAfter(fleet.EngineID) (uint64, fleet.Incarnation, bool) {
	return 0, 0, false
}

// NeedsSnapshot implements Router.
func (c *clairvoyant) NeedsSnapshot() []fleet.EngineID { return nil }
