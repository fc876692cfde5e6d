package gateway

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Times of telling engines' versions.
const (
	// versionsTold is how long a changed version is named in each report: several exchanges
	// with each node, so that one which misses some still hears of it.
	versionsTold = 3 * time.Second
	// versionsWhole is the time between two reports to the same node that name all: with
	// 3,000 workers they are 100 KB. Rows of the store tell versions besides.
	versionsWhole = time.Minute
)

// engineModel is one model of one engine.
type engineModel struct {
	engine fleet.EngineID
	model  fleet.ModelName
}

// engineVersion is the version that an engine has of a model.
type engineVersion struct {
	engineModel
	version uint64
}

// toldVersions says which versions a report names: what has changed of late, and now and
// then all. Reports that always named all were a third of the bytes of all reports (60
// engines, 86 nodes).
type toldVersions struct {
	mutex sync.Mutex
	// changed is when each version was first seen, whole when each node was last told all.
	changed map[engineVersion]time.Duration
	whole   map[fleet.NodeID]time.Duration
}

func newToldVersions() *toldVersions {
	return &toldVersions{changed: make(map[engineVersion]time.Duration), whole: make(map[fleet.NodeID]time.Duration)}
}

// due returns those of all present versions that a report to a node is to name.
func (t *toldVersions) due(now time.Duration, to fleet.NodeID, present []engineVersion) []engineVersion {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.observe(now, present)
	told, known := t.whole[to]
	if !known || now >= told+versionsWhole {
		t.whole[to] = now
		return present
	}
	var due []engineVersion
	for _, version := range present {
		if now <= t.changed[version]+versionsTold {
			due = append(due, version)
		}
	}
	return due
}

// observe notes which versions are new, and drops those that are gone. Those of the first
// look count as old: each node is told all of them once.
func (t *toldVersions) observe(now time.Duration, present []engineVersion) {
	first := len(t.changed) == 0
	changed := make(map[engineVersion]time.Duration, len(present))
	for _, version := range present {
		at, known := t.changed[version]
		switch {
		case first:
			at = now - versionsTold - 1
		case !known:
			at = now
		}
		changed[version] = at
	}
	t.changed = changed
}

// forget drops a node that is gone.
func (t *toldVersions) forget(node fleet.NodeID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.whole, node)
}
