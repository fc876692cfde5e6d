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
	made := &History{}
	for position, event := range events {
		made.Add(time.Duration(position)*time.Second, event)
	}
	made.End = time.Minute
	return made
}

func invariantsOf(violations []Violation) []Invariant {
	var found []Invariant
	for _, violation := range violations {
		found = append(found, violation.Invariant)
	}
	return found
}

func TestCheckersFindWhatIsWrong(t *testing.T) {
	run := fleet.EngineRun{Engine: "e", Incarnation: 1}
	once := Requested{Request: "r", Tenant: "t", MaxTokens: 2}
	tests := map[string]struct {
		wrong  *History
		broken Invariant
	}{
		"an end too early":       {record(once, Finished{Request: "r"}), StreamOrder},
		"a token of another":     {record(once, TokenDelivered{Request: "r", Stream: "other.1"}, RequestAborted{Request: "r"}), OwnAnswer},
		"a refusal that ran":     {record(once, Executed{Request: "r", Tenant: "t"}, Failed{Request: "r", NotRun: true}), NotRun},
		"two runs":               {record(once, Executed{Request: "r"}, Executed{Request: "r"}, RequestAborted{Request: "r"}), AtMostOnce},
		"no end":                 {record(once), RequestOutcome},
		"two ends":               {record(once, RequestAborted{Request: "r"}, RequestAborted{Request: "r"}), RequestOutcome},
		"another tenant's cache": {record(once, Executed{Request: "r", Tenant: "u"}, RequestAborted{Request: "r"}), CacheEntries},
		"a dead run":             {record(Accepted{Run: run, Granted: fleet.EngineRun{Engine: "e"}}), CacheEntries},
		"a silent restart":       {record(NodeStarted{Node: "n", Kind: RouterNode, ConfigurationAvailable: true}), RestartServes},
		"a reverted node":        {record(Committed{Revision: 1}, Committed{Revision: 2}, ConfigurationApplied{Node: "n", Revision: 2}, ConfigurationApplied{Node: "n", Revision: 1}), Configuration},
		"a node left behind":     {record(NodeStarted{Node: "n"}, Committed{Revision: 1}), Configuration},
		"an order without lease": {record(OrderSent{Router: "a", Token: 2}, OrderSent{Router: "b", Token: 1}), FencedOrders},
		"a cut request": {
			record(NodeStopping{Node: "n"}, once, Failed{Request: "r", Code: resultcode.NoRouter}), PlannedStop,
		},
		"work for a leaving engine": {leavingTooLong(run), LeavingEngine},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Contains(t, invariantsOf(Check(test.wrong, DefaultLimits())), test.broken)
		})
	}
}

func leavingTooLong(run fleet.EngineRun) *History {
	made := record(EngineLeaving{Run: run, Source: OperatorSource})
	made.Add(DefaultLimits().Leaving+time.Second, Accepted{Run: run, Granted: run})
	made.End = time.Minute
	return made
}

func TestLeavingEndsWithAdmission(t *testing.T) {
	run := fleet.EngineRun{Engine: "e", Incarnation: 1}
	made := record(EngineLeaving{Run: run, Source: OperatorSource}, EngineAdmitted{Run: run})
	made.Add(time.Minute, Accepted{Run: run, Granted: run})
	assert.Empty(t, Check(made, DefaultLimits()))
}

func TestFaultsGiveTime(t *testing.T) {
	made := record(FaultBegan{Fault: 1}, FaultBegan{Fault: 2}, FaultEnded{Fault: 1}, FaultEnded{Fault: 2})
	faults := faultIntervals(made)
	require.Equal(t, []interval{{from: 0, to: 3 * time.Second}}, faults)
	due, within := dueTime(made, faults, time.Second, 5*time.Second)
	assert.Equal(t, 8*time.Second, due)
	assert.True(t, within)
	_, within = dueTime(made, faults, time.Second, time.Hour)
	assert.False(t, within)
}

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
		"one after the other":       {record(first, invoke(1, "a", 1), done(1, 2), invoke(2, "b", 2), done(2, 3)), true},
		"the same revision twice":   {record(first, invoke(1, "a", 0), done(1, 2), invoke(2, "b", 0), done(2, 2), invoke(3, "c", 0), done(3, 2)), true},
		"a lost update":             {record(first, invoke(1, "a", 1), done(1, 2), invoke(2, "b", 1), done(2, 2)), false},
		"a token that ran twice":    {record(first, invoke(1, "a", 0), done(1, 2), invoke(2, "a", 0), done(2, 3)), false},
		"an uncertain one recorded": {record(first, invoke(1, "a", 0), CommandReturned{Call: 1}, invoke(2, "b", 0), done(2, 3), invoke(3, "a", 0), done(3, 2)), true},
		"no effect, yet an effect":  {record(first, invoke(1, "a", 0), CommandReturned{Call: 1, NoEffect: true}, invoke(2, "b", 0), done(2, 3)), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			violations := checkCommands(test.history, DefaultLimits())
			assert.Equal(t, test.legal, len(violations) == 0, "%v", violations)
		})
	}
}
