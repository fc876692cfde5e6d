package gateway

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	// versionReportWindow is how long reports include a changed version. It spans several exchanges
	// with each gateway, in case one is lost.
	versionReportWindow = 3 * time.Second
	// fullVersionReportInterval is the time between two reports to the same gateway that include
	// all versions. Such a report has about 100 KB for 3,000 workers, and rows of the store contain
	// the versions too.
	fullVersionReportInterval = time.Minute
)

// engineModel identifies a model on an engine.
type engineModel struct {
	engine fleet.EngineID
	model  fleet.ModelName
}

// engineVersion is the version of a model on an engine.
type engineVersion struct {
	engineModel
	version uint64
}

// versionReports selects the model versions that a load report includes: recently changed ones, and
// periodically all.
type versionReports struct {
	mutex sync.Mutex
	// firstSeen holds when each version was first seen, lastFullReport when each gateway last
	// received all versions.
	firstSeen      map[engineVersion]time.Duration
	lastFullReport map[fleet.NodeID]time.Duration
}

func newVersionReports() *versionReports {
	return &versionReports{firstSeen: make(map[engineVersion]time.Duration), lastFullReport: make(map[fleet.NodeID]time.Duration)}
}

// due returns the versions to include in a report to a gateway.
func (r *versionReports) due(now time.Duration, to fleet.NodeID, present []engineVersion) []engineVersion {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observe(now, present)
	last, known := r.lastFullReport[to]
	if !known || now >= last+fullVersionReportInterval {
		r.lastFullReport[to] = now
		return present
	}
	var due []engineVersion
	for _, version := range present {
		if now <= r.firstSeen[version]+versionReportWindow {
			due = append(due, version)
		}
	}
	return due
}

// observe records new versions and drops those that are gone. The versions of the first call don't
// count as changed, since every gateway receives a full report first.
func (r *versionReports) observe(now time.Duration, present []engineVersion) {
	first := len(r.firstSeen) == 0
	changed := make(map[engineVersion]time.Duration, len(present))
	for _, version := range present {
		at, known := r.firstSeen[version]
		switch {
		case first:
			at = now - versionReportWindow - 1
		case !known:
			at = now
		}
		changed[version] = at
	}
	r.firstSeen = changed
}

// forget drops a gateway that has gone.
func (r *versionReports) forget(node fleet.NodeID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.lastFullReport, node)
}
