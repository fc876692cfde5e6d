package delivery

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// How canaries and shares are chosen.
const (
	// leastCanaries is the number of the target's workers that get the canary share, if
	// there are as many: two must be bad for a verdict.
	leastCanaries = 3
	// leastCanaryRate is the number of requests a second that each further one must get.
	leastCanaryRate = 2.0
	// canaryLoad is by how many times a route's load at a canary may exceed that of the
	// workers when everything goes to them.
	canaryLoad = 1.2
	// sharesHold is the time for which shares stay, so that directives change seldom.
	sharesHold = time.Second
	// targetSettles is the time after an order within which the target's first workers
	// are waited for, so that the first canaries aren't a single one.
	targetSettles = 2 * time.Second
)

// asked returns the part of a route's requests that the target gets now.
func (s *directed) asked(route RouteName) float64 {
	switch {
	case s.shifting:
		return 1
	case s.verdict != 0 || len(s.canaries) == 0:
		return 0
	}
	if share, named := s.shares[route]; named {
		return share
	}
	return s.share
}

// wantedCanaries returns how many of the target's workers get the share: with more than it
// needs, their load would be below the old side's, and a fault under load wouldn't show; and
// each must answer often enough to be known.
func (s *directed) wantedCanaries(now time.Duration, share float64, targets int) int {
	asLoaded := share * float64(targets)
	answering := share * s.meter.traffic(now).rate / leastCanaryRate
	return max(leastCanaries, int(math.Round(min(asLoaded, answering))))
}

// chooseCanaries keeps those canaries that are still listed and fills up. A canary that
// may be grey gives way to a worker that isn't suspected: it has shown what it can.
func (s *directed) chooseCanaries(now time.Duration, targets []TargetWorker) {
	wanted := s.wantedCanaries(now, s.share, len(targets))
	ranked := s.rankTargets(targets)
	chosen := ranked[:min(wanted, len(ranked))]
	slices.Sort(chosen)
	if !slices.Equal(chosen, s.canaries) {
		s.canaries = chosen
		s.changed = true
	}
}

// rankTargets returns the target's workers, best canaries first: unsuspected ones before
// suspected ones, then those that are canaries, then by name.
func (s *directed) rankTargets(targets []TargetWorker) []fleet.EngineID {
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

// setShares works out the canary share anew, each sharesHold. Shares that have hardly
// changed stay: each change is told to all nodes at once.
func (s *directed) setShares(now time.Duration, targets int) {
	if s.shifting || s.sharesAt != 0 && now-s.sharesAt < sharesHold {
		return
	}
	first := s.sharesAt == 0
	s.sharesAt = now
	s.suspected = s.judge.suspects()
	seen := s.meter.traffic(now)
	share := s.schedule.share(now, seen)
	var shares map[RouteName]float64
	if seen.rate > 0 {
		shares = routeShares(share, s.meter.rates, s.highestRouteShare(now, share, targets))
	}
	if !first && similar(share, s.share) && similarShares(shares, s.shares) {
		return
	}
	s.share, s.shares = share, shares
	s.changed = true
}

// highestRouteShare returns what a rare route may get at the most. Its requests may be the
// longest, and keep the few target workers so busy that a version which is far too slow looks
// like a good one.
func (s *directed) highestRouteShare(now time.Duration, share float64, targets int) float64 {
	canaries := min(s.wantedCanaries(now, share, targets), targets)
	return min(highestShare, max(share, canaryLoad*float64(canaries)/float64(max(targets, 1))))
}

// similar tells whether two shares differ by less than a sixth.
func similar(a, b float64) bool {
	return math.Abs(a-b) <= max(a, b)/6
}

// similarShares tells whether two sets of shares name the same routes with similar shares.
func similarShares(a, b map[RouteName]float64) bool {
	return maps.EqualFunc(a, b, similar)
}

// canariesReady tells whether there are enough canaries to be told apart, or has waited.
func (s *directed) canariesReady(now time.Duration) bool {
	return len(s.canaries) >= leastCanaries || len(s.canaries) > 0 && now-s.schedule.start >= targetSettles
}
