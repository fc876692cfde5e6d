package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
)

// The versions that streams may have begun at are kept in the store, so that gateways that were all
// restarted at once still know whether a service has had a single one.

const (
	// softwareSyncInterval is the time between two checks whether a stored row is due, unless a version has
	// just appeared.
	softwareSyncInterval = time.Second
	// softwareLoadInterval is the time between two checks at the start whether the rows can be read, since
	// callers resume their streams as soon as the gateway is back.
	softwareLoadInterval = 20 * time.Millisecond
	// softwareRetryInterval is the time until a failed read is repeated.
	softwareRetryInterval = 300 * time.Millisecond
)

// storedSoftware holds the rows as this gateway last read or wrote them. It is used by syncSoftware alone,
// except for changed.
type storedSoftware struct {
	loaded bool
	rows   map[fleet.PoolName]SoftwareRow
	// changed holds one element after a version has appeared.
	changed chan struct{}
}

func newStoredSoftware() *storedSoftware {
	return &storedSoftware{rows: make(map[fleet.PoolName]SoftwareRow), changed: make(chan struct{}, 1)}
}

// syncSoftware reads the rows of software versions once and keeps them up to date while this gateway reads
// the store, until the process stops.
func (g *Gateway) syncSoftware() error {
	for {
		timer := time.NewTimer(g.updateSoftware())
		select {
		case <-g.storedSoftware.changed:
		case <-timer.C:
		case <-g.life.Dying():
			timer.Stop()
			return nil
		}
		timer.Stop()
	}
}

// updateSoftware reads and writes what is due, and returns the time until the next check.
func (g *Gateway) updateSoftware() time.Duration {
	isReader, _ := g.sources.readsStore()
	switch {
	case !isReader && g.roleSettled.Load():
		return softwareSyncInterval
	case !isReader:
		return softwareLoadInterval
	case !g.loadSoftware():
		return softwareRetryInterval
	}
	for service, versions := range g.dueSoftware() {
		g.writeSoftware(service, versions)
	}
	return softwareSyncInterval
}

// loadSoftware reads the rows unless they have been read, and reports whether they are known.
func (g *Gateway) loadSoftware() bool {
	stored := g.storedSoftware
	if stored.loaded {
		return true
	}
	ctx, cancel := context.WithTimeout(g.context(), deliveryCallTimeout)
	defer cancel()
	rows, invalid, err := g.dependencies.Store.ReadSoftware(ctx)
	if err != nil {
		g.events.line("software_unread").Err(err).Msg("software_unread")
		return false
	}
	g.reportInvalidInput("", invalid)
	for _, row := range rows {
		g.adoptSoftware(row)
	}
	stored.loaded = true
	return true
}

// adoptSoftware makes a stored row part of this gateway's history.
func (g *Gateway) adoptSoftware(row SoftwareRow) {
	g.storedSoftware.rows[row.Service] = row
	g.streamOrigins.adopt(g.now(), row.Service, row.Versions)
}

// dueSoftware returns the versions of the services whose rows are out of date.
func (g *Gateway) dueSoftware() map[fleet.PoolName][]fleet.SoftwareVersion {
	due := make(map[fleet.PoolName][]fleet.SoftwareVersion)
	snapshot := g.configuration.Current()
	if snapshot == nil {
		return due
	}
	for _, service := range snapshot.Table.ResumableServices() {
		versions, complete := g.streamOrigins.allVersions(g.now(), service)
		if complete && len(versions) > 0 && !slices.Equal(versions, g.storedSoftware.rows[service].Versions) {
			due[service] = versions
		}
	}
	return due
}

// writeSoftware writes the row of a service. If another gateway has written it, its versions are adopted,
// and a row that is still out of date is written in the next round.
func (g *Gateway) writeSoftware(service fleet.PoolName, versions []fleet.SoftwareVersion) {
	ctx, cancel := context.WithTimeout(g.context(), deliveryCallTimeout)
	defer cancel()
	row := SoftwareRow{Service: service, Versions: versions, Revision: g.storedSoftware.rows[service].Revision}
	stored, err := g.dependencies.Store.WriteSoftware(ctx, row)
	line := g.events.line("software_recorded").Str("service", string(service)).Int("versions", len(versions))
	switch {
	case err == nil:
		g.storedSoftware.rows[service] = stored
	case errors.Is(err, platform.ErrConflict):
		g.adoptSoftware(stored)
		line = line.Err(err)
	default:
		// The outcome is unknown. The next round reads what is stored.
		g.storedSoftware.loaded = false
		line = line.Err(err)
	}
	line.Msg("software_recorded")
}
