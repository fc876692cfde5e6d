package experiment

import (
	"fmt"
	"strings"

	"github.com/tillerfall/tillerfall/lab/emulator"
	"github.com/tillerfall/tillerfall/lab/workload"
)

// writeFairness compares the urgent requests of the other tenants with and without the flood.
func (r *Record) writeFairness(text *strings.Builder, fleetName string) {
	floods := r.outcomesFor(fleetName, ScenarioFlood)
	if len(floods) == 0 {
		return
	}
	text.WriteString("\n### Flood of batch requests by one tenant\n\n")
	rows := newTable(text, "policy", "others' urgent p99 without", "with the flood", "ratio",
		"worst tenant's ratio", "standard p99 without", "with", "batch finished", "batch refused", "batch p99")
	for _, flood := range floods {
		calm := r.find(Case{Fleet: fleetName, Scenario: ScenarioCalm, Load: flood.Case.Load, Policy: flood.Case.Policy})
		if calm == nil {
			continue
		}
		batch := flood.Result.EndingsByClass[workload.ClassBatch]
		rows.row(flood.Case.Policy,
			formatMillis(calm.Result.UrgentOfOtherTenants.P99), formatMillis(flood.Result.UrgentOfOtherTenants.P99),
			formatRatio(flood.Result.UrgentOfOtherTenants.P99/calm.Result.UrgentOfOtherTenants.P99),
			formatRatio(worstRatio(calm.Result, flood.Result, fleetName)),
			formatMillis(calm.Result.FirstTokenByClass[workload.ClassStandard].P99),
			formatMillis(flood.Result.FirstTokenByClass[workload.ClassStandard].P99),
			fmt.Sprint(batch[emulator.EndingFinished]), fmt.Sprint(batch[emulator.EndingRefused]),
			formatMillis(flood.Result.FirstTokenByClass[workload.ClassBatch].P99))
	}
}

// worstRatio returns the highest ratio, over the other tenants, of the p99 with the flood to that
// without it. It is a rough value, because small tenants send few requests.
func worstRatio(calm, flood *emulator.Result, fleetName string) float64 {
	worst := 0.0
	for _, description := range fleets() {
		if description.Name != fleetName {
			continue
		}
		for _, tenant := range description.Tenants[1:] {
			worst = max(worst, flood.UrgentByTenant[tenant.Name].P99/calm.UrgentByTenant[tenant.Name].P99)
		}
	}
	return worst
}

// writeOverload reports how the requests ended at the highest load.
func (r *Record) writeOverload(text *strings.Builder, fleetName string) {
	peaks := make(map[string]float64)
	var highest []Outcome
	for _, outcome := range r.outcomesFor(fleetName, ScenarioSteady) {
		peaks[outcome.Case.Policy] = max(peaks[outcome.Case.Policy], outcome.Result.Goodput)
		if outcome.Case.Load == steadyLoads[len(steadyLoads)-1] {
			highest = append(highest, outcome)
		}
	}
	if len(highest) == 0 {
		return
	}
	fmt.Fprintf(text, "\n### Overload %.2f\n\n", steadyLoads[len(steadyLoads)-1])
	rows := newTable(text, "policy", "goodput in parts of its peak", "finished", "refused", "expired", "failed",
		"refused after p50", "p99", "retry-after p50", "p99", "came back", "of these served", "retries a dispatch")
	for _, outcome := range highest {
		result := outcome.Result
		rows.row(outcome.Case.Policy, formatRatio(result.Goodput/peaks[outcome.Case.Policy]),
			fmt.Sprint(result.Endings[emulator.EndingFinished]), fmt.Sprint(result.Endings[emulator.EndingRefused]),
			fmt.Sprint(result.Endings[emulator.EndingExpired]), fmt.Sprint(result.Endings[emulator.EndingFailed]),
			formatMillis(result.RefusedAfter.P50), formatMillis(result.RefusedAfter.P99),
			formatMillis(result.RetryAfter.P50), formatMillis(result.RetryAfter.P99),
			fmt.Sprint(result.CallerRetries), fmt.Sprint(result.CallerRetriesFinished),
			formatRatio(float64(result.Retries)/float64(max(result.Dispatches, 1))))
	}
}

// writeComparison compares the results of the product with its earlier ones.
func (r *Record) writeComparison(text *strings.Builder, fleetName string, earlier *Record) {
	if earlier == nil {
		return
	}
	fmt.Fprintf(text, "\n### Against the earlier results %s\n\n", earlier.Label)
	rows := newTable(text, "scenario", "load", "hit before", "now", "waste before", "now", "urgent p99 before", "now",
		"goodput before", "now")
	for _, now := range r.Outcomes {
		if now.Case.Fleet != fleetName || now.Case.Policy != emulator.PolicyTillerfall {
			continue
		}
		before := earlier.find(now.Case)
		if before == nil {
			continue
		}
		rows.row(string(now.Case.Scenario), formatLoad(now.Case.Load),
			formatRatio(before.Result.HitRate), formatRatio(now.Result.HitRate),
			formatRatio(before.Result.WasteRate), formatRatio(now.Result.WasteRate),
			formatMillis(urgentP99(before)), formatMillis(urgentP99(&now)),
			fmt.Sprintf("%.1f", before.Result.Goodput), fmt.Sprintf("%.1f", now.Result.Goodput))
	}
}
