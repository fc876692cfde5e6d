package delivery

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// standardScenario is a delivery of 20 s at 700 requests per second.
func standardScenario(seed uint64) scenario {
	return scenario{
		seed:     seed,
		nodes:    12,
		workers:  20,
		slots:    12,
		duration: 20 * time.Second,
		rate:     700,
		routes:   map[RouteName]float64{"a": 0.75, "b": 0.2, "c": 0.05},
	}
}

// badFrom returns a function that makes half of the target's responses bad from the given time on.
func badFrom(from time.Duration) func(time.Duration, RouteName, float64) float64 {
	return func(at time.Duration, _ RouteName, _ float64) float64 {
		if at < from {
			return 0
		}
		return 0.5
	}
}

// stageTimes are times before, during and after each stage of the standard delivery.
var stageTimes = []time.Duration{
	50 * time.Millisecond, 700 * time.Millisecond, 5 * time.Second, 10 * time.Second, 17500 * time.Millisecond,
	18700 * time.Millisecond, 19 * time.Second, 19800 * time.Millisecond, 20 * time.Second,
}

// requireInvariants checks the invariants that hold under all faults.
func requireInvariants(t *testing.T, run *simulation) {
	t.Helper()
	require.Empty(t, run.errors)
	if run.badFraction == nil {
		return
	}
	require.LessOrEqual(t, run.excessExposure(), 0.0)
	if run.stage() == StageRolledBack {
		require.LessOrEqual(t, run.exposedAfterBad(50), 5*time.Second)
	}
}

// addFault schedules a fault.
func addFault(faults map[time.Duration]func(*simulation), from time.Duration, fault func(*simulation)) {
	faults[from] = fault
}

// TestDirectorFailsInEachStage guards against wrong or missing verdicts after the director is
// killed, suspended or partitioned.
func TestDirectorFailsInEachStage(t *testing.T) {
	for name, fail := range map[string]func(*simNode, bool){
		"killed":      func(node *simNode, _ bool) { node.dead = true },
		"suspended":   func(node *simNode, on bool) { node.suspended = on },
		"partitioned": func(node *simNode, on bool) { node.partitioned = on },
	} {
		for _, from := range stageTimes {
			for _, bad := range []time.Duration{-1, 0, from} {
				t.Run(fmt.Sprintf("%s/%s/bad_from_%s", name, from, bad), func(t *testing.T) {
					setup := standardScenario(1)
					if bad >= 0 {
						setup.badFraction = badFrom(bad)
					}
					setup.faults = map[time.Duration]func(*simulation){}
					addFault(setup.faults, from, func(run *simulation) { fail(run.fleet[0], true) })
					addFault(setup.faults, from+3*time.Second, func(run *simulation) { fail(run.fleet[0], false) })
					run := newSimulation(setup).run(25 * time.Second)
					requireInvariants(t, run)
					requireDecided(t, run, bad)
				})
			}
		}
	}
}

// TestStoreIsDownInEachStage guards against wrong or missing verdicts after a store outage.
func TestStoreIsDownInEachStage(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 8 * time.Second} {
		for _, from := range stageTimes {
			for _, bad := range []time.Duration{-1, 0, from} {
				t.Run(fmt.Sprintf("%s/%s/bad_from_%s", outage, from, bad), func(t *testing.T) {
					setup := standardScenario(2)
					if bad >= 0 {
						setup.badFraction = badFrom(bad)
					}
					setup.faults = map[time.Duration]func(*simulation){}
					addFault(setup.faults, from, func(run *simulation) { run.storeDown, run.downSince = true, run.now })
					addFault(setup.faults, from+outage, func(run *simulation) { run.storeDown = false })
					run := newSimulation(setup).run(25 * time.Second)
					requireInvariants(t, run)
					requireDecided(t, run, bad)
				})
			}
		}
	}
}

// requireDecided checks the final stage of a delivery. A version that turns bad shortly before its
// completion may be completed.
func requireDecided(t *testing.T, run *simulation, badFrom time.Duration) {
	t.Helper()
	switch {
	case badFrom < 0:
		require.Equal(t, StageCompleted, run.stage(), "%+v", run.events)
	case run.stage() == StageCompleted:
		require.Less(t, run.finalAt, badFrom+1500*time.Millisecond, "%+v", run.events)
	default:
		require.Equal(t, StageRolledBack, run.stage(), "%+v", run.events)
	}
}

// TestWriteAcknowledgementsAreLost guards against ignoring a stored record whose write seemed to
// fail.
func TestWriteAcknowledgementsAreLost(t *testing.T) {
	for _, bad := range []time.Duration{-1, 0} {
		setup := standardScenario(3)
		if bad >= 0 {
			setup.badFraction = badFrom(bad)
		}
		run := newSimulation(setup)
		run.loseWriteAcks = true
		run.run(5 * time.Second)
		requireInvariants(t, run)
		requireDecided(t, run, bad)
		require.True(t, run.leader.director.services[simService].stage.IsFinal())
	}
}

// TestIsolatedNodesStopSendingToABadVersion guards against requests to a bad version from nodes
// that are partitioned, suspended, restarted or added while it turns bad.
func TestIsolatedNodesStopSendingToABadVersion(t *testing.T) {
	for _, from := range stageTimes {
		t.Run(from.String(), func(t *testing.T) {
			setup := standardScenario(4)
			setup.badFraction = badFrom(from)
			setup.faults = map[time.Duration]func(*simulation){}
			addFault(setup.faults, from, func(run *simulation) {
				run.fleet[3].partitioned = true
				run.fleet[4].partitioned = true
				run.fleet[5].suspended = true
				run.fleet[6] = run.newNode(6)
				run.fleet = append(run.fleet, run.newNode(len(run.fleet)))
			})
			addFault(setup.faults, from+3*time.Second, func(run *simulation) { run.fleet[5].suspended = false })
			run := newSimulation(setup).run(10 * time.Second)
			requireInvariants(t, run)
			requireDecided(t, run, from)
		})
	}
}

// TestTwoConcurrentDirectors guards against a changed final stage or doubled exposure while two
// nodes direct at the same time.
func TestTwoConcurrentDirectors(t *testing.T) {
	for _, bad := range []time.Duration{-1, 0, 18 * time.Second} {
		setup := standardScenario(5)
		if bad >= 0 {
			setup.badFraction = badFrom(bad)
		}
		setup.faults = map[time.Duration]func(*simulation){}
		var finals []Record
		for from := time.Second; from < 24*time.Second; from += 500 * time.Millisecond {
			addFault(setup.faults, from, func(run *simulation) {
				if run.fleet[1].director == nil {
					run.makeLeader(run.fleet[1])
				}
				run.leader = run.fleet[int(run.now/(500*time.Millisecond))%2]
				if run.stage().IsFinal() {
					finals = append(finals, *run.record)
				}
			})
		}
		run := newSimulation(setup).run(5 * time.Second)
		requireInvariants(t, run)
		requireDecided(t, run, bad)
		for _, final := range finals {
			require.Equal(t, finals[0].Stage, final.Stage)
		}
	}
}

// TestMissingTargetIsRolledBack guards against waiting past the deadline for a target without
// workers.
func TestMissingTargetIsRolledBack(t *testing.T) {
	setup := standardScenario(6)
	setup.absent = func(time.Duration) bool { return true }
	run := newSimulation(setup).run(time.Second)
	require.Equal(t, StageRolledBack, run.stage())
	require.Equal(t, ReasonNoWorkers, run.record.Reason)
	require.Less(t, run.finalAt, setup.duration)
}

// TestTargetDisappearsMidway guards against completing a target whose workers have disappeared.
func TestTargetDisappearsMidway(t *testing.T) {
	for _, from := range []time.Duration{5 * time.Second, 18800 * time.Millisecond, 19200 * time.Millisecond} {
		setup := standardScenario(7)
		setup.absent = func(at time.Duration) bool { return at >= from }
		run := newSimulation(setup).run(time.Second)
		require.Equal(t, StageRolledBack, run.stage(), "%s: %+v", from, run.events)
	}
	setup := standardScenario(7)
	setup.absent = func(at time.Duration) bool { return at > 5*time.Second && at < 10*time.Second }
	run := newSimulation(setup).run(time.Second)
	require.Equal(t, StageCompleted, run.stage())
}

// TestSecondOrderReplacesTheFirst guards against requests to the replaced target.
func TestSecondOrderReplacesTheFirst(t *testing.T) {
	setup := standardScenario(8)
	setup.duration = 30 * time.Second
	setup.faults = map[time.Duration]func(*simulation){8 * time.Second: func(run *simulation) {
		run.order = Order{Service: simService, Target: "third", Duration: 12 * time.Second, Revision: 9}
		require.NoError(t, run.leader.director.SetOrder(run.now, run.now, run.order))
	}}
	run := newSimulation(setup).run(0)
	require.Equal(t, fleet.Revision(9), run.record.Order.Revision)
	require.Equal(t, StageRolledBack, run.record.Stage)
	require.Equal(t, ReasonNoWorkers, run.record.Reason)
	require.Contains(t, run.record.Rejected, simNew)
	require.Less(t, run.lastTargetRequest, 8*time.Second+DirectiveLifetime)
}

// TestTargetIsListedBeforeItsOrderIsKnown guards against requests to the target from nodes that
// read its order late.
func TestTargetIsListedBeforeItsOrderIsKnown(t *testing.T) {
	setup := standardScenario(9)
	setup.duration = 12 * time.Second
	setup.orderDelay = 2 * time.Second
	setup.badFraction = badFrom(0)
	run := newSimulation(setup).run(5 * time.Second)
	requireInvariants(t, run)
	requireDecided(t, run, 0)
	require.Less(t, run.targetRequests, 250.0)
}

// TestServiceWithoutRequests guards against a rollback for lack of traffic.
func TestServiceWithoutRequests(t *testing.T) {
	setup := standardScenario(10)
	setup.rate = 0
	run := newSimulation(setup).run(0)
	require.Equal(t, StageCompleted, run.stage(), "%+v", run.events)
	require.Equal(t, ReasonOldWorkersIdle, run.record.Reason)
}

// TestDirectivesChangeRarely guards against frequent changes, each of which is sent to all nodes.
func TestDirectivesChangeRarely(t *testing.T) {
	setup := standardScenario(11)
	setup.duration = 60 * time.Second
	run := newSimulation(setup)
	changes := 0
	before := uint64(0)
	setup.faults = map[time.Duration]func(*simulation){}
	for from := time.Duration(0); from < setup.duration; from += EvaluationInterval {
		addFault(setup.faults, from+simTick, func(run *simulation) {
			for _, directive := range run.leader.follower.Directives(run.now) {
				if directive.Sequence != before {
					changes++
					before = directive.Sequence
				}
			}
		})
	}
	run.faults = setup.faults
	run.run(0)
	require.Equal(t, StageCompleted, run.stage())
	require.Less(t, changes, 20)
}
