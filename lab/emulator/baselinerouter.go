package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/prefixindex"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// baselineRouter grants each attempt an engine immediately and leaves queueing to the engines, which
// keep a bounded queue ordered by class and arrival and reject requests beyond the bound. It doesn't
// use an unreachable engine until the engine answers again.
type baselineRouter struct {
	view    *config.View
	random  *rand.Rand
	choose  func(r *baselineRouter, request *placement.Request, candidates []*baselineEngine) *baselineEngine
	index   *prefixindex.Index
	engines []*baselineEngine
	byID    map[fleet.EngineID]*baselineEngine

	now        time.Duration
	turn       int
	outcomes   []placement.Outcome
	candidates []*baselineEngine
	matches    []prefixindex.Match
}

// baselineEngine is a baseline router's view of an engine.
type baselineEngine struct {
	run         fleet.EngineRun
	machine     platform.Machine
	unreachable bool
	load        engine.Load
	// recentGrants holds the times of the grants since the load report was measured.
	recentGrants []time.Duration
	feed         *prefixindex.Feed
}

func newBaselineRouter(choose func(*baselineRouter, *placement.Request, []*baselineEngine) *baselineEngine, indexed bool) func(Setup) Router {
	return func(setup Setup) Router {
		router := &baselineRouter{
			view:   setup.View,
			random: setup.Random,
			choose: choose,
			byID:   make(map[fleet.EngineID]*baselineEngine),
			turn:   setup.Random.IntN(1 << 16),
		}
		if indexed {
			router.index = prefixindex.New(prefixindex.Options{})
		}
		return router
	}
}

// Submit implements Router.
func (r *baselineRouter) Submit(now time.Duration, request placement.Request) {
	r.now = now
	r.candidates = r.candidates[:0]
	for _, candidate := range r.engines {
		if !candidate.unreachable && !excluded(&request, candidate.run) {
			r.candidates = append(r.candidates, candidate)
		}
	}
	if len(r.candidates) == 0 {
		r.outcomes = append(r.outcomes, placement.Refusal{
			Key: request.Key, Code: resultcode.NoEngine, RetryAfter: time.Second,
		})
		return
	}
	chosen := r.choose(r, &request, r.candidates)
	chosen.recentGrants = append(chosen.recentGrants, now)
	class, _ := r.view.Class(request.Class)
	r.outcomes = append(r.outcomes, placement.Grant{
		Key:      request.Key,
		Run:      chosen.run,
		Address:  chosen.machine.Address,
		Priority: class.Rank,
		ValidFor: placement.DefaultGrantValid,
	})
}

func excluded(request *placement.Request, run fleet.EngineRun) bool {
	for _, other := range request.Excluded {
		if other == run {
			return true
		}
	}
	return false
}

// ObserveMachine implements Router.
func (r *baselineRouter) ObserveMachine(_ time.Duration, machine platform.Machine) {
	added := &baselineEngine{
		run:     fleet.EngineRun{Engine: fleet.EngineID(machine.ID), Incarnation: machine.Incarnation},
		machine: machine,
	}
	r.engines = append(r.engines, added)
	r.byID[added.run.Engine] = added
	r.startFeed(added)
}

func (r *baselineRouter) startFeed(e *baselineEngine) {
	if r.index != nil {
		e.feed = prefixindex.NewFeed(r.index, e.run, prefixindex.FeedOptions{})
	}
}

// ObserveStatus implements Router.
func (r *baselineRouter) ObserveStatus(now time.Duration, status engine.Status) {
	r.now = now
	observed := r.byID[status.Engine]
	observed.unreachable = false
	if status.Incarnation > observed.run.Incarnation {
		r.beginRun(observed, status.Incarnation)
	}
	observed.load = status.Load
	measured := time.Duration(status.Load.MeasuredAtMillis) * time.Millisecond
	for len(observed.recentGrants) > 0 && observed.recentGrants[0] <= measured {
		observed.recentGrants = observed.recentGrants[1:]
	}
}

func (r *baselineRouter) beginRun(observed *baselineEngine, incarnation fleet.Incarnation) {
	if r.index != nil {
		r.index.RemoveRun(observed.run)
	}
	observed.run.Incarnation = incarnation
	observed.recentGrants = nil
	r.startFeed(observed)
}

// ObserveUnreachable implements Router.
func (r *baselineRouter) ObserveUnreachable(_ time.Duration, id fleet.EngineID) {
	r.byID[id].unreachable = true
}

// Report implements Router.
func (r *baselineRouter) Report(_ time.Duration, report placement.AttemptReport) {
	observed := r.byID[report.Run.Engine]
	if report.EngineLost && observed != nil && observed.run == report.Run {
		observed.unreachable = true
	}
}

// ObserveCacheEvents implements Router.
func (r *baselineRouter) ObserveCacheEvents(now time.Duration, id fleet.EngineID, events engine.CacheEvents) {
	r.now = now
	if observed := r.byID[id]; observed.feed != nil {
		observed.feed.Apply(now, events)
	}
}

// ObserveCacheSnapshot implements Router.
func (r *baselineRouter) ObserveCacheSnapshot(now time.Duration, id fleet.EngineID, snapshot engine.CacheSnapshot) {
	r.now = now
	if observed := r.byID[id]; observed.feed != nil {
		observed.feed.ApplySnapshot(now, snapshot)
	}
}

// EventsAfter implements Router.
func (r *baselineRouter) EventsAfter(id fleet.EngineID) (uint64, fleet.Incarnation, bool) {
	observed := r.byID[id]
	if observed.feed == nil {
		return 0, 0, false
	}
	return observed.feed.LastReceived(), observed.run.Incarnation, true
}

// NeedsSnapshot implements Router.
func (r *baselineRouter) NeedsSnapshot() []fleet.EngineID {
	var needed []fleet.EngineID
	for _, observed := range r.engines {
		if observed.feed == nil {
			continue
		}
		observed.feed.Tick(r.now)
		if observed.feed.RequestSnapshot(r.now) {
			needed = append(needed, observed.run.Engine)
		}
	}
	return needed
}

// Withdraw implements Router. Requests never wait at a baseline router.
func (r *baselineRouter) Withdraw(time.Duration, placement.Key) bool { return false }

// Tick implements Router.
func (r *baselineRouter) Tick(time.Duration) {}

// NextWake implements Router.
func (r *baselineRouter) NextWake() (time.Duration, bool) { return 0, false }

// TakeOutcomes implements Router.
func (r *baselineRouter) TakeOutcomes() []placement.Outcome {
	outcomes := r.outcomes
	r.outcomes = nil
	return outcomes
}
