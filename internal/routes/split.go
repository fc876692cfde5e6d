package routes

import "github.com/tillerfall/tillerfall/internal/fleet"

// Splitter distributes each route's requests over its services by smooth weighted round robin, so even
// a short sequence of requests follows the weights. It isn't safe for concurrent use.
type Splitter struct {
	credits map[splitKey]int
}

type splitKey struct {
	route   string
	service fleet.PoolName
}

// NewSplitter returns a splitter without history.
func NewSplitter() *Splitter { return &Splitter{credits: make(map[splitKey]int)} }

// maxCredits bounds the memory used for routes that no longer exist.
const maxCredits = 4096

// Choose returns the service for the next request of a route; false if every weight is zero.
func (s *Splitter) Choose(route *Route) (fleet.PoolName, bool) {
	if len(route.Split) == 1 {
		return route.Split[0].Service, true
	}
	if len(s.credits) > maxCredits {
		clear(s.credits)
	}
	total := 0
	var best fleet.PoolName
	bestCredit := 0
	found := false
	for _, share := range route.Split {
		if share.Weight <= 0 {
			continue
		}
		key := splitKey{route: route.Name, service: share.Service}
		total += share.Weight
		s.credits[key] += share.Weight
		if !found || s.credits[key] > bestCredit {
			best, bestCredit, found = share.Service, s.credits[key], true
		}
	}
	if found {
		s.credits[splitKey{route: route.Name, service: best}] -= total
	}
	return best, found
}
