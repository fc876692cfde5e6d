// Package experiment runs the emulator over fleets, policies, loads and failures. It reports the
// results of the product beside those of baseline policies, of a clairvoyant router and of earlier
// runs. docs/EXPERIMENTS.md describes the method.
package experiment

import (
	"fmt"
	"time"

	"github.com/tillerfall/tillerfall/lab/emulator"
	"github.com/tillerfall/tillerfall/lab/workload"
)

// Scenario names the events of a run.
type Scenario string

// Scenarios.
const (
	// ScenarioSteady has a constant mean rate.
	ScenarioSteady Scenario = "steady"
	// ScenarioShift moves most long prompts to a new prefix at once.
	ScenarioShift Scenario = "shift"
	// ScenarioFlood adds batch requests of one tenant at the capacity of the fleet. ScenarioCalm is
	// the same trace without them.
	ScenarioFlood Scenario = "flood"
	ScenarioCalm  Scenario = "calm"
	// ScenarioCrash crashes an engine, which restarts with an empty cache.
	ScenarioCrash Scenario = "crash"
)

// scenarios lists all scenarios in the order of the report.
var scenarios = []Scenario{ScenarioSteady, ScenarioShift, ScenarioCalm, ScenarioFlood, ScenarioCrash}

// Times and fractions of the scenarios.
const (
	runDuration   = 45 * time.Second
	warmup        = 15 * time.Second
	shiftAt       = 25 * time.Second
	shiftFraction = 0.6
	crashAt       = 20 * time.Second
	crashDowntime = 3 * time.Second
)

// HeadlineLoad is the load of the headlines, as a fraction of capacity.
const HeadlineLoad = 0.8

// steadyLoads lists the loads of the steady runs, as fractions of capacity.
var steadyLoads = []float64{0.5, 0.65, HeadlineLoad, 0.9, 1.0, 1.15, 1.3}

// scenarioLoads holds the loads of the other scenarios, as fractions of capacity.
var scenarioLoads = map[Scenario]float64{
	ScenarioShift: 0.7,
	ScenarioCalm:  0.6,
	ScenarioFlood: 0.6,
	ScenarioCrash: 0.9,
}

// capacities holds the capacity of each fleet in requests per second, as found by Calibrate.
var capacities = map[string]float64{
	"ahd-west":   470,
	"wp-colombo": 395,
}

// fleets lists the fleets in the order of the report.
func fleets() []workload.Fleet {
	return []workload.Fleet{workload.AhdWestFleet(), workload.WPColomboFleet()}
}

// Case is one run of the experiment.
type Case struct {
	Fleet    string   `json:"fleet"`
	Scenario Scenario `json:"scenario"`
	// Load is the offered load as a fraction of the capacity of the fleet.
	Load   float64 `json:"load"`
	Policy string  `json:"policy"`
}

// String returns the case on one line.
func (c Case) String() string {
	return fmt.Sprintf("%s %s load=%.2f %s", c.Fleet, c.Scenario, c.Load, c.Policy)
}

// traceKey identifies a trace, which the policies of a case share.
type traceKey struct {
	fleet    string
	scenario Scenario
	load     float64
}

func (c Case) traceKey() traceKey {
	return traceKey{fleet: c.Fleet, scenario: c.Scenario, load: c.Load}
}

// workloadOptions returns the options of the trace.
func (k traceKey) workloadOptions(seed uint64) workload.Options {
	capacity := capacities[k.fleet]
	options := workload.Options{Seed: seed, Rate: k.load * capacity, Duration: runDuration}
	switch k.scenario {
	case ScenarioShift:
		options.ShiftAt = shiftAt
		options.ShiftFraction = shiftFraction
	case ScenarioFlood:
		options.FloodFrom = warmup
		options.FloodTo = runDuration
		options.FloodRate = capacity
	}
	return options
}

// emulatorOptions returns the options of the run.
func (c Case) emulatorOptions(trace workload.Trace, policy emulator.Policy, seed uint64) emulator.Options {
	options := emulator.Options{
		Trace:      trace,
		Policy:     policy,
		Seed:       seed,
		Warmup:     warmup,
		EventDelay: emulator.DefaultEventDelay,
		EventLoss:  emulator.TargetEventLoss,
		LoadLag:    emulator.TargetLoadLag,
	}
	if c.Scenario == ScenarioCrash {
		options.Crash = &emulator.Crash{At: crashAt, Down: crashDowntime}
	}
	return options
}
