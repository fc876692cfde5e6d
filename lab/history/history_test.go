package history

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

func record(events ...Event) *History {
	history := &History{}
	for position, event := range events {
		history.Add(time.Duration(position)*time.Second, event)
	}
	history.End = time.Minute
	return history
}

func invariantsOf(violations []Violation) []Invariant {
	var found []Invariant
	for _, violation := range violations {
		found = append(found, violation.Invariant)
	}
	return found
}

// TestCheckersDetectViolations guards against checkers that miss a violation.
func TestCheckersDetectViolations(t *testing.T) {
	run := fleet.EngineRun{Engine: "e", Incarnation: 1}
	once := Requested{Request: "r", Tenant: "t", MaxTokens: 2}
	tests := map[string]struct {
		history   *History
		invariant Invariant
	}{
		"finish before the last token":        {record(once, Finished{Request: "r"}), StreamOrder},
		"token of another request":            {record(once, TokenDelivered{Request: "r", Stream: "other.1"}, RequestAborted{Request: "r"}), OwnAnswer},
		"not run but computed":                {record(once, Executed{Request: "r", Tenant: "t"}, Failed{Request: "r", NotRun: true}), NotRun},
		"computed twice":                      {record(once, Executed{Request: "r"}, Executed{Request: "r"}, RequestAborted{Request: "r"}), AtMostOnce},
		"no outcome":                          {record(once), RequestOutcome},
		"two outcomes":                        {record(once, RequestAborted{Request: "r"}, RequestAborted{Request: "r"}), RequestOutcome},
		"another tenant's cache":              {record(once, Executed{Request: "r", Tenant: "u"}, RequestAborted{Request: "r"}), CacheEntries},
		"accepted by another run":             {record(Accepted{Run: run, Granted: fleet.EngineRun{Engine: "e"}}), CacheEntries},
		"restarted router without placement":  {record(NodeStarted{Node: "n", Kind: RouterNode, ConfigurationAvailable: true}), RestartServes},
		"node back to a lower revision":       {record(Committed{Revision: 1}, Committed{Revision: 2}, ConfigurationApplied{Node: "n", Revision: 2}, ConfigurationApplied{Node: "n", Revision: 1}), Configuration},
		"node without the committed revision": {record(NodeStarted{Node: "n"}, Committed{Revision: 1}), Configuration},
		"order with a lower token":            {record(OrderSent{Router: "a", Token: 2}, OrderSent{Router: "b", Token: 1}), FencedOrders},
		"request interrupted by a stop": {
			record(NodeStopping{Node: "n"}, once, Failed{Request: "r", Code: resultcode.NoRouter}), PlannedStop,
		},
		"dispatch to a leaving engine": {dispatchAfterLeaving(run), LeavingEngine},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Contains(t, invariantsOf(Check(test.history, DefaultLimits())), test.invariant)
		})
	}
}

func dispatchAfterLeaving(run fleet.EngineRun) *History {
	history := record(EngineLeaving{Run: run, Source: OperatorSource})
	history.Add(DefaultLimits().Leaving+time.Second, Accepted{Run: run, Granted: run})
	history.End = time.Minute
	return history
}

// TestLeavingEndsWithAdmission guards against reporting dispatches to an engine that was admitted
// again.
func TestLeavingEndsWithAdmission(t *testing.T) {
	run := fleet.EngineRun{Engine: "e", Incarnation: 1}
	history := record(EngineLeaving{Run: run, Source: OperatorSource}, EngineAdmitted{Run: run})
	history.Add(time.Minute, Accepted{Run: run, Granted: run})
	assert.Empty(t, Check(history, DefaultLimits()))
}

// TestFaultsExtendTimeLimits guards against limits that count time with active faults.
func TestFaultsExtendTimeLimits(t *testing.T) {
	history := record(FaultBegan{Fault: 1}, FaultBegan{Fault: 2}, FaultEnded{Fault: 1}, FaultEnded{Fault: 2})
	faults := faultIntervals(history)
	require.Equal(t, []interval{{from: 0, to: 3 * time.Second}}, faults)
	due, within := dueTime(history, faults, time.Second, 5*time.Second)
	assert.Equal(t, 8*time.Second, due)
	assert.True(t, within)
	_, within = dueTime(history, faults, time.Second, time.Hour)
	assert.False(t, within)
}

// TestCommandsAreLinearizable guards against accepting command histories without a linearization
// and rejecting those with one.
func TestCommandsAreLinearizable(t *testing.T) {
	invoke := func(call int, token string, expected fleet.Revision) CommandInvoked {
		return CommandInvoked{Call: call, Token: token, Expected: expected}
	}
	done := func(call int, revision fleet.Revision) CommandReturned {
		return CommandReturned{Call: call, Code: resultcode.OK, Revision: revision, Definite: true}
	}
	first := Committed{Revision: 1}
	tests := map[string]struct {
		history *History
		legal   bool
	}{
		"sequential commands":          {record(first, invoke(1, "a", 1), done(1, 2), invoke(2, "b", 2), done(2, 3)), true},
		"unchanged revision":           {record(first, invoke(1, "a", 0), done(1, 2), invoke(2, "b", 0), done(2, 2), invoke(3, "c", 0), done(3, 2)), true},
		"lost update":                  {record(first, invoke(1, "a", 1), done(1, 2), invoke(2, "b", 1), done(2, 2)), false},
		"token executed twice":         {record(first, invoke(1, "a", 0), done(1, 2), invoke(2, "a", 0), done(2, 3)), false},
		"uncertain call recorded":      {record(first, invoke(1, "a", 0), CommandReturned{Call: 1}, invoke(2, "b", 0), done(2, 3), invoke(3, "a", 0), done(3, 2)), true},
		"call without effect recorded": {record(first, invoke(1, "a", 0), CommandReturned{Call: 1, NoEffect: true}, invoke(2, "b", 0), done(2, 3)), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			violations := checkCommands(test.history, DefaultLimits())
			assert.Equal(t, test.legal, len(violations) == 0, "%v", violations)
		})
	}
}
