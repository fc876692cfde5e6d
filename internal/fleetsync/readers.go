package fleetsync

import (
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

const (
	// readersPerRegion is the number of routers per region that read the platform's list of
	// machines, which limits the load on the platform.
	readersPerRegion = 3
	// readersKey keeps the selection independent of that of lease candidates.
	readersKey = "machines/"
)

// Readers returns the routers of a region that read the platform's list of machines for the others,
// ordered by rendezvous hashing. Routers with different views of the membership may get different
// results, so a router that is asked for its list reports whether it is current.
func Readers(region fleet.RegionName, members []membership.Member) []membership.Member {
	local := make([]membership.Member, 0, len(members))
	for _, member := range members {
		if member.Region == region {
			local = append(local, member)
		}
	}
	var readers []membership.Member
	for _, node := range membership.Owners(readersKey+string(region), local, readersPerRegion) {
		index := slices.IndexFunc(local, func(member membership.Member) bool { return member.Node == node })
		readers = append(readers, local[index])
	}
	return readers
}
