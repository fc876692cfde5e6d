package history

import (
	"fmt"
	"maps"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// linearizationTimeout bounds the search for a linearization. A search that times out reports no
// violation.
const linearizationTimeout = 5 * time.Second

// commandState models the configuration as a register: its revision and the recorded outcome of
// each token.
type commandState struct {
	revision fleet.Revision
	outcomes map[string]CommandReturned
}

func (s commandState) withOutcome(token string, outcome CommandReturned) commandState {
	next := commandState{revision: s.revision, outcomes: maps.Clone(s.outcomes)}
	if next.outcomes == nil {
		next.outcomes = make(map[string]CommandReturned)
	}
	outcome.Call = 0
	next.outcomes[token] = outcome
	if outcome.Code == resultcode.OK {
		next.revision = max(next.revision, outcome.Revision)
	}
	return next
}

func (s commandState) equal(other commandState) bool {
	return s.revision == other.revision && maps.Equal(s.outcomes, other.outcomes)
}

// stepCommand returns the states that a call can lead to.
func stepCommand(state commandState, call CommandInvoked, result CommandReturned) []commandState {
	if result.NoEffect {
		return []commandState{state}
	}
	recorded, found := state.outcomes[call.Token]
	if result.Definite {
		result.Call = 0
		switch {
		case found && recorded == result:
			return []commandState{state}
		case found || !state.isPossibleOutcome(call, result):
			return nil
		}
		return []commandState{state.withOutcome(call.Token, result)}
	}
	// The outcome is unknown: the call may or may not have been recorded.
	states := []commandState{state}
	if found {
		return states
	}
	for _, outcome := range state.possibleOutcomes(call) {
		states = append(states, state.withOutcome(call.Token, outcome))
	}
	return states
}

// possibleOutcomes returns the outcomes that the first call with a token can have in this state.
func (s commandState) possibleOutcomes(call CommandInvoked) []CommandReturned {
	if call.Expected != 0 && call.Expected != s.revision {
		return []CommandReturned{{Code: resultcode.RevisionConflict, Revision: s.revision, Definite: true}}
	}
	return []CommandReturned{
		{Code: resultcode.OK, Revision: s.revision, Definite: true},
		{Code: resultcode.OK, Revision: s.revision + 1, Definite: true},
		{Code: resultcode.CommandImpossible, Revision: s.revision, Definite: true},
	}
}

// isPossibleOutcome reports whether the first call with a token can have this outcome in this
// state.
func (s commandState) isPossibleOutcome(call CommandInvoked, result CommandReturned) bool {
	conflict := call.Expected != 0 && call.Expected != s.revision
	switch {
	case result.Code == resultcode.RevisionConflict:
		return conflict && result.Revision == s.revision
	case conflict:
		return false
	case result.Code == resultcode.OK:
		return result.Revision == s.revision+1 || result.Revision == s.revision
	default:
		return result.Revision == s.revision
	}
}

// checkCommands checks that operator commands are linearizable: each takes effect at one moment
// between its call and its answer, at most once per token, and only on the revision that it
// expects.
func checkCommands(history *History, _ Limits) []Violation {
	operations := commandOperations(history)
	if len(operations) == 0 {
		return nil
	}
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{commandState{revision: firstRevision(history)}} },
		Step: func(state, input, output any) []any {
			var next []any
			for _, reached := range stepCommand(state.(commandState), input.(CommandInvoked), output.(CommandReturned)) {
				next = append(next, reached)
			}
			return next
		},
		Equal: func(a, b any) bool { return a.(commandState).equal(b.(commandState)) },
	}
	if porcupine.CheckOperationsTimeout(model.ToModel(), operations, linearizationTimeout) != porcupine.Illegal {
		return nil
	}
	return []Violation{{
		Invariant: Commands, At: history.End,
		Message: fmt.Sprintf("%d command calls have no linearization", len(operations)),
	}}
}

// firstRevision returns the revision before the first command.
func firstRevision(history *History) fleet.Revision {
	for _, entry := range history.Entries {
		if committed, isCommit := entry.Event.(Committed); isCommit {
			return committed.Revision
		}
	}
	return 0
}

// commandOperations pairs calls with their results. A call without a result or with an uncertain
// one may take effect at any later time.
func commandOperations(history *History) []porcupine.Operation {
	var operations []porcupine.Operation
	position := make(map[int]int)
	for index, entry := range history.Entries {
		switch event := entry.Event.(type) {
		case CommandInvoked:
			position[event.Call] = len(operations)
			operations = append(operations, porcupine.Operation{
				ClientId: event.Call, Input: event, Call: int64(index), Output: CommandReturned{}, Return: math.MaxInt64,
			})
		case CommandReturned:
			operation := &operations[position[event.Call]]
			operation.Output = event
			if event.Definite || event.NoEffect {
				operation.Return = int64(index)
			}
		}
	}
	return operations
}
