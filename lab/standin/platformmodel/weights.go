package platformmodel

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/platform"
)

// WeightStore serves loads of weights. Up to a limit each runs at full speed;
// beyond it they share the limit's speed equally (processor sharing).
type WeightStore struct {
	fullSpeed int
	updated   time.Duration
	loads     []weightLoad // in order of start
}

// weightLoad is one load; remaining is its time at full speed.
type weightLoad struct {
	loader    string
	remaining time.Duration
}

// NewWeightStore returns an idle store for fullSpeed loads at once, at least one.
func NewWeightStore(fullSpeed int) *WeightStore {
	return &WeightStore{fullSpeed: max(fullSpeed, 1)}
}

// Start begins a load that takes work at full speed, or begins it anew.
func (s *WeightStore) Start(now time.Duration, loader string, work time.Duration) {
	s.Cancel(now, loader)
	s.loads = append(s.loads, weightLoad{loader: loader, remaining: max(work, 0)})
}

// Cancel drops a load.
func (s *WeightStore) Cancel(now time.Duration, loader string) {
	s.advance(now)
	s.loads = slices.DeleteFunc(s.loads, func(load weightLoad) bool { return load.loader == loader })
}

// Finished removes and returns the loaders that are done, in order of start.
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

// NextFinish returns when the next load ends if none starts or is cancelled;
// false if there is none.
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

// Status returns how busy the store is.
func (s *WeightStore) Status(now time.Duration) platform.WeightStoreStatus {
	s.advance(now)
	return platform.WeightStoreStatus{Loading: s.running(), Limit: s.fullSpeed}
}

// running counts the loads that still need the store.
func (s *WeightStore) running() int {
	count := 0
	for _, load := range s.loads {
		if load.remaining > 0 {
			count++
		}
	}
	return count
}

// advance spends the time since the last call, load end by load end, because
// each end speeds up the rest.
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

// timeToNextFinish returns the time to the next end, at most limit.
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

// ceilScale returns d*numerator/denominator, rounded up so that waiting for it
// is never too short.
func ceilScale(d time.Duration, numerator, denominator int) time.Duration {
	product := d * time.Duration(numerator)
	divisor := time.Duration(denominator)
	return (product + divisor - 1) / divisor
}
