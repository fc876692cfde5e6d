package delivery

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// newVersionHold is how long a newly listed version is held back while no order is known. Orders
// and worker lists reach a node separately; without the hold, a target listed before its order
// arrives would get its full share of the requests.
const newVersionHold = 2500 * time.Millisecond

// listing holds the versions listed for a service.
type listing struct {
	versions []fleet.SoftwareVersion
	// holdBack excludes new versions before until; nil if there are none.
	holdBack *Filter
	until    time.Duration
}

// ObserveVersions sets the software versions of the workers listed for a service. It is called when
// that list changes.
func (f *Follower) ObserveVersions(now time.Duration, service fleet.PoolName, versions []fleet.SoftwareVersion) {
	current := f.listings[service]
	if current == nil {
		f.listings[service] = &listing{versions: slices.Clone(versions)}
		return
	}
	var added []fleet.SoftwareVersion
	for _, version := range versions {
		if !slices.Contains(current.versions, version) {
			added = append(added, version)
		}
	}
	current.versions = slices.Clone(versions)
	if len(added) == 0 {
		return
	}
	current.until = now + newVersionHold
	fallback := &Filter{}
	if state := f.services[service]; state != nil && state.filters.unrestricted != nil {
		fallback = state.filters.unrestricted
	}
	current.holdBack = &Filter{excluded: slices.Concat(fallback.excluded, added), fallback: fallback}
}

// filterWithoutOrder returns the filter for a service without an unfinished order: the one that
// holds back new versions while it applies, else otherwise.
func (f *Follower) filterWithoutOrder(now time.Duration, service fleet.PoolName, otherwise *Filter) *Filter {
	listed := f.listings[service]
	if listed == nil || listed.holdBack == nil || now >= listed.until {
		return otherwise
	}
	return listed.holdBack
}
