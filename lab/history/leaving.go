package history

import (
	"fmt"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// OperatorSource is the source of EngineLeaving events caused by an operator's drain or retirement.
const OperatorSource = "operator"

// leavingSources maps each source to the time since when it shows a run as leaving.
type leavingSources map[string]time.Duration

// earliest returns the source that first showed the run as leaving.
func (l leavingSources) earliest() (source string, since time.Duration, leaving bool) {
	for candidate, at := range l {
		if !leaving || at < since || (at == since && candidate < source) {
			source, since, leaving = candidate, at, true
		}
	}
	return source, since, leaving
}

// checkLeavingEngine checks that a run which is known to be leaving accepts no dispatch after the
// limit.
func checkLeavingEngine(history *History, limits Limits) []Violation {
	var violations []Violation
	runs := make(map[fleet.EngineRun]leavingSources)
	faults := faultIntervals(history)
	for _, entry := range history.Entries {
		switch event := entry.Event.(type) {
		case EngineLeaving:
			if runs[event.Run] == nil {
				runs[event.Run] = make(leavingSources)
			}
			if _, known := runs[event.Run][event.Source]; !known {
				runs[event.Run][event.Source] = entry.At
			}
		case EngineAdmitted:
			delete(runs[event.Run], OperatorSource)
		case Accepted:
			source, since, leaving := runs[event.Run].earliest()
			due, within := dueTime(history, faults, since, limits.Leaving)
			if leaving && within && entry.At > due {
				violations = append(violations, Violation{
					Invariant: LeavingEngine, At: entry.At,
					Message: fmt.Sprintf("%v, leaving since %.6f (%s), accepted stream %s", event.Run, since.Seconds(), source, event.Stream),
				})
			}
		}
	}
	return violations
}
