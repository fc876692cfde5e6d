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

// rival is a router of a simple kind: it gives each attempt an engine at once.
// Its queue discipline is the engines' own: each keeps a bounded queue in the
// order of class and arrival, and rejects what is over the bound. Rivals stop
// using an engine that they can't reach, until it answers again.
type rival struct {
	view    *config.View
	random  *rand.Rand
	choose  func(r *rival, request *placement.Request, candidates []*rivalEngine) *rivalEngine
	index   *prefixindex.Index
	engines []*rivalEngine
	byID    map[fleet.EngineID]*rivalEngine

	now      time.Duration
	turn     int
	outcomes []placement.Outcome
	scratch  []*rivalEngine
	matches  []prefixindex.Match
}

// rivalEngine is what a rival knows of an engine.
type rivalEngine struct {
	run         fleet.EngineRun
	machine     platform.Machine
	unreachable bool
	load        engine.Load
	// granted holds the times of the grants since the load was measured.
	granted []time.Duration
	feed    *prefixindex.Feed
}

func newRival(choose func(*rival, *placement.Request, []*rivalEngine) *rivalEngine, indexed bool) func(Setup) Router {
	return func(setup Setup) Router {
		made := &rival{
			view:   setup.View,
			random: setup.Random,
			choose: choose,
			byID:   make(map[fleet.EngineID]*rivalEngine),
			turn:   setup.Random.IntN(1 << 16),
		}
		if indexed {
			made.index = prefixindex.New(prefixindex.Options{})
		}
		return made
	}
}

// Submit implements Router.
func (r *rival) Submit(now time.Duration, request placement.Request) {
	r.now = now
	r.scratch = r.scratch[:0]
	for _, candidate := range r.engines {
		if !candidate.unreachable && !excluded(&request, candidate.run) {
			r.scratch = append(r.scratch, candidate)
		}
	}
	if len(r.scratch) == 0 {
		r.outcomes = append(r.outcomes, placement.Refusal{
			Key: request.Key, Code: resultcode.NoEngine, RetryAfter: time.Second,
		})
		return
	}
	chosen := r.choose(r, &request, r.scratch)
	chosen.granted = append(chosen.granted, now)
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
func (r *rival) ObserveMachine(_ time.Duration, machine platform.Machine) {
	added := &rivalEngine{
		run:     fleet.EngineRun{Engine: fleet.EngineID(machine.ID), Incarnation: machine.Incarnation},
		machine: machine,
	}
	r.engines = append(r.engines, added)
	r.byID[added.run.Engine] = added
	r.follow(added)
}

func (r *rival) follow(e *rivalEngine) {
	if r.index != nil {
		e.feed = prefixindex.NewFeed(r.index, e.run, prefixindex.FeedOptions{})
	}
}

// ObserveStatus implements Router.
func (r *rival) ObserveStatus(now time.Duration, status engine.Status) {
	r.now = now
	known := r.byID[status.Engine]
	known.unreachable = false
	if status.Incarnation > known.run.Incarnation {
		r.begin(known, status.Incarnation)
	}
	known.load = status.Load
	measured := time.Duration(status.Load.MeasuredAtMillis) * time.Millisecond
	for len(known.granted) > 0 && known.granted[0] <= measured {
		known.granted = known.granted[1:]
	}
}

func (r *rival) begin(known *rivalEngine, incarnation fleet.Incarnation) {
	if r.index != nil {
		r.index.RemoveRun(known.run)
	}
	known.run.Incarnation = incarnation
	known.granted = nil
	r.follow(known)
}

// ObserveUnreachable implements Router.
func (r *rival) ObserveUnreachable(_ time.Duration, id fleet.EngineID) {
	r.byID[id].unreachable = true
}

// Report implements Router.
func (r *rival) Report(_ time.Duration, report placement.AttemptReport) {
	known := r.byID[report.Run.Engine]
	if report.EngineLost && known != nil && known.run == report.Run {
		known.unreachable = true
	}
}

// ObserveCacheEvents implements Router.
func (r *rival) ObserveCacheEvents(now time.Duration, id fleet.EngineID, events engine.CacheEvents) {
	r.now = now
	if known := r.byID[id]; known.feed != nil {
		known.feed.Apply(now, events)
	}
}

// ObserveCacheSnapshot implements Router.
func (r *rival) ObserveCacheSnapshot(now time.Duration, id fleet.EngineID, snapshot engine.CacheSnapshot) {
	r.now = now
	if known := r.byID[id]; known.feed != nil {
		known.feed.ApplySnapshot(now, snapshot)
	}
}

// EventsAfter implements Router.
func (r *rival) EventsAfter(id fleet.EngineID) (uint64, fleet.Incarnation, bool) {
	known := r.byID[id]
	if known.feed == nil {
		return 0, 0, false
	}
	return known.feed.After(), known.run.Incarnation, true
}

// NeedsSnapshot implements Router.
func (r *rival) NeedsSnapshot() []fleet.EngineID {
	var wanted []fleet.EngineID
	for _, known := range r.engines {
		if known.feed == nil {
			continue
		}
		known.feed.Tick(r.now)
		if known.feed.RequestSnapshot(r.now) {
			wanted = append(wanted, known.run.Engine)
		}
	}
	return wanted
}

// Withdraw implements Router. Nothing waits here.
func (r *rival) Withdraw(time.Duration, placement.Key) bool { return false }

// Tick implements Router.
func (r *rival) Tick(time.Duration) {}

// NextWake implements Router.
func (r *rival) NextWake() (time.Duration, bool) { return 0, false }

// TakeOutcomes implements Router.
func (r *rival) TakeOutcomes() []placement.Outcome {
	outcomes := r.outcomes
	r.outcomes = nil
	return outcomes
}
