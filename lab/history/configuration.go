package history

import (
	"fmt"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// checkConfiguration checks that no node returns to a lower revision, that a revision has the same
// contents everywhere, and that every live node applies a committed revision in time.
func checkConfiguration(history *History, limits Limits) []Violation {
	var violations []Violation
	violate := func(at time.Duration, format string, arguments ...any) {
		violations = append(violations, Violation{Invariant: Configuration, At: at, Message: fmt.Sprintf(format, arguments...)})
	}
	faults := faultIntervals(history)
	runs := nodeRuns(history)
	applied := make(map[fleet.NodeID]fleet.Revision)
	digests := make(map[fleet.Revision]uint64)
	for _, entry := range history.Entries {
		switch event := entry.Event.(type) {
		case Committed:
			if digest, known := digests[event.Revision]; known && digest != event.Digest {
				violate(entry.At, "revision %d was committed twice with different contents", event.Revision)
			}
			digests[event.Revision] = event.Digest
			due, within := dueTime(history, faults, entry.At, limits.Configuration)
			if !within {
				continue
			}
			for _, run := range runs {
				if run.from <= entry.At && run.to >= due && !run.hasReached(event.Revision, due) {
					violate(due, "%s has not applied revision %d, committed at %.6f", run.node, event.Revision, entry.At.Seconds())
				}
			}
		case ConfigurationApplied:
			if earlier := applied[event.Node]; event.Revision < earlier {
				violate(entry.At, "%s went back from revision %d to %d", event.Node, earlier, event.Revision)
			}
			applied[event.Node] = event.Revision
			if digest, known := digests[event.Revision]; !known || digest != event.Digest {
				violate(entry.At, "%s applied revision %d with contents that were never committed", event.Node, event.Revision)
			}
		}
	}
	return violations
}

// nodeRun is the interval in which a node ran and the revisions that it applied.
type nodeRun struct {
	node     fleet.NodeID
	from, to time.Duration
	changes  []revisionChange
}

type revisionChange struct {
	at       time.Duration
	revision fleet.Revision
}

func (r *nodeRun) hasReached(revision fleet.Revision, by time.Duration) bool {
	for _, step := range r.changes {
		if step.at <= by && step.revision >= revision {
			return true
		}
	}
	return false
}

// nodeRuns returns the runs of agents and routers in order of their start. A run ends when the node
// is killed or begins a planned stop.
func nodeRuns(history *History) []*nodeRun {
	var runs []*nodeRun
	byNode := make(map[fleet.NodeID]*nodeRun)
	end := func(node fleet.NodeID, at time.Duration) {
		if run := byNode[node]; run != nil {
			run.to = min(run.to, at)
		}
	}
	for _, entry := range history.Entries {
		switch event := entry.Event.(type) {
		case NodeStarted:
			run := &nodeRun{node: event.Node, from: entry.At, to: history.End}
			runs = append(runs, run)
			byNode[event.Node] = run
		case NodeKilled:
			end(event.Node, entry.At)
		case NodeStopping:
			end(event.Node, entry.At)
		case ConfigurationApplied:
			if run := byNode[event.Node]; run != nil {
				run.changes = append(run.changes, revisionChange{at: entry.At, revision: event.Revision})
			}
		}
	}
	return runs
}
