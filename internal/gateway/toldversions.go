package gateway

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Times of telling engines' versions.
const (
	// versionReportWindow is how long a changed version is named in each report: several exchanges
	// with each node, so that one which misses some still hears of it.
	versionReportWindow = 3 * time.Second
	// fullVersionReportInterval is the time between two reports to the same node that name all: with
	// 3,000 workers they are 100 KB. Rows of the store tell versions besides.
	fullVersionReportInterval = time.Minute
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

// versionReports says which versions a report names: what has changed of late, and now and
// then all. Reports that always named all were a third of the bytes of all reports (60
// engines, 86 nodes).
type versionReports struct {
	mutex sync.Mutex
	// firstSeen is when each version was first seen, whole when each node was last told all.
	firstSeen      map[engineVersion]time.Duration
	lastFullReport map[fleet.NodeID]time.Duration
}

func newVersionReports() *versionReports {
	return &versionReports{firstSeen: make(map[engineVersion]time.Duration), lastFullReport: make(map[fleet.NodeID]time.Duration)}
}

// due returns those of all present versions that a report to a node is to name.
func (t *versionReports) due(now time.Duration, to fleet.NodeID, present []engineVersion) []engineVersion {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.observe(now, present)
	told, known := t.lastFullReport[to]
	if !known || now >= told+fullVersionReportInterval {
		t.lastFullReport[to] = now
		return present
	}
	var due []engineVersion
	for _, version := range present {
		if now <= t.firstSeen[version]+versionReportWindow {
			due = append(due, version)
		}
	}
	return due
}

// observe notes which versions are new, and drops those that are gone. Those of the first
// look count as old: each node is told all of them once.
func (t *versionReports) observe(now time.Duration, present []engineVersion) {
	first := len(t.firstSeen) == 0
	changed := make(map[engineVersion]time.Duration, len(present))
	for _, version := range present {
		at, known := t.firstSeen[version]
		switch {
		case first:
			at = now - versionReportWindow - 1
		case !known:
			at = now
		}
		changed[version] = at
	}
	t.firstSeen = changed
}

// forget drops a node that is gone.
func (t *versionReports) forget(node fleet.NodeID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.lastFullReport, node)
}
