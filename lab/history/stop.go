package history

import (
	"fmt"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// checkPlannedStop checks that no request is lost to a planned stop: one that
// an agent took before its stop ends with an answer that isn't the stop's, and
// one that lived through planned stops alone, without a fault, isn't cut.
func checkPlannedStop(history *History, limits Limits) []Violation {
	var violations []Violation
	requests := make(map[fleet.RequestID]Entry)
	stopping := make(map[fleet.NodeID]time.Duration)
	faults := faultIntervals(history)
	breach := func(entry Entry, request fleet.RequestID, reason string) {
		violations = append(violations, Violation{
			Invariant: PlannedStop, At: entry.At, Message: fmt.Sprintf("request %s was cut: %s", request, reason),
		})
	}
	for _, entry := range history.Entries {
		switch event := entry.Event.(type) {
		case Requested:
			requests[event.Request] = entry
		case NodeStopping:
			stopping[event.Node] = entry.At
		case Failed:
			began := requests[event.Request]
			stopped, isStopping := stopping[began.Event.(Requested).Agent]
			admittedBefore := isStopping && began.At <= stopped
			switch {
			case event.Code == resultcode.Stopping && admittedBefore:
				breach(entry, event.Request, "the agent stopped")
			case interruptionCodes[event.Code] && len(stopping) > 0 && isFaultFree(faults, began.At-limits.Settle, entry.At):
				breach(entry, event.Request, fmt.Sprintf("%s without any fault (%s)", event.Code, event.Reason))
			}
		case RequestAborted:
			began := requests[event.Request]
			stopped, isStopping := stopping[began.Event.(Requested).Agent]
			if !event.CallerLeft && isStopping && began.At <= stopped && isFaultFree(faults, stopped, entry.At) {
				breach(entry, event.Request, event.Reason)
			}
		}
	}
	return violations
}

// interruptionCodes are the results of a request that lost its router or its engine.
var interruptionCodes = map[resultcode.Code]bool{
	resultcode.NoRouter:          true,
	resultcode.StreamInterrupted: true,
	resultcode.EngineFailed:      true,
	resultcode.OutcomeUnknown:    true,
	resultcode.RetryBudget:       true,
}
