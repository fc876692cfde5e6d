package experiment

import (
	"fmt"
	"strings"

	"github.com/tillerfall/tillerfall/lab/emulator"
	"github.com/tillerfall/tillerfall/lab/workload"
)

// table writes a Markdown table.
type table struct {
	text *strings.Builder
}

func newTable(text *strings.Builder, columns ...string) table {
	t := table{text: text}
	t.row(columns...)
	rule := make([]string, len(columns))
	for i := range rule {
		rule[i] = "---"
	}
	t.row(rule...)
	return t
}

func (t table) row(cells ...string) {
	t.text.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func formatRatio(value float64) string { return fmt.Sprintf("%.3f", value) }

func formatMillis(value float64) string { return fmt.Sprintf("%.0f", value) }

func formatLoad(value float64) string { return fmt.Sprintf("%.2f", value) }

// Markdown returns the report. Without an earlier record there is no comparison.
func (r *Record) Markdown(earlier *Record) string {
	text := &strings.Builder{}
	fmt.Fprintf(text, "# Experiment %s\n\n", r.Label)
	fmt.Fprintf(text, "Seed %d, %d runs in %.0f s by %d at once. ", r.Seed, len(r.Outcomes), r.Seconds, r.Workers)
	fmt.Fprintf(text, "%.0f %% of cache events lost, load %s old. Times to first token in milliseconds. ",
		100*emulator.TargetEventLoss, emulator.TargetLoadLag)
	text.WriteString("docs/EXPERIMENTS.md defines every column.\n")
	for _, description := range fleets() {
		fmt.Fprintf(text, "\n## %s\n", description.Name)
		fmt.Fprintf(text, "\nCapacity %.0f requests a second.\n", capacities[description.Name])
		r.writeSteady(text, description.Name)
		r.writeScenario(text, description.Name, ScenarioShift, "Shift of the hottest prefix")
		r.writeScenario(text, description.Name, ScenarioCrash, "Crash of an engine")
		r.writeFairness(text, description.Name)
		r.writeOverload(text, description.Name)
		r.writeComparison(text, description.Name, earlier)
	}
	text.WriteString("\n## Headlines\n\n")
	fmt.Fprintf(text, "At load %.2f:\n\n```\n", HeadlineLoad)
	for _, headline := range r.Headlines() {
		text.WriteString(headline.String() + "\n")
	}
	text.WriteString("```\n")
	return text.String()
}

// outcomesFor returns the outcomes of a fleet in a scenario.
func (r *Record) outcomesFor(fleetName string, scenario Scenario) []Outcome {
	var found []Outcome
	for _, outcome := range r.Outcomes {
		if outcome.Case.Fleet == fleetName && outcome.Case.Scenario == scenario {
			found = append(found, outcome)
		}
	}
	return found
}

var resultColumns = []string{
	"load", "policy", "hit", "reachable", "recomputed", "waste", "urgent p50", "urgent p95", "urgent p99",
	"lookup p99", "standard p99", "batch p99", "queue p99", "goodput", "refusals", "retries",
}

func resultRow(outcome Outcome) []string {
	result := outcome.Result
	urgent := result.FirstTokenByClass[workload.ClassUrgent]
	return []string{
		formatLoad(outcome.Case.Load), outcome.Case.Policy,
		formatRatio(result.HitRate), formatRatio(result.ReachableRate), formatRatio(result.RecomputedRate), formatRatio(result.WasteRate),
		formatMillis(urgent.P50), formatMillis(urgent.P95), formatMillis(urgent.P99),
		formatMillis(result.FirstTokenByKind[workload.KindLookup].P99),
		formatMillis(result.FirstTokenByClass[workload.ClassStandard].P99),
		formatMillis(result.FirstTokenByClass[workload.ClassBatch].P99),
		formatMillis(result.QueueWaitByClass[workload.ClassUrgent].P99),
		fmt.Sprintf("%.1f", result.Goodput), fmt.Sprint(result.Refusals), fmt.Sprint(result.Retries),
	}
}

func (r *Record) writeSteady(text *strings.Builder, fleetName string) {
	r.writeScenario(text, fleetName, ScenarioSteady, "Steady load")
}

func (r *Record) writeScenario(text *strings.Builder, fleetName string, scenario Scenario, title string) {
	outcomes := r.outcomesFor(fleetName, scenario)
	if len(outcomes) == 0 {
		return
	}
	fmt.Fprintf(text, "\n### %s\n\n", title)
	rows := newTable(text, resultColumns...)
	for _, outcome := range outcomes {
		rows.row(resultRow(outcome)...)
	}
}
