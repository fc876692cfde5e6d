package emulator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/workload"
)

// Quantiles summarizes a distribution of times, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Range of the histograms in microseconds, and their significant figures.
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
	// Seconds is the start of the interval since the start of the trace.
	Seconds float64 `json:"seconds"`
	HitRate float64 `json:"hit_rate"`
	// PromptTokens counts the prompt tokens of the interval.
	PromptTokens int64 `json:"prompt_tokens"`
}

// Result holds the measurements of one run. Requests that arrived during the warm-up count only in
// HitOverTime and in the engines' token totals, which cover the whole run.
type Result struct {
	Fleet  string `json:"fleet"`
	Policy string `json:"policy"`

	// Requests counts those that arrived after the warm-up; each has exactly one of the endings.
	Requests int            `json:"requests"`
	Endings  map[Ending]int `json:"endings"`
	// EndingsByClass counts the endings by class.
	EndingsByClass map[fleet.ClassName]map[Ending]int `json:"endings_by_class"`
	// Goodput is the number of requests per second that met the objective of their class.
	Goodput float64 `json:"goodput_per_second"`
	// Refusals counts all refusals, including those of callers whose retry succeeded.
	Refusals int `json:"refusals"`
	// RefusedAfter is the time from arrival to the first refusal, RetryAfter the retry delay given
	// with the last one. Of the CallerRetries, CallerRetriesFinished were served.
	RefusedAfter          Quantiles `json:"refused_after"`
	RetryAfter            Quantiles `json:"retry_after"`
	CallerRetries         int       `json:"returned"`
	CallerRetriesFinished int       `json:"returned_finished"`
	// Retries counts attempts charged to the retry budget, Dispatches all dispatches.
	Retries    int `json:"retries"`
	Dispatches int `json:"dispatches"`

	// HitRate is the fraction of the prompt tokens served from a cache, ReachableRate the fraction
	// that some live engine had cached on dispatch.
	HitRate       float64 `json:"hit_rate"`
	ReachableRate float64 `json:"reachable_rate"`
	// RecomputedRate is the fraction of the prompt tokens that were computed although some live
	// engine had them cached on dispatch.
	RecomputedRate float64 `json:"recomputed_rate"`

	// PrefillTokens counts the prompt tokens computed in the whole run, UnavoidableTokens the first
	// computations among them. WasteRate is the remainder as a fraction of PromptTokens.
	PrefillTokens     int64   `json:"prefill_tokens"`
	UnavoidableTokens int64   `json:"unavoidable_tokens"`
	PromptTokens      int64   `json:"prompt_tokens"`
	WasteRate         float64 `json:"waste_rate"`

	FirstTokenByClass map[fleet.ClassName]Quantiles `json:"first_token_by_class"`
	FirstTokenByKind  map[workload.Kind]Quantiles   `json:"first_token_by_kind"`
	// UrgentOfOtherTenants covers all tenants except the first, which sends the bursts.
	UrgentOfOtherTenants Quantiles                      `json:"urgent_first_token_of_others"`
	UrgentByTenant       map[fleet.TenantName]Quantiles `json:"urgent_first_token_by_tenant"`
	QueueWaitByClass     map[fleet.ClassName]Quantiles  `json:"queue_wait_by_class"`
	RouterWaitByClass    map[fleet.ClassName]Quantiles  `json:"router_wait_by_class"`
	FinishTimeByClass    map[fleet.ClassName]Quantiles  `json:"finish_time_by_class"`
	PromptByKind         map[workload.Kind]PromptSplit  `json:"prompt_by_kind"`
	HitOverTime          []HitSample                    `json:"hit_over_time"`
}

// PromptSplit is the average origin of the prompt tokens of a kind of request, in tokens per request.
type PromptSplit struct {
	Requests  int     `json:"requests"`
	Prompt    float64 `json:"prompt"`
	Cached    float64 `json:"cached"`
	Reachable float64 `json:"reachable"`
}
