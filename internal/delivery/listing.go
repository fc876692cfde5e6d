package delivery

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// newVersionHold is how long a version that appears beside others is held back while no
// order is known: orders and workers reach a node by different ways, and a target that is
// listed first would get its part of all requests until the order comes.
const newVersionHold = 2500 * time.Millisecond

// listing is what a follower knows of a service's listed versions.
type listing struct {
	versions []fleet.SoftwareVersion
	// holdBack excludes versions that are new until a time, nil if there are none.
	holdBack *Filter
	until    time.Duration
}

// ObserveVersions takes in the software versions of the workers that are listed for a service.
// It is called when that list changes.
func (f *Follower) ObserveVersions(now time.Duration, service fleet.PoolName, versions []fleet.SoftwareVersion) {
	before := f.listings[service]
	if before == nil {
		f.listings[service] = &listing{versions: slices.Clone(versions)}
		return
	}
	var fresh []fleet.SoftwareVersion
	for _, version := range versions {
		if !slices.Contains(before.versions, version) {
			fresh = append(fresh, version)
		}
	}
	before.versions = slices.Clone(versions)
	if len(fresh) == 0 {
		return
	}
	before.until = now + newVersionHold
	fallback := &Filter{}
	if known := f.services[service]; known != nil && known.filters.unrestricted != nil {
		fallback = known.filters.unrestricted
	}
	before.holdBack = &Filter{excluded: slices.Concat(fallback.excluded, fresh), fallback: fallback}
}

// filterWithoutOrder returns what holds for a service without an unfinished order: otherwise, or
// for a while that new versions are held back.
func (f *Follower) filterWithoutOrder(now time.Duration, service fleet.PoolName, otherwise *Filter) *Filter {
	seen := f.listings[service]
	if seen == nil || seen.holdBack == nil || now >= seen.until {
		return otherwise
	}
	return seen.holdBack
}
