package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	testWithin = 7 * time.Second
	testChange = 1200 * time.Millisecond
)

// pacerSimulation simulates engines that take a fixed time to change.
type pacerSimulation struct {
	pacer     *Pacer
	engines   []VersionedEngine
	startedAt map[fleet.EngineID]time.Duration
	target    map[fleet.EngineID]uint64
	loads     int
	loadTime  time.Duration
}

func newPacerSimulation(count int) *pacerSimulation {
	p := &pacerSimulation{
		pacer: NewPacer(PacerOptions{Within: testWithin, ChangeTime: testChange}), loadTime: testChange,
		startedAt: map[fleet.EngineID]time.Duration{}, target: map[fleet.EngineID]uint64{},
	}
	for number := range count {
		p.engines = append(p.engines, VersionedEngine{Engine: fleet.EngineID(fmt.Sprintf("e%02d", number)), Version: 1})
	}
	return p
}

func (p *pacerSimulation) step(now time.Duration) {
	for index := range p.engines {
		engine := &p.engines[index]
		if engine.Changing && now >= p.startedAt[engine.Engine]+p.loadTime {
			engine.Changing, engine.Version = false, p.target[engine.Engine]
			p.pacer.ObserveChange(p.loadTime, p.loadTime)
		}
	}
	for _, id := range p.pacer.Next(now, p.engines) {
		for index := range p.engines {
			if p.engines[index].Engine == id {
				p.engines[index].Changing = true
			}
		}
		p.startedAt[id], p.target[id] = now, p.pacer.Newest()
		p.loads++
	}
}

func (p *pacerSimulation) oldest() uint64 {
	oldest := p.engines[0].Version
	for _, engine := range p.engines {
		oldest = min(oldest, engine.Version)
	}
	return oldest
}

// TestEveryVersionReachesAllEnginesInTime guards against late engines and against more changes than
// needed while a version is published every 2 s.
func TestEveryVersionReachesAllEnginesInTime(t *testing.T) {
	for _, count := range []int{1, 12, 18, 60} {
		p := newPacerSimulation(count)
		published := map[uint64]time.Duration{}
		for now := time.Duration(0); now < 40*time.Second; now += 100 * time.Millisecond {
			if now%(2*time.Second) == 0 && now < 20*time.Second {
				version := uint64(now/(2*time.Second)) + 2
				require.True(t, p.pacer.Publish(now, version))
				published[version] = now
			}
			p.step(now)
			for version, at := range published {
				if now >= at+testWithin {
					require.GreaterOrEqual(t, p.oldest(), version, "%d engines, %s after", count, now-at)
				}
			}
		}
		assert.EqualValues(t, 11, p.oldest())
		if count > 1 {
			assert.Less(t, p.loads, 6*count, "engines skip some of the 10 versions")
		}
	}
}

// TestContendingLoadsReduceParallelism guards against too many parallel loads. More than six of the
// 60 engines slow each other down.
func TestContendingLoadsReduceParallelism(t *testing.T) {
	const loadTime, uncontended = 760 * time.Millisecond, 6
	p := newPacerSimulation(60)
	p.pacer = NewPacer(PacerOptions{Within: 30 * time.Second, ChangeTime: loadTime})
	maxParallel := func(from, to time.Duration) int {
		most := 0
		for now := from; now < to; now += 50 * time.Millisecond {
			changing := 0
			for _, engine := range p.engines {
				if engine.Changing {
					changing++
				}
			}
			most = max(most, changing)
			p.loadTime = loadTime * time.Duration(max(changing, uncontended)) / uncontended
			p.step(now)
		}
		return most
	}
	p.pacer.Publish(0, 2)
	assert.Equal(t, 12, maxParallel(0, 2*time.Second), "the usual fraction is a fifth")
	maxParallel(2*time.Second, 28*time.Second)
	p.pacer.Publish(30*time.Second, 3)
	maxParallel(30*time.Second, 45*time.Second)
	p.pacer.Publish(60*time.Second, 4)
	most := maxParallel(60*time.Second, 85*time.Second)
	assert.LessOrEqual(t, most, 10, "parallelism is reduced after slow loads")
	assert.GreaterOrEqual(t, most, uncontended-1)
	assert.EqualValues(t, 4, p.oldest())
}

// TestChangesAreSpreadUntilDue guards against changing many engines at once long before the
// deadline.
func TestChangesAreSpreadUntilDue(t *testing.T) {
	for count, most := range map[int]int{12: 4, 90: 20} {
		p := newPacerSimulation(count)
		p.pacer.Publish(0, 2)
		for now := time.Duration(0); now < testWithin; now += 100 * time.Millisecond {
			p.step(now)
			changing := 0
			for _, engine := range p.engines {
				if engine.Changing {
					changing++
				}
			}
			assert.LessOrEqual(t, changing, most, "%d engines at %s", count, now)
		}
		assert.EqualValues(t, 2, p.oldest())
	}
}

// TestOverdueEnginesChangeAtOnce guards against delaying engines that get no requests anyway.
func TestOverdueEnginesChangeAtOnce(t *testing.T) {
	p := newPacerSimulation(12)
	p.pacer.PublishAssumed(-time.Minute, 2)
	p.step(0)
	assert.Equal(t, 12, p.loads, "overdue changes are not staggered")
}

// TestChangeStartsAreStaggered guards against starting several changes at the same time.
func TestChangeStartsAreStaggered(t *testing.T) {
	p := newPacerSimulation(12)
	p.pacer.Publish(0, 2)
	for now := time.Duration(0); now < 4*time.Second; now += 100 * time.Millisecond {
		before := p.loads
		p.step(now)
		assert.LessOrEqual(t, p.loads-before, 1, "at %s", now)
	}
	assert.Positive(t, p.loads)
}

// TestFailedEngineIsTriedLast guards against retrying failed engines before other unreachable ones.
func TestFailedEngineIsTriedLast(t *testing.T) {
	p := newPacerSimulation(4)
	for index := range p.engines {
		p.engines[index].Unreachable = true
		p.engines[index].Failures = 3 - index
	}
	p.pacer.Publish(0, 2)
	assert.Equal(t, []fleet.EngineID{"e03", "e02"}, p.pacer.Next(0, p.engines))
}

// TestUnreachableEnginesDoNotUseTheParallelLimit guards against unreachable engines that block
// changes of reachable ones.
func TestUnreachableEnginesDoNotUseTheParallelLimit(t *testing.T) {
	p := newPacerSimulation(30)
	for index := range 10 {
		p.engines[index].Unreachable = true
	}
	p.pacer.Publish(0, 2)
	tried := 0
	for _, id := range p.pacer.Next(0, p.engines) {
		if id < "e10" {
			tried++
		}
	}
	assert.Equal(t, DefaultUnreachableParallel, tried)
	p.engines[0].Changing, p.engines[1].Changing = true, true
	for _, id := range p.pacer.Next(time.Second, p.engines) {
		assert.GreaterOrEqual(t, string(id), "e10")
	}
}

func TestEarliestPublicationTimeOfPeersApplies(t *testing.T) {
	pacer := NewPacer(PacerOptions{Within: testWithin})
	require.True(t, pacer.PublishAssumed(5*time.Second, 4))
	pacer.ObservePublication(8*time.Second, 4)
	pacer.ObservePublication(2*time.Second, 3)
	assert.EqualValues(t, 0, pacer.NewestDue(8*time.Second, testWithin))
	assert.EqualValues(t, 3, pacer.NewestDue(9*time.Second, testWithin), "a version published before this process started is due")
	assert.EqualValues(t, 3, pacer.NewestDue(14*time.Second, testWithin), "the assumed time is replaced")
	assert.EqualValues(t, 4, pacer.NewestDue(15*time.Second, testWithin))
	assert.Equal(t, []Publication{{Version: 3, At: 2 * time.Second}, {Version: 4, At: 8 * time.Second}}, pacer.RecentPublications(4))
	pacer.ObservePublication(9*time.Second, 4)
	assert.EqualValues(t, 4, pacer.NewestDue(15*time.Second, testWithin), "a later time is ignored")
}

func TestAssumedPublicationIsNotShared(t *testing.T) {
	pacer := NewPacer(PacerOptions{Within: testWithin})
	pacer.PublishAssumed(0, 2)
	assert.Empty(t, pacer.RecentPublications(4))
	assert.False(t, pacer.Publish(0, 2), "the version is already known")
}

func TestResetPendingKeepsDueVersions(t *testing.T) {
	pacer := NewPacer(PacerOptions{Within: testWithin})
	pacer.Publish(0, 2)
	pacer.Publish(5*time.Second, 3)
	pacer.ResetPending(8*time.Second, testWithin)
	assert.EqualValues(t, 2, pacer.NewestDue(8*time.Second, testWithin), "a due version stays due")
	assert.EqualValues(t, 2, pacer.NewestDue(14*time.Second, testWithin))
	assert.EqualValues(t, 3, pacer.NewestDue(15*time.Second, testWithin))
	pacer.ObservePublication(6*time.Second, 3)
	assert.EqualValues(t, 3, pacer.NewestDue(13*time.Second, testWithin), "a time reported by another process is applied")
}
