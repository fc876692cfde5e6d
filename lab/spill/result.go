package spill

import (
	"fmt"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/lab/enginemodel"
)

// ending is how a request ended.
type ending int

const (
	endedFinished ending = iota
	endedRefused
	endedFailed
)

// Result is what was measured after the warm-up.
type Result struct {
	Requests int
	Finished int
	Refused  int
	Failed   int
	// PromptTokens and CachedTokens are those of the requests with a first token.
	PromptTokens int
	CachedTokens int
	// Saturated and Useless count the hand-backs by busy routers and by routers
	// without an engine of the pool.
	Saturated int
	Useless   int
	// Lost counts the requests that weren't placed, the warm-up included.
	Lost int
	// Snapshots counts the caches that were read whole, the warm-up included.
	Snapshots int
	// MostStreams is the greatest number of streams at one engine.
	MostStreams int

	warmup      time.Duration
	firstTokens []time.Duration
}

func (r *Result) measured(c *call) bool { return c.request.At >= r.warmup }

func (r *Result) firstToken(c *call, event enginemodel.StreamEvent, at time.Duration) {
	if !r.measured(c) {
		return
	}
	r.PromptTokens += event.PromptTokens
	r.CachedTokens += event.CachedTokens
	r.firstTokens = append(r.firstTokens, at-c.request.At)
}

func (r *Result) ended(c *call, how ending) {
	if how == endedFailed {
		r.Lost++
	}
	if !r.measured(c) {
		return
	}
	r.Requests++
	r.Saturated += c.saturated
	r.Useless += c.useless
	switch how {
	case endedFinished:
		r.Finished++
	case endedRefused:
		r.Refused++
	case endedFailed:
		r.Failed++
	}
}

// HitRate is the part of the prompt tokens that engines had cached.
func (r *Result) HitRate() float64 { return ratio(r.CachedTokens, r.PromptTokens) }

// HandBacks is the number of hand-backs a request.
func (r *Result) HandBacks() float64 { return ratio(r.Saturated+r.Useless, r.Requests) }

// FirstToken returns a quantile of the time to the first token.
func (r *Result) FirstToken(quantile float64) time.Duration {
	if len(r.firstTokens) == 0 {
		return 0
	}
	slices.Sort(r.firstTokens)
	return r.firstTokens[min(int(quantile*float64(len(r.firstTokens))), len(r.firstTokens)-1)]
}

// String is a row of a table.
func (r *Result) String() string {
	return fmt.Sprintf("%d | %.3f | %.3f | %.3f | %.3f | %d | %d | %d", r.Requests, r.HitRate(),
		ratio(r.Saturated, r.Requests), ratio(r.Useless, r.Requests), ratio(r.Refused+r.Failed, r.Requests),
		r.FirstToken(0.5).Milliseconds(), r.FirstToken(0.95).Milliseconds(), r.FirstToken(0.99).Milliseconds())
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
