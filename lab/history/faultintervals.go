package history

import "time"

// interval is an interval of virtual time.
type interval struct{ from, to time.Duration }

// faultIntervals returns the merged intervals in which a fault was active, in order.
func faultIntervals(history *History) []interval {
	var merged []interval
	open := make(map[int]bool)
	for _, entry := range history.Entries {
		switch event := entry.Event.(type) {
		case FaultBegan:
			if len(open) == 0 {
				merged = append(merged, interval{from: entry.At, to: history.End})
			}
			open[event.Fault] = true
		case FaultEnded:
			delete(open, event.Fault)
			if len(open) == 0 && len(merged) > 0 {
				merged[len(merged)-1].to = entry.At
			}
		}
	}
	return merged
}

// dueTime returns when an operation that starts at from must be done if it takes at most limit
// without faults: the end of the first fault-free interval of that length. It returns false if the
// run ends earlier.
func dueTime(history *History, faults []interval, from, limit time.Duration) (time.Duration, bool) {
	for _, fault := range faults {
		if fault.to <= from {
			continue
		}
		if fault.from >= from+limit {
			break
		}
		from = max(from, fault.to)
	}
	return from + limit, from+limit <= history.End
}

// isFaultFree reports whether no fault was active in an interval.
func isFaultFree(faults []interval, from, to time.Duration) bool {
	for _, fault := range faults {
		if fault.from <= to && fault.to >= from {
			return false
		}
	}
	return true
}
