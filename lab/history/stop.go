package history

import (
	"fmt"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// checkPlannedStop checks that no request is lost to a planned stop: a request accepted by an agent
// before its stop must not fail because of it, and a request during planned stops without faults
// must not be interrupted.
func checkPlannedStop(history *History, limits Limits) []Violation {
	var violations []Violation
	requests := make(map[fleet.RequestID]Entry)
	stopping := make(map[fleet.NodeID]time.Duration)
	faults := faultIntervals(history)
	violate := func(entry Entry, request fleet.RequestID, reason string) {
		violations = append(violations, Violation{
			Invariant: PlannedStop, At: entry.At, Message: fmt.Sprintf("request %s was interrupted: %s", request, reason),
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
				violate(entry, event.Request, "agent stopped")
			case interruptionCodes[event.Code] && len(stopping) > 0 && isFaultFree(faults, began.At-limits.Settle, entry.At):
				violate(entry, event.Request, fmt.Sprintf("%s without a fault (%s)", event.Code, event.Reason))
			}
		case RequestAborted:
			began := requests[event.Request]
			stopped, isStopping := stopping[began.Event.(Requested).Agent]
			if !event.CallerLeft && isStopping && began.At <= stopped && isFaultFree(faults, stopped, entry.At) {
				violate(entry, event.Request, event.Reason)
			}
		}
	}
	return violations
}

// interruptionCodes are the result codes of requests that lost their router or engine.
var interruptionCodes = map[resultcode.Code]bool{
	resultcode.NoRouter:          true,
	resultcode.StreamInterrupted: true,
	resultcode.EngineFailed:      true,
	resultcode.OutcomeUnknown:    true,
	resultcode.RetryBudget:       true,
}
