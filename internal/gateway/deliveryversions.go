package gateway

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// seenVersions holds, by service, the software versions of which workers were ever listed,
// in the order in which they came. It isn't safe for concurrent use.
type seenVersions map[fleet.PoolName][]fleet.SoftwareVersion

// add takes in the rows of workers and returns the services with a version not seen before.
func (s seenVersions) add(rows []WorkerRow) []fleet.PoolName {
	var changed []fleet.PoolName
	for index := range rows {
		worker := &rows[index].Worker
		if rows[index].Gone || worker.Software == "" || slices.Contains(s[worker.Service], worker.Software) {
			continue
		}
		s[worker.Service] = append(s[worker.Service], worker.Software)
		if !slices.Contains(changed, worker.Service) {
			changed = append(changed, worker.Service)
		}
	}
	return changed
}

// noteVersions has workers of a version that appears beside others get no requests for a
// moment: the order to deliver it comes by another table, and its target would get a part of
// all requests until then. It does so only where the settings bound deliveries.
func (g *Gateway) noteVersions(now time.Duration, rows []WorkerRow) {
	if !g.settings().Deliveries {
		return
	}
	for _, service := range g.versionsSeen.add(rows) {
		g.deliveries.seeVersions(now, service, g.versionsSeen[service])
	}
}

// seeVersions takes in the versions of a service's workers.
func (d *deliveries) seeVersions(now time.Duration, service fleet.PoolName, versions []fleet.SoftwareVersion) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.follower.ObserveVersions(now, service, versions)
	if len(versions) > 1 {
		d.known.Store(true)
	}
}
