package fleetsync

import (
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

const (
	// readersPerRegion is the number of routers of a region that read the
	// platform's list of machines, so that its load doesn't grow with the fleet.
	readersPerRegion = 3
	// readersKey sets their choice apart from those of leases.
	readersKey = "machines/"
)

// Readers returns the routers of a region that read the platform's list of
// machines for the others, best first, by rendezvous hashing. Routers whose
// views of the membership differ may choose differently: a router that is asked
// tells whether it reads.
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
