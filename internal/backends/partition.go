package backends

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Constants of the partition.
const (
	// longPromptSteps is the part of a batch step that a prompt fills to count as
	// long.
	longPromptSteps = 0.75
	// outputTokenWork is the engine time that an output token takes: many streams
	// share a batch step.
	outputTokenWork = 300 * time.Microsecond
	// workHalfLife is the time in which what was seen of the work halves.
	workHalfLife = 8 * time.Second
	// leastShare is the share of the work below which a size gets no engines of
	// its own.
	leastShare = 0.08
	// reservedPrice is the price of an engine that is kept for the other size.
	reservedPrice = 25 * time.Millisecond
)

// partition keeps some engines of a service for long prompts and the others for
// short ones: a long prompt holds up the streams of all requests beside it. The
// shares follow the work seen. All nodes order the engines alike, so that nodes
// which see somewhat different work differ about an engine or two at most.
type partition struct {
	long, short float64
	at          time.Duration
}

// note takes the work of a request in.
func (p *partition) note(now time.Duration, long bool, work time.Duration) {
	if idle := now - p.at; idle > 0 {
		kept := math.Exp2(-float64(idle) / float64(workHalfLife))
		p.long *= kept
		p.short *= kept
		p.at = now
	}
	if long {
		p.long += work.Seconds()
	} else {
		p.short += work.Seconds()
	}
}

// forLong returns how many of count engines are kept for long prompts, and
// whether any are kept for either size.
func (p *partition) forLong(count int) (kept int, apart bool) {
	total := p.long + p.short
	if count < 2 || total <= 0 {
		return 0, false
	}
	share := p.long / total
	if share < leastShare || share > 1-leastShare {
		return 0, false
	}
	return min(max(int(math.Round(share*float64(count))), 1), count-1), true
}

// reservedFor returns the engines of a service that are kept for long prompts;
// nil if none are kept for either size. The mutex is held.
func (r *Registry) reservedFor(service fleet.PoolName) map[fleet.EngineID]bool {
	current := r.partitions[service]
	if current == nil {
		return nil
	}
	var engines []fleet.EngineID
	for id, known := range r.workers {
		if known.worker.Service == service && known.listed() {
			engines = append(engines, id)
		}
	}
	kept, apart := current.forLong(len(engines))
	if !apart {
		return nil
	}
	slices.SortFunc(engines, func(a, b fleet.EngineID) int {
		return cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
	})
	reserved := make(map[fleet.EngineID]bool, kept)
	for _, id := range engines[:kept] {
		reserved[id] = true
	}
	return reserved
}

// isLong tells whether a prompt counts as long.
func (r *Registry) isLong(engine *EngineRequest) bool {
	return float64(engine.PromptTokens) >= longPromptSteps*float64(r.options.StepTokens)
}

// noteWork takes a placed request into the partition; the mutex is held.
func (r *Registry) noteWork(now time.Duration, service fleet.PoolName, engine *EngineRequest, uncached int) {
	current := r.partitions[service]
	if current == nil {
		current = &partition{at: now}
		r.partitions[service] = current
	}
	work := time.Duration(uncached)*r.options.PrefillPerToken + time.Duration(engine.OutputTokens)*outputTokenWork
	current.note(now, r.isLong(engine), work)
}
