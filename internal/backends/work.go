package backends

import (
	"math"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Constants of the partition.
const (
	// longPromptFraction is the part of a batch step that a prompt fills to count as
	// long.
	longPromptFraction = 0.75
	// outputTokenTime is the engine time that an output token takes: many streams
	// share a batch step.
	outputTokenTime = 30 * time.Microsecond
	// workHalfLife is the time in which what was seen of the work halves.
	workHalfLife = 8 * time.Second
	// minPartitionShare is the share of the work below which a size gets no engines of
	// its own.
	minPartitionShare = 0.08
	// reservedPenalty is the price of an engine that is kept for the other size.
	reservedPenalty = 25 * time.Millisecond
)

// Work is the work of requests with long and with short prompts, as seen of late.
type Work struct {
	Long, Short time.Duration
}

// add returns the sum of two.
func (w Work) add(other Work) Work {
	return Work{Long: w.Long + other.Long, Short: w.Short + other.Short}
}

// workTracker follows the work of this node's requests to a service. Some engines
// of a service are kept for long prompts and the others for short ones: a long
// prompt holds up the streams of all requests beside it. The shares follow the
// work of all nodes, and all order the engines alike, so that they agree.
type workTracker struct {
	long, short float64
	at          time.Duration
}

// work returns what was seen of late.
func (p *workTracker) work(now time.Duration) Work {
	if idle := now - p.at; idle > 0 {
		decay := math.Exp2(-float64(idle) / float64(workHalfLife))
		p.long *= decay
		p.short *= decay
		p.at = now
	}
	return Work{Long: time.Duration(p.long * float64(time.Second)), Short: time.Duration(p.short * float64(time.Second))}
}

// record takes the work of a request in.
func (p *workTracker) record(now time.Duration, long bool, work time.Duration) {
	p.work(now)
	if long {
		p.long += work.Seconds()
	} else {
		p.short += work.Seconds()
	}
}

// enginesForLong returns how many of count engines are kept for long prompts, and
// whether any are kept for either size.
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

// OwnWork returns the work of this node's requests, by service.
func (r *Registry) OwnWork(now time.Duration) map[fleet.PoolName]Work {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	work := make(map[fleet.PoolName]Work, len(r.workTrackers))
	for service, own := range r.workTrackers {
		work[service] = own.work(now)
	}
	return work
}

// isLongPrompt tells whether a prompt counts as long.
func (r *Registry) isLongPrompt(engine *EngineRequest) bool {
	return float64(engine.PromptTokens) >= longPromptFraction*float64(r.options.StepTokens)
}

// recordWork takes a placed request into the partition; the mutex is held.
func (r *Registry) recordWork(now time.Duration, service fleet.PoolName, engine *EngineRequest, uncached int) {
	current := r.workTrackers[service]
	if current == nil {
		current = &workTracker{at: now}
		r.workTrackers[service] = current
	}
	work := time.Duration(uncached)*r.perToken(service) + time.Duration(engine.OutputTokens)*outputTokenTime
	current.record(now, r.isLongPrompt(engine), work)
}
