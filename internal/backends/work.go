package backends

import (
	"math"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Parameters of the partition by prompt size.
const (
	// longPromptFraction is the fraction of a batch step that a long prompt fills at least.
	longPromptFraction = 0.75
	// outputTokenTime is the engine time for an output token. It is short since many streams share
	// a batch step.
	outputTokenTime = 30 * time.Microsecond
	// workHalfLife is the time in which recorded work decays by half.
	workHalfLife = 8 * time.Second
	// minPartitionShare is the minimum share of the work for which a prompt size gets engines of
	// its own.
	minPartitionShare = 0.08
	// reservedPenalty is the cost of an engine that is reserved for the other prompt size.
	reservedPenalty = 25 * time.Millisecond
)

// Work is the recent work of requests with long and with short prompts, in engine time.
type Work struct {
	Long, Short time.Duration
}

// add returns the sum of two amounts of work.
func (w Work) add(other Work) Work {
	return Work{Long: w.Long + other.Long, Short: w.Short + other.Short}
}

// workTracker tracks the work of this node's requests to a service. The engines of a service are
// partitioned between long and short prompts, since long prompts delay the streams of other
// requests at the same engine. All nodes derive the shares from their total work and order the
// engines alike, so that they agree on the partition.
type workTracker struct {
	long, short float64
	updatedAt   time.Duration
}

// work returns the decayed work.
func (t *workTracker) work(now time.Duration) Work {
	if idle := now - t.updatedAt; idle > 0 {
		decay := math.Exp2(-float64(idle) / float64(workHalfLife))
		t.long *= decay
		t.short *= decay
		t.updatedAt = now
	}
	return Work{Long: time.Duration(t.long * float64(time.Second)), Short: time.Duration(t.short * float64(time.Second))}
}

// record adds the work of a request.
func (t *workTracker) record(now time.Duration, long bool, work time.Duration) {
	t.work(now)
	if long {
		t.long += work.Seconds()
	} else {
		t.short += work.Seconds()
	}
}

// enginesForLong returns how many of count engines are reserved for long prompts, and whether the
// engines are partitioned at all.
func (w Work) enginesForLong(count int) (longEngines int, partitioned bool) {
	total := w.Long + w.Short
	if count < 2 || total <= 0 {
		return 0, false
	}
	share := float64(w.Long) / float64(total)
	if share < minPartitionShare || share > 1-minPartitionShare {
		return 0, false
	}
	return min(max(int(math.Round(share*float64(count))), 1), count-1), true
}

// OwnWork returns the work of this node's requests by service.
func (r *Registry) OwnWork(now time.Duration) map[fleet.PoolName]Work {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	work := make(map[fleet.PoolName]Work, len(r.workTrackers))
	for service, own := range r.workTrackers {
		work[service] = own.work(now)
	}
	return work
}

// isLongPrompt reports whether the prompt counts as long.
func (r *Registry) isLongPrompt(engine *EngineRequest) bool {
	return float64(engine.PromptTokens) >= longPromptFraction*float64(r.options.StepTokens)
}

// recordWork adds the work of a placed request. The mutex must be held.
func (r *Registry) recordWork(now time.Duration, service fleet.PoolName, engine *EngineRequest, uncached int) {
	current := r.workTrackers[service]
	if current == nil {
		current = &workTracker{updatedAt: now}
		r.workTrackers[service] = current
	}
	current.record(now, r.isLongPrompt(engine), r.workOf(service, engine, uncached))
}

// workOf returns the engine time of a request. The mutex must be held.
func (r *Registry) workOf(service fleet.PoolName, engine *EngineRequest, uncached int) time.Duration {
	return time.Duration(uncached)*r.perToken(service) + time.Duration(engine.OutputTokens)*outputTokenTime
}
