package emulator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
	"github.com/tillerfall/tillerfall/lab/workload"
)

// collector aggregates the calls of a run into a Result.
type collector struct {
	result            *Result
	firstTokenByClass histograms[fleet.ClassName]
	firstTokenByKind  histograms[workload.Kind]
	urgentByTenant    histograms[fleet.TenantName]
	queueWait         histograms[fleet.ClassName]
	routerWait        histograms[fleet.ClassName]
	finish            histograms[fleet.ClassName]
	retryAfter        *hdrhistogram.Histogram
	refusedAfter      *hdrhistogram.Histogram
	otherTenants      *hdrhistogram.Histogram
	floodingTenant    fleet.TenantName

	// Sums of tokens over the requests whose prompt was computed.
	prompt, cached, reachable, recomputed int64
	goodRequests                          int
	splits                                map[workload.Kind]*splitSum
	samples                               []sampleSum
}

type splitSum struct {
	requests                  int
	prompt, cached, reachable int64
}

type sampleSum struct{ prompt, cached int64 }

// histograms holds a histogram for each key.
type histograms[K comparable] map[K]*hdrhistogram.Histogram

func (h histograms[K]) record(key K, value time.Duration) {
	histogram := h[key]
	if histogram == nil {
		histogram = newHistogram()
		h[key] = histogram
	}
	record(histogram, value)
}

// record adds a time to a histogram. Runs are shorter than the histogram's maximum, so recording
// can't fail.
func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(max(value.Microseconds(), histogramMinimum))
}

func (h histograms[K]) quantiles() map[K]Quantiles {
	quantiles := make(map[K]Quantiles, len(h))
	for key, histogram := range h {
		quantiles[key] = quantilesOf(histogram)
	}
	return quantiles
}

// result computes the measurements of the run.
func (e *Emulator) result() *Result {
	c := &collector{
		result: &Result{
			Fleet:          e.options.Trace.Fleet.Name,
			Policy:         e.options.Policy.Name,
			Endings:        make(map[Ending]int),
			EndingsByClass: make(map[fleet.ClassName]map[Ending]int),
		},
		firstTokenByClass: make(histograms[fleet.ClassName]),
		firstTokenByKind:  make(histograms[workload.Kind]),
		urgentByTenant:    make(histograms[fleet.TenantName]),
		queueWait:         make(histograms[fleet.ClassName]),
		routerWait:        make(histograms[fleet.ClassName]),
		finish:            make(histograms[fleet.ClassName]),
		retryAfter:        newHistogram(),
		refusedAfter:      newHistogram(),
		otherTenants:      newHistogram(),
		floodingTenant:    e.options.Trace.Fleet.Tenants[0].Name,
		splits:            make(map[workload.Kind]*splitSum),
	}
	for _, call := range e.calls {
		c.addSample(call, e.options.SampleInterval)
		if call.request.At >= e.options.Warmup {
			c.add(call)
		}
	}
	c.computeRates(e)
	return c.result
}

func (c *collector) add(call *call) {
	class := call.request.Class
	c.result.Requests++
	c.result.Endings[call.ending]++
	if c.result.EndingsByClass[class] == nil {
		c.result.EndingsByClass[class] = make(map[Ending]int)
	}
	c.result.EndingsByClass[class][call.ending]++
	c.result.Refusals += call.refusals
	c.result.Retries += call.stats.Retries
	c.result.Dispatches += call.stats.Dispatches
	if call.refusals > 0 {
		record(c.retryAfter, call.retryAfter)
		record(c.refusedAfter, call.refusedAfter)
	}
	if call.callerRetried {
		c.result.CallerRetries++
		if call.ending == EndingFinished {
			c.result.CallerRetriesFinished++
		}
	}
	if call.meetsObjective() {
		c.goodRequests++
	}
	if call.hasFirstToken {
		c.addFirstToken(call)
	}
	if call.ending == EndingFinished {
		c.finish.record(class, call.finished)
	}
	if call.prefillDone {
		c.addPrompt(call)
	}
}

func (c *collector) addFirstToken(call *call) {
	class := call.request.Class
	c.firstTokenByClass.record(class, call.firstToken)
	c.firstTokenByKind.record(call.request.Kind, call.firstToken)
	if class == workload.ClassUrgent {
		c.urgentByTenant.record(call.request.Tenant, call.firstToken)
		if call.request.Tenant != c.floodingTenant {
			record(c.otherTenants, call.firstToken)
		}
	}
	c.queueWait.record(class, call.firstToken-idlePrefillTime(call.promptTokens-call.cachedTokens))
	c.routerWait.record(class, call.dispatchedAt)
}

// idlePrefillTime returns the time that an idle engine needs to compute prompt tokens.
func idlePrefillTime(tokens int) time.Duration {
	costs := enginemodel.DefaultCosts()
	steps := (tokens + costs.StepTokens - 1) / costs.StepTokens
	return time.Duration(steps)*costs.StepBase + time.Duration(tokens)*costs.PrefillPerToken
}

func (c *collector) addPrompt(call *call) {
	c.prompt += int64(call.promptTokens)
	c.cached += int64(call.cachedTokens)
	c.reachable += int64(call.reachableTokens)
	c.recomputed += int64(call.recomputedTokens())
	split := c.splits[call.request.Kind]
	if split == nil {
		split = &splitSum{}
		c.splits[call.request.Kind] = split
	}
	split.requests++
	split.prompt += int64(call.promptTokens)
	split.cached += int64(call.cachedTokens)
	split.reachable += int64(call.reachableTokens)
}

// addSample adds a prompt to the interval of its arrival.
func (c *collector) addSample(call *call, sampleInterval time.Duration) {
	if !call.prefillDone {
		return
	}
	interval := int(call.request.At / sampleInterval)
	for len(c.samples) <= interval {
		c.samples = append(c.samples, sampleSum{})
	}
	c.samples[interval].prompt += int64(call.promptTokens)
	c.samples[interval].cached += int64(call.cachedTokens)
}

func (c *collector) computeRates(e *Emulator) {
	r := c.result
	measured := e.options.Trace.Duration - e.options.Warmup
	r.Goodput = float64(c.goodRequests) / measured.Seconds()
	r.HitRate = ratio(c.cached, c.prompt)
	r.ReachableRate = ratio(c.reachable, c.prompt)
	r.RecomputedRate = ratio(c.recomputed, c.prompt)
	for _, host := range e.engines {
		counters := host.model.Counters()
		r.PrefillTokens += counters.PrefillTokens
		r.PromptTokens += counters.PromptTokens
	}
	r.UnavoidableTokens = e.ledger.unavoidableTokens
	r.WasteRate = ratio(r.PrefillTokens-r.UnavoidableTokens, r.PromptTokens)
	r.FirstTokenByClass = c.firstTokenByClass.quantiles()
	r.FirstTokenByKind = c.firstTokenByKind.quantiles()
	r.UrgentByTenant = c.urgentByTenant.quantiles()
	r.QueueWaitByClass = c.queueWait.quantiles()
	r.RouterWaitByClass = c.routerWait.quantiles()
	r.FinishTimeByClass = c.finish.quantiles()
	r.RetryAfter = quantilesOf(c.retryAfter)
	r.RefusedAfter = quantilesOf(c.refusedAfter)
	r.UrgentOfOtherTenants = quantilesOf(c.otherTenants)
	r.PromptByKind = c.promptSplits()
	sampleInterval := e.options.SampleInterval
	for i, sample := range c.samples {
		r.HitOverTime = append(r.HitOverTime, HitSample{
			Seconds:      (time.Duration(i) * sampleInterval).Seconds(),
			HitRate:      ratio(sample.cached, sample.prompt),
			PromptTokens: sample.prompt,
		})
	}
}

func (c *collector) promptSplits() map[workload.Kind]PromptSplit {
	splits := make(map[workload.Kind]PromptSplit, len(c.splits))
	for kind, sum := range c.splits {
		count := int64(sum.requests)
		splits[kind] = PromptSplit{
			Requests:  sum.requests,
			Prompt:    ratio(sum.prompt, count),
			Cached:    ratio(sum.cached, count),
			Reachable: ratio(sum.reachable, count),
		}
	}
	return splits
}

func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
