package emulator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/workload"
)

// Quantiles sums up a distribution of times, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Bounds of the histograms, in microseconds, and their significant figures.
const (
	histogramMinimum = 1
	histogramMaximum = int64(time.Hour / time.Microsecond)
	histogramFigures = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMinimum, histogramMaximum, histogramFigures)
}

func quantilesOf(histogram *hdrhistogram.Histogram) Quantiles {
	milliseconds := func(micros int64) float64 { return float64(micros) / 1000 }
	return Quantiles{
		Count: histogram.TotalCount(),
		P50:   milliseconds(histogram.ValueAtQuantile(50)),
		P95:   milliseconds(histogram.ValueAtQuantile(95)),
		P99:   milliseconds(histogram.ValueAtQuantile(99)),
		Max:   milliseconds(histogram.Max()),
	}
}

// HitSample is the hit rate of the prompts computed in one interval.
type HitSample struct {
	// Seconds is the interval's beginning since the trace's.
	Seconds float64 `json:"seconds"`
	HitRate float64 `json:"hit_rate"`
	// PromptTokens is the interval's weight.
	PromptTokens int64 `json:"prompt_tokens"`
}

// Result is what one run has measured. Requests that arrived in the warm-up
// count only in the token totals of the engines, which cover the whole run.
type Result struct {
	Fleet  string `json:"fleet"`
	Policy string `json:"policy"`

	// Requests counts those that arrived in the measured time; each is in
	// exactly one of the endings.
	Requests int            `json:"requests"`
	Endings  map[Ending]int `json:"endings"`
	// EndingsByClass has the same by class.
	EndingsByClass map[fleet.ClassName]map[Ending]int `json:"endings_by_class"`
	// Goodput is the rate of requests that met their class's objective, a second.
	Goodput float64 `json:"goodput_per_second"`
	// Refusals counts refusals, also of callers that came back and then succeeded.
	Refusals int `json:"refusals"`
	// RefusedAfter is the time from arrival to the first refusal, RetryAfter what
	// callers were told. Of those that came back, ReturnedFinished were served.
	RefusedAfter          Quantiles `json:"refused_after"`
	RetryAfter            Quantiles `json:"retry_after"`
	CallerRetries         int       `json:"returned"`
	CallerRetriesFinished int       `json:"returned_finished"`
	// Retries counts attempts drawn from the retry budget, Dispatches all attempts.
	Retries    int `json:"retries"`
	Dispatches int `json:"dispatches"`

	// HitRate is the part of the prompt tokens that came from a cache,
	// ReachableRate the part that some live engine held on dispatch.
	HitRate       float64 `json:"hit_rate"`
	ReachableRate float64 `json:"reachable_rate"`
	// RecomputedRate is the part of the prompt tokens that was computed although
	// some live engine held them on dispatch.
	RecomputedRate float64 `json:"recomputed_rate"`

	// PrefillTokens were computed in the whole run, UnavoidableTokens of them
	// are first computations. WasteRate is the rest in parts of the prompt tokens.
	PrefillTokens     int64   `json:"prefill_tokens"`
	UnavoidableTokens int64   `json:"unavoidable_tokens"`
	PromptTokens      int64   `json:"prompt_tokens"`
	WasteRate         float64 `json:"waste_rate"`

	FirstTokenByClass map[fleet.ClassName]Quantiles `json:"first_token_by_class"`
	FirstTokenByKind  map[workload.Kind]Quantiles   `json:"first_token_by_kind"`
	// UrgentOfOtherTenants covers the tenants but the first, which sends the floods.
	UrgentOfOtherTenants Quantiles                      `json:"urgent_first_token_of_others"`
	UrgentByTenant       map[fleet.TenantName]Quantiles `json:"urgent_first_token_by_tenant"`
	QueueWaitByClass     map[fleet.ClassName]Quantiles  `json:"queue_wait_by_class"`
	RouterWaitByClass    map[fleet.ClassName]Quantiles  `json:"router_wait_by_class"`
	FinishTimeByClass    map[fleet.ClassName]Quantiles  `json:"finish_time_by_class"`
	PromptByKind         map[workload.Kind]PromptSplit  `json:"prompt_by_kind"`
	HitOverTime          []HitSample                    `json:"hit_over_time"`
}

// PromptSplit tells where the prompt tokens of a kind of requests came from, in
// tokens a request.
type PromptSplit struct {
	Requests  int     `json:"requests"`
	Prompt    float64 `json:"prompt"`
	Cached    float64 `json:"cached"`
	Reachable float64 `json:"reachable"`
}
