package history

import (
	"fmt"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// checkConfiguration checks that a node never goes back to a lower revision,
// that one revision is the same everywhere, and that an accepted one is in
// force at every live node soon.
func checkConfiguration(history *History, limits Limits) []Violation {
	var violations []Violation
	breach := func(at time.Duration, format string, arguments ...any) {
		violations = append(violations, Violation{Invariant: Configuration, At: at, Message: fmt.Sprintf(format, arguments...)})
	}
	faults := faultIntervals(history)
	nodes := nodeRuns(history)
	inForce := make(map[fleet.NodeID]fleet.Revision)
	digests := make(map[fleet.Revision]uint64)
	for _, entry := range history.Entries {
		switch event := entry.Event.(type) {
		case Committed:
			if digest, known := digests[event.Revision]; known && digest != event.Digest {
				breach(entry.At, "revision %d was committed twice with different contents", event.Revision)
			}
			digests[event.Revision] = event.Digest
			due, within := dueTime(history, faults, entry.At, limits.Configuration)
			if !within {
				continue
			}
			for _, life := range nodes {
				if life.from <= entry.At && life.to >= due && !life.hasReached(event.Revision, due) {
					breach(due, "%s doesn't work by revision %d, accepted at %.6f", life.node, event.Revision, entry.At.Seconds())
				}
			}
		case ConfigurationApplied:
			if earlier := inForce[event.Node]; event.Revision < earlier {
				breach(entry.At, "%s went from revision %d back to %d", event.Node, earlier, event.Revision)
			}
			inForce[event.Node] = event.Revision
			if digest, known := digests[event.Revision]; !known || digest != event.Digest {
				breach(entry.At, "%s works by a revision %d that was never accepted like this", event.Node, event.Revision)
			}
		}
	}
	return violations
}

// nodeRun is the time that a node ran, and the revisions that it reached.
type nodeRun struct {
	node     fleet.NodeID
	from, to time.Duration
	changes  []revisionChange
}

type revisionChange struct {
	at       time.Duration
	revision fleet.Revision
}

func (l *nodeRun) hasReached(revision fleet.Revision, by time.Duration) bool {
	for _, step := range l.changes {
		if step.at <= by && step.revision >= revision {
			return true
		}
	}
	return false
}

// nodeRuns returns the lives of agents and routers in order of their start.
func nodeRuns(history *History) []*nodeRun {
	var lives []*nodeRun
	byNode := make(map[fleet.NodeID]*nodeRun)
	end := func(node fleet.NodeID, at time.Duration) {
		if life := byNode[node]; life != nil {
			life.to = min(life.to, at)
		}
	}
	for _, entry := range history.Entries {
		switch event := entry.Event.(type) {
		case NodeStarted:
			life := &nodeRun{node: event.Node, from: entry.At, to: history.End}
			lives = append(lives, life)
			byNode[event.Node] = life
		case NodeKilled:
			end(event.Node, entry.At)
		case NodeStopping:
			end(event.Node, entry.At)
		case ConfigurationApplied:
			if life := byNode[event.Node]; life != nil {
				life.changes = append(life.changes, revisionChange{at: entry.At, revision: event.Revision})
			}
		}
	}
	return lives
}
