package streamorigin

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// History holds which software versions of each service took new requests, and until when. As long as a
// service has had a single one, the origin of each of its streams is known without a record.
type History struct {
	// completeSince is the time from which on the versions in use were observed.
	completeSince time.Duration
	// wasEmpty is set if there were no streams before completeSince.
	wasEmpty bool
	services map[fleet.PoolName][]usedVersion
	// adopted holds the services whose earlier versions were adopted from a complete history.
	adopted map[fleet.PoolName]bool
}

// usedVersion is a version with the last time at which it was in use.
type usedVersion struct {
	version fleet.SoftwareVersion
	lastAt  time.Duration
}

// NewHistory returns a history that begins now. first is set if the fleet has just started for the first
// time, so that no stream is older.
func NewHistory(now time.Duration, first bool) *History {
	return &History{completeSince: now, wasEmpty: first, services: make(map[fleet.PoolName][]usedVersion), adopted: make(map[fleet.PoolName]bool)}
}

// Observe records the versions of a service that are in use now. It reports whether there is more than
// one within the window since this observation, so that the origins of the service's streams are no longer
// evident.
func (h *History) Observe(now, window time.Duration, service fleet.PoolName, versions []fleet.SoftwareVersion) bool {
	before := len(h.Versions(now, window, service))
	for _, version := range versions {
		h.use(now, service, version)
	}
	return before == 1 && len(h.Versions(now, window, service)) > 1
}

func (h *History) use(now time.Duration, service fleet.PoolName, version fleet.SoftwareVersion) {
	used := h.services[service]
	at := slices.IndexFunc(used, func(known usedVersion) bool { return known.version == version })
	if at >= 0 {
		used[at].lastAt = now
		return
	}
	h.services[service] = append(used, usedVersion{version: version, lastAt: now})
}

// Versions returns the versions of a service that were in use within the window before now.
func (h *History) Versions(now, window time.Duration, service fleet.PoolName) []fleet.SoftwareVersion {
	var versions []fleet.SoftwareVersion
	for _, used := range h.services[service] {
		if now < used.lastAt+window {
			versions = append(versions, used.version)
		}
	}
	return versions
}

// Adopt adds the versions of a service that another complete history has recorded, as if they were in use
// now.
func (h *History) Adopt(now time.Duration, service fleet.PoolName, versions []fleet.SoftwareVersion) {
	for _, version := range versions {
		h.use(now, service, version)
	}
	h.adopted[service] = true
}

// IsComplete reports whether the versions of a service that were in use during the whole window before now
// are known.
func (h *History) IsComplete(now, window time.Duration, service fleet.PoolName) bool {
	return h.wasEmpty || h.adopted[service] || now >= h.completeSince+window
}

// Expire drops the versions that were last in use before the window.
func (h *History) Expire(now, window time.Duration) {
	for service, used := range h.services {
		kept := slices.DeleteFunc(used, func(known usedVersion) bool { return now >= known.lastAt+window })
		if len(kept) == 0 {
			delete(h.services, service)
			continue
		}
		h.services[service] = kept
	}
}
