package spill

import (
	"fmt"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/lab/enginemodel"
)

// requestResult is how a request ended.
type requestResult int

const (
	resultFinished requestResult = iota
	resultRefused
	resultFailed
)

// Result holds the measurements of a run. Unless noted otherwise they cover the requests after the
// warm-up.
type Result struct {
	Requests int
	Finished int
	Refused  int
	Failed   int
	// PromptTokens and CachedTokens are summed over the requests that produced a first token.
	PromptTokens int
	CachedTokens int
	// SaturatedHandBacks and UnservedHandBacks count the hand-backs by saturated routers and by
	// routers without an engine of the pool.
	SaturatedHandBacks int
	UnservedHandBacks  int
	// TotalFailed counts the failed requests, including those of the warm-up.
	TotalFailed int
	// Snapshots counts the cache snapshots that were read, including those of the warm-up.
	Snapshots int
	// PeakStreams is the maximum number of concurrent streams at any engine.
	PeakStreams int

	warmup            time.Duration
	timesToFirstToken []time.Duration
}

func (r *Result) isMeasured(c *call) bool { return c.request.At >= r.warmup }

func (r *Result) recordFirstToken(c *call, event enginemodel.StreamEvent, at time.Duration) {
	if !r.isMeasured(c) {
		return
	}
	r.PromptTokens += event.PromptTokens
	r.CachedTokens += event.CachedTokens
	r.timesToFirstToken = append(r.timesToFirstToken, at-c.request.At)
}

func (r *Result) recordEnd(c *call, result requestResult) {
	if result == resultFailed {
		r.TotalFailed++
	}
	if !r.isMeasured(c) {
		return
	}
	r.Requests++
	r.SaturatedHandBacks += c.saturatedHandBacks
	r.UnservedHandBacks += c.unservedHandBacks
	switch result {
	case resultFinished:
		r.Finished++
	case resultRefused:
		r.Refused++
	case resultFailed:
		r.Failed++
	}
}

// HitRate returns the fraction of prompt tokens that engines had cached.
func (r *Result) HitRate() float64 { return ratio(r.CachedTokens, r.PromptTokens) }

// HandBacksPerRequest returns the mean number of hand-backs per request.
func (r *Result) HandBacksPerRequest() float64 {
	return ratio(r.SaturatedHandBacks+r.UnservedHandBacks, r.Requests)
}

// TimeToFirstToken returns a quantile, from 0 to 1, of the time to the first token; 0 without
// measurements.
func (r *Result) TimeToFirstToken(quantile float64) time.Duration {
	if len(r.timesToFirstToken) == 0 {
		return 0
	}
	slices.Sort(r.timesToFirstToken)
	return r.timesToFirstToken[min(int(quantile*float64(len(r.timesToFirstToken))), len(r.timesToFirstToken)-1)]
}

// String formats the result as a table row: requests, hit rate, saturated and unserved hand-backs
// and unsuccessful requests per request, and the quantiles 0.5, 0.95 and 0.99 of the time to the
// first token in milliseconds.
func (r *Result) String() string {
	return fmt.Sprintf("%d | %.3f | %.3f | %.3f | %.3f | %d | %d | %d", r.Requests, r.HitRate(),
		ratio(r.SaturatedHandBacks, r.Requests), ratio(r.UnservedHandBacks, r.Requests), ratio(r.Refused+r.Failed, r.Requests),
		r.TimeToFirstToken(0.5).Milliseconds(), r.TimeToFirstToken(0.95).Milliseconds(), r.TimeToFirstToken(0.99).Milliseconds())
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
