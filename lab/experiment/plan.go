package experiment

import (
	"cmp"
	"slices"

	"github.com/tillerfall/tillerfall/lab/emulator"
)

// Selection selects the runs of an experiment. An empty list selects all values.
type Selection struct {
	Fleets    []string
	Policies  []string
	Scenarios []string
	Loads     []float64
}

// Cases lists the selected runs in the order of the report.
func (s Selection) Cases() []Case {
	var cases []Case
	for _, description := range fleets() {
		for _, scenario := range scenarios {
			for _, load := range loadsFor(scenario) {
				for _, policy := range emulator.Policies() {
					candidate := Case{Fleet: description.Name, Scenario: scenario, Load: load, Policy: policy.Name}
					if s.includes(candidate) {
						cases = append(cases, candidate)
					}
				}
			}
		}
	}
	return cases
}

func loadsFor(scenario Scenario) []float64 {
	if scenario == ScenarioSteady {
		return steadyLoads
	}
	return []float64{scenarioLoads[scenario]}
}

func (s Selection) includes(c Case) bool {
	return isSelected(s.Fleets, c.Fleet) && isSelected(s.Policies, c.Policy) &&
		isSelected(s.Scenarios, string(c.Scenario)) && isSelected(s.Loads, c.Load)
}

func isSelected[T comparable](wanted []T, value T) bool {
	return len(wanted) == 0 || slices.Contains(wanted, value)
}

// longestFirst returns the order in which a pool of workers takes the cases: the longest ones
// first, so that none of them is left for the end.
func longestFirst(cases []Case) []int {
	order := make([]int, len(cases))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(cases[b].estimatedWork(), cases[a].estimatedWork()) })
	return order
}

// estimatedWork returns a value that grows with the expected duration of a run.
func (c Case) estimatedWork() float64 {
	if c.Scenario == ScenarioFlood {
		return c.Load + 1
	}
	return c.Load
}
