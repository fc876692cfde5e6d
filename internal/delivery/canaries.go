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
	// minCanaries is the number of the target's workers that get the canary share, if
	// there are as many: two must be bad for a verdict.
	minCanaries = 3
	// minCanaryRate is the number of requests a second that each further one must get.
	minCanaryRate = 2.0
	// maxCanaryLoadFactor is by how many times a route's load at a canary may exceed that of the
	// workers when everything goes to them.
	maxCanaryLoadFactor = 1.2
	// shareUpdateInterval is the time for which shares stay, so that directives change seldom.
	shareUpdateInterval = time.Second
	// maxCanaryWait is the time after an order within which the target's first workers
	// are waited for, so that the first canaries aren't a single one.
	maxCanaryWait = 2 * time.Second
)

// targetShare returns the part of a route's requests that the target gets now.
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

// wantedCanaries returns how many of the target's workers get the share: with more than it
// needs, their load would be below the old side's, and a fault under load wouldn't show; and
// each must answer often enough to be known.
func (s *directorState) wantedCanaries(now time.Duration, share float64, targets int) int {
	asLoaded := share * float64(targets)
	answering := share * s.meter.traffic(now).rate / minCanaryRate
	return max(minCanaries, int(math.Round(min(asLoaded, answering))))
}

// chooseCanaries keeps those canaries that are still listed and fills up. A canary that
// may be grey gives way to a worker that isn't suspected: it has shown what it can.
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

// rankTargets returns the target's workers, best canaries first: unsuspected ones before
// suspected ones, then those that are canaries, then by name.
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

// updateShares works out the canary share anew, each sharesHold. Shares that have hardly
// changed stay: each change is told to all nodes at once.
func (s *directorState) updateShares(now time.Duration, targets int) {
	if s.shifting || s.sharesSetAt != 0 && now-s.sharesSetAt < shareUpdateInterval {
		return
	}
	first := s.sharesSetAt == 0
	s.sharesSetAt = now
	s.suspected = s.judge.suspects()
	seen := s.meter.traffic(now)
	share := s.schedule.canaryShare(now, seen)
	var shares map[RouteName]float64
	if seen.rate > 0 {
		shares = routeShares(share, s.meter.rates, s.maxRouteShare(now, share, targets))
	}
	if !first && isSimilar(share, s.defaultShare) && hasSimilarShares(shares, s.shares) {
		return
	}
	s.defaultShare, s.shares = share, shares
	s.changed = true
}

// maxRouteShare returns what a rare route may get at the most. Its requests may be the
// longest, and keep the few target workers so busy that a version which is far too slow looks
// like a good one.
func (s *directorState) maxRouteShare(now time.Duration, share float64, targets int) float64 {
	canaries := min(s.wantedCanaries(now, share, targets), targets)
	return min(maxShare, max(share, maxCanaryLoadFactor*float64(canaries)/float64(max(targets, 1))))
}

// isSimilar tells whether two shares differ by less than a sixth.
func isSimilar(a, b float64) bool {
	return math.Abs(a-b) <= max(a, b)/6
}

// hasSimilarShares tells whether two sets of shares name the same routes with similar shares.
func hasSimilarShares(a, b map[RouteName]float64) bool {
	return maps.EqualFunc(a, b, isSimilar)
}

// hasEnoughCanaries tells whether there are enough canaries to be told apart, or has waited.
func (s *directorState) hasEnoughCanaries(now time.Duration) bool {
	return len(s.canaries) >= minCanaries || len(s.canaries) > 0 && now-s.schedule.start >= maxCanaryWait
}
