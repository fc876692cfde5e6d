package history

import (
	"fmt"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// checkRestartServes checks that a router which starts while a live node has a configuration places
// a request within the limit, whether or not the platform is available. Only network and process
// faults extend the limit.
func checkRestartServes(history *History, limits Limits) []Violation {
	var violations []Violation
	served := make(map[fleet.NodeID]time.Duration)
	ended := make(map[fleet.NodeID]time.Duration)
	for _, entry := range history.Entries {
		switch event := entry.Event.(type) {
		case RouterServed:
			served[event.Node] = entry.At
		case NodeKilled:
			ended[event.Node] = entry.At
		case NodeStopping:
			ended[event.Node] = entry.At
		}
	}
	faults := faultIntervals(withoutFaults(history, PlatformFault))
	for _, entry := range history.Entries {
		started, isStart := entry.Event.(NodeStarted)
		if !isStart || started.Kind != RouterNode || !started.ConfigurationAvailable {
			continue
		}
		due, within := dueTime(history, faults, entry.At, limits.Restart)
		if end, gone := ended[started.Node]; !within || (gone && end <= due) {
			continue
		}
		if at, found := served[started.Node]; !found || at > due {
			violations = append(violations, Violation{
				Invariant: RestartServes, At: due,
				Message: fmt.Sprintf("router %s, started at %.6f, placed no request in time", started.Node, entry.At.Seconds()),
			})
		}
	}
	return violations
}

// PlatformFault is the kind recorded for faults of the platform.
const PlatformFault = "platform"

// withoutFaults returns a history without the faults of one kind.
func withoutFaults(history *History, kind string) *History {
	kept := &History{End: history.End}
	for _, entry := range history.Entries {
		began, isBegin := entry.Event.(FaultBegan)
		ended, isEnd := entry.Event.(FaultEnded)
		if (isBegin && began.Kind == kind) || (isEnd && ended.Kind == kind) {
			continue
		}
		kept.Entries = append(kept.Entries, entry)
	}
	return kept
}
