package delivery

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Parameters for choosing canaries and shares.
const (
	// minCanaries is the least number of canaries, if the target has as many workers. Two must be
	// bad for a rejection.
	minCanaries = 3
	// minCanaryRate is the number of requests per second that each additional canary must get.
	minCanaryRate = 2.0
	// maxCanaryLoadFactor limits a route's load at a canary, relative to its load per worker once
	// all requests go to the target.
	maxCanaryLoadFactor = 1.2
	// shareUpdateInterval is the least time between two changes of the shares.
	shareUpdateInterval = time.Second
	// maxCanaryWait is how long after the order the director waits for minCanaries workers before
	// it starts with fewer.
	maxCanaryWait = 2 * time.Second
)

// targetShare returns the fraction of a route's requests that currently goes to the target.
func (s *directorState) targetShare(route RouteName) float64 {
	switch {
	case s.shifting:
		return 1
	case s.verdict != 0 || len(s.canaries) == 0:
		return 0
	}
	if share, named := s.shares[route]; named {
		return share
	}
	return s.defaultShare
}

// wantedCanaries returns the number of canaries. With more, their load would be below that of the
// old workers, which would hide faults under load, and each would respond too rarely to be judged.
func (s *directorState) wantedCanaries(now time.Duration, share float64, targets int) int {
	byLoad := share * float64(targets)
	byRate := share * s.meter.traffic(now).rate / minCanaryRate
	return max(minCanaries, int(math.Round(min(byLoad, byRate))))
}

// chooseCanaries keeps the canaries that are still listed and adds workers if needed. A suspected
// canary is replaced by a worker that isn't suspected, since it can contribute no more evidence.
func (s *directorState) chooseCanaries(now time.Duration, targets []Worker) {
	wanted := s.wantedCanaries(now, s.defaultShare, len(targets))
	ranked := s.rankTargets(targets)
	chosen := ranked[:min(wanted, len(ranked))]
	slices.Sort(chosen)
	if !slices.Equal(chosen, s.canaries) {
		s.canaries = chosen
		s.changed = true
	}
}

// rankTargets returns the target's workers, best canaries first: current canaries, then other
// workers, then suspected ones, each by identifier.
func (s *directorState) rankTargets(targets []Worker) []fleet.EngineID {
	current := make(map[fleet.EngineID]bool, len(s.canaries))
	for _, worker := range s.canaries {
		current[worker] = true
	}
	rank := func(worker fleet.EngineID) int {
		switch {
		case s.suspected[worker]:
			return 2
		case current[worker]:
			return 0
		}
		return 1
	}
	ranked := make([]fleet.EngineID, 0, len(targets))
	for _, worker := range targets {
		ranked = append(ranked, worker.ID)
	}
	slices.SortFunc(ranked, func(a, b fleet.EngineID) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
	})
	return ranked
}

// updateShares recomputes the canary shares every shareUpdateInterval. Similar shares are kept,
// since each change is sent to all nodes.
func (s *directorState) updateShares(now time.Duration, targets int) {
	if s.shifting || s.sharesSetAt != 0 && now-s.sharesSetAt < shareUpdateInterval {
		return
	}
	first := s.sharesSetAt == 0
	s.sharesSetAt = now
	s.suspected = s.judge.suspects()
	observed := s.meter.traffic(now)
	share := s.schedule.canaryShare(now, observed)
	var shares map[RouteName]float64
	if observed.rate > 0 {
		shares = routeShares(share, s.meter.rates, s.maxRouteShare(now, share, targets))
	}
	if !first && isSimilar(share, s.defaultShare) && hasSimilarShares(shares, s.shares) {
		return
	}
	s.defaultShare, s.shares = share, shares
	s.changed = true
}

// maxRouteShare returns the highest share of a rare route. Its requests may be the longest and
// overload the few canaries, which would hide that a version is too slow.
func (s *directorState) maxRouteShare(now time.Duration, share float64, targets int) float64 {
	canaries := min(s.wantedCanaries(now, share, targets), targets)
	return min(maxShare, max(share, maxCanaryLoadFactor*float64(canaries)/float64(max(targets, 1))))
}

// isSimilar reports whether two shares differ by at most a sixth of the larger one.
func isSimilar(a, b float64) bool {
	return math.Abs(a-b) <= max(a, b)/6
}

// hasSimilarShares reports whether two maps have the same routes with similar shares.
func hasSimilarShares(a, b map[RouteName]float64) bool {
	return maps.EqualFunc(a, b, isSimilar)
}

// hasEnoughCanaries reports whether there are minCanaries, or any after maxCanaryWait.
func (s *directorState) hasEnoughCanaries(now time.Duration) bool {
	return len(s.canaries) >= minCanaries || len(s.canaries) > 0 && now-s.schedule.start >= maxCanaryWait
}
