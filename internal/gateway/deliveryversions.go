package gateway

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// seenVersions holds, by service, the software versions of all workers listed so far, in order of
// appearance. It isn't safe for concurrent use.
type seenVersions map[fleet.PoolName][]fleet.SoftwareVersion

// add adds the versions in rows and returns the services with a new version.
func (s seenVersions) add(rows []WorkerRow) []fleet.PoolName {
	var changed []fleet.PoolName
	for index := range rows {
		worker := &rows[index].Worker
		if rows[index].Deleted || worker.Software == "" || slices.Contains(s[worker.Service], worker.Software) {
			continue
		}
		s[worker.Service] = append(s[worker.Service], worker.Software)
		if !slices.Contains(changed, worker.Service) {
			changed = append(changed, worker.Service)
		}
	}
	return changed
}

// observeVersions holds requests back from workers of a new version that appears beside others. Its
// order is in another table, and until it arrives the version would receive an unrestricted share
// of the requests. It does so only if the settings enable deliveries.
func (g *Gateway) observeVersions(now time.Duration, rows []WorkerRow) {
	if !g.settings().Deliveries {
		return
	}
	for _, service := range g.softwareVersions.add(rows) {
		g.deliveries.observeVersions(now, service, g.softwareVersions[service])
	}
}

// observeVersions passes the versions of a service's workers to the follower.
func (d *deliveryState) observeVersions(now time.Duration, service fleet.PoolName, versions []fleet.SoftwareVersion) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.follower.ObserveVersions(now, service, versions)
	if len(versions) > 1 {
		d.active.Store(true)
	}
}
