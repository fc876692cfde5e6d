package streamorigin

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// History holds which software versions of each service have been listed, and until when. As long as a
// service has had a single one, the origin of each of its streams is known without a record.
type History struct {
	// completeSince is the time from which on every listed worker was observed.
	completeSince time.Duration
	// wasEmpty is set if there were no streams before completeSince.
	wasEmpty bool
	workers  map[fleet.EngineID]*presence
	services map[fleet.PoolName][]*presence
}

// presence is the time in which workers of one version of a service were listed.
type presence struct {
	origin Origin
	// listed is the number of listed workers, and lastListed when the last one was removed.
	listed     int
	lastListed time.Duration
}

// NewHistory returns a history that begins now. first is set if the fleet has just started for the first
// time, so that no stream is older.
func NewHistory(now time.Duration, first bool) *History {
	return &History{
		completeSince: now, wasEmpty: first,
		workers: make(map[fleet.EngineID]*presence), services: make(map[fleet.PoolName][]*presence),
	}
}

// Listed records that a worker is listed. It reports whether its version is the second one of its service
// within the window, so that the origins of the service's streams are no longer evident.
func (h *History) Listed(now, window time.Duration, worker fleet.EngineID, origin Origin) bool {
	previous := h.workers[worker]
	if previous != nil && previous.origin == origin {
		return false
	}
	before := len(h.Versions(now, window, origin.Service))
	current := h.presenceOf(origin)
	current.listed++
	h.workers[worker] = current
	if previous != nil {
		previous.remove(now)
	}
	return before == 1 && len(h.Versions(now, window, origin.Service)) > 1
}

// Removed records that a worker is no longer listed.
func (h *History) Removed(now time.Duration, worker fleet.EngineID) {
	if current := h.workers[worker]; current != nil {
		current.remove(now)
		delete(h.workers, worker)
	}
}

func (p *presence) remove(now time.Duration) {
	p.listed--
	p.lastListed = now
}

func (h *History) presenceOf(origin Origin) *presence {
	for _, known := range h.services[origin.Service] {
		if known.origin == origin {
			return known
		}
	}
	added := &presence{origin: origin}
	h.services[origin.Service] = append(h.services[origin.Service], added)
	return added
}

// Versions returns the versions of a service that are listed or were within the window before now.
func (h *History) Versions(now, window time.Duration, service fleet.PoolName) []fleet.SoftwareVersion {
	var versions []fleet.SoftwareVersion
	for _, known := range h.services[service] {
		if known.listed > 0 || now < known.lastListed+window {
			versions = append(versions, known.origin.Version)
		}
	}
	return versions
}

// IsComplete reports whether all workers that were listed within the window before now were observed.
func (h *History) IsComplete(now, window time.Duration) bool {
	return h.wasEmpty || now >= h.completeSince+window
}

// Expire drops the versions that were last listed before the window.
func (h *History) Expire(now, window time.Duration) {
	for service, known := range h.services {
		kept := slices.DeleteFunc(known, func(p *presence) bool { return p.listed == 0 && now >= p.lastListed+window })
		if len(kept) == 0 {
			delete(h.services, service)
			continue
		}
		h.services[service] = kept
	}
}
