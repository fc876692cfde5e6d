package platformmodel

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/platform"
)

// WeightStore models the loading of weights. Up to a limit each load runs at full speed; beyond it
// the loads share the speed of the limit equally (processor sharing).
type WeightStore struct {
	fullSpeed int
	updated   time.Duration
	loads     []weightLoad // in order of start
}

// weightLoad is one load; remaining is the time that it still needs at full speed.
type weightLoad struct {
	loader    string
	remaining time.Duration
}

// NewWeightStore returns an idle store that runs fullSpeed loads at full speed, at least one.
func NewWeightStore(fullSpeed int) *WeightStore {
	return &WeightStore{fullSpeed: max(fullSpeed, 1)}
}

// Start starts a load that takes work at full speed. It replaces a load of the same loader.
func (s *WeightStore) Start(now time.Duration, loader string, work time.Duration) {
	s.Cancel(now, loader)
	s.loads = append(s.loads, weightLoad{loader: loader, remaining: max(work, 0)})
}

// Cancel cancels the load of a loader, if there is one.
func (s *WeightStore) Cancel(now time.Duration, loader string) {
	s.advance(now)
	s.loads = slices.DeleteFunc(s.loads, func(load weightLoad) bool { return load.loader == loader })
}

// Finished removes the finished loads and returns their loaders in order of start.
func (s *WeightStore) Finished(now time.Duration) []string {
	s.advance(now)
	var done []string
	s.loads = slices.DeleteFunc(s.loads, func(load weightLoad) bool {
		if load.remaining > 0 {
			return false
		}
		done = append(done, load.loader)
		return true
	})
	return done
}

// NextFinish returns when the next load finishes if none is started or cancelled before. It returns
// false if there is no load.
func (s *WeightStore) NextFinish(now time.Duration) (time.Duration, bool) {
	s.advance(now)
	if len(s.loads) == 0 {
		return 0, false
	}
	shortest := s.loads[0].remaining
	for _, load := range s.loads[1:] {
		shortest = min(shortest, load.remaining)
	}
	if running := s.running(); running > s.fullSpeed {
		shortest = ceilScale(shortest, running, s.fullSpeed)
	}
	return now + shortest, true
}

// Status returns the number of running loads and the limit.
func (s *WeightStore) Status(now time.Duration) platform.WeightStoreStatus {
	s.advance(now)
	return platform.WeightStoreStatus{Loading: s.running(), Limit: s.fullSpeed}
}

// running counts the loads that are not finished.
func (s *WeightStore) running() int {
	count := 0
	for _, load := range s.loads {
		if load.remaining > 0 {
			count++
		}
	}
	return count
}

// advance applies the time since the last call in intervals between load ends, because each end
// speeds up the remaining loads.
func (s *WeightStore) advance(now time.Duration) {
	for s.updated < now {
		running := s.running()
		if running == 0 {
			break
		}
		elapsed := s.timeToNextFinish(now-s.updated, running)
		s.applyProgress(elapsed, running)
		s.updated += elapsed
	}
	s.updated = max(s.updated, now)
}

// timeToNextFinish returns the time until the next load finishes, at most limit.
func (s *WeightStore) timeToNextFinish(limit time.Duration, running int) time.Duration {
	elapsed := limit
	for _, load := range s.loads {
		if load.remaining > 0 {
			elapsed = min(elapsed, ceilScale(load.remaining, max(running, s.fullSpeed), s.fullSpeed))
		}
	}
	return elapsed
}

func (s *WeightStore) applyProgress(elapsed time.Duration, running int) {
	done := elapsed
	if running > s.fullSpeed {
		done = elapsed * time.Duration(s.fullSpeed) / time.Duration(running)
	}
	for index := range s.loads {
		s.loads[index].remaining = max(s.loads[index].remaining-done, 0)
	}
}

// ceilScale returns d*numerator/denominator rounded up, so that a load has finished after the
// returned time.
func ceilScale(d time.Duration, numerator, denominator int) time.Duration {
	product := d * time.Duration(numerator)
	divisor := time.Duration(denominator)
	return (product + divisor - 1) / divisor
}
