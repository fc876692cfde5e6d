package history

import (
	"fmt"
	"strings"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// checkOwnAnswer checks that every token comes from a stream of the request that receives it.
func checkOwnAnswer(history *History, _ Limits) []Violation {
	var violations []Violation
	for _, entry := range history.Entries {
		token, isToken := entry.Event.(TokenDelivered)
		if !isToken || RequestOfStream(token.Stream) == token.Request {
			continue
		}
		violations = append(violations, Violation{
			Invariant: OwnAnswer, At: entry.At,
			Message: fmt.Sprintf("request %s received token %d of stream %s", token.Request, token.Index, token.Stream),
		})
	}
	return violations
}

// RequestOfStream returns the request that a stream belongs to.
func RequestOfStream(stream fleet.StreamID) fleet.RequestID {
	request, _, _ := cutLast(string(stream), ".")
	return fleet.RequestID(request)
}

func cutLast(text, separator string) (before, after string, found bool) {
	position := strings.LastIndex(text, separator)
	if position < 0 {
		return text, "", false
	}
	return text[:position], text[position+len(separator):], true
}

// checkNotRun checks that no request reported as not run was computed, before or after the report.
func checkNotRun(history *History, _ Limits) []Violation {
	var violations []Violation
	executed := make(map[fleet.RequestID]Executed)
	for _, entry := range history.Entries {
		if execution, isExecution := entry.Event.(Executed); isExecution {
			executed[execution.Request] = execution
		}
	}
	for _, entry := range history.Entries {
		failed, isFailure := entry.Event.(Failed)
		if !isFailure || !failed.NotRun {
			continue
		}
		if execution, ran := executed[failed.Request]; ran {
			violations = append(violations, Violation{
				Invariant: NotRun, At: entry.At,
				Message: fmt.Sprintf("request %s was reported as not run (%s) but ran at %v", failed.Request, failed.Code, execution.Run),
			})
		}
	}
	return violations
}

// checkAtMostOnce checks that a request that is not repeatable was computed at most once.
func checkAtMostOnce(history *History, _ Limits) []Violation {
	var violations []Violation
	once := make(map[fleet.RequestID]bool)
	first := make(map[fleet.RequestID]Executed)
	for _, entry := range history.Entries {
		switch event := entry.Event.(type) {
		case Requested:
			once[event.Request] = !event.Repeatable
		case Executed:
			earlier, again := first[event.Request]
			if again && once[event.Request] {
				violations = append(violations, Violation{
					Invariant: AtMostOnce, At: entry.At,
					Message: fmt.Sprintf("request %s ran as %s at %v and as %s at %v",
						event.Request, earlier.Stream, earlier.Run, event.Stream, event.Run),
				})
			}
			first[event.Request] = event
		}
	}
	return violations
}

// checkRequestOutcome checks that every request ends exactly once, within the limit after its
// deadline.
func checkRequestOutcome(history *History, limits Limits) []Violation {
	var violations []Violation
	ends := make(map[fleet.RequestID][]time.Duration)
	end := func(request fleet.RequestID, at time.Duration) { ends[request] = append(ends[request], at) }
	for _, entry := range history.Entries {
		switch event := entry.Event.(type) {
		case Finished:
			end(event.Request, entry.At)
		case Failed:
			end(event.Request, entry.At)
		case RequestAborted:
			end(event.Request, entry.At)
		}
	}
	faults := faultIntervals(history)
	for _, entry := range history.Entries {
		request, isRequest := entry.Event.(Requested)
		if !isRequest {
			continue
		}
		due, within := dueTime(history, faults, request.Deadline, limits.Answer)
		times := ends[request.Request]
		if len(times) == 1 && (times[0] <= due || !within) || (len(times) == 0 && !within) {
			continue
		}
		violations = append(violations, Violation{
			Invariant: RequestOutcome, At: due,
			Message: fmt.Sprintf("request %s with deadline %.6f ended %d times: %v", request.Request, request.Deadline.Seconds(), len(times), times),
		})
	}
	return violations
}
