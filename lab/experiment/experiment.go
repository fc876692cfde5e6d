// Package experiment runs the emulator over fleets, policies, loads and failures,
// and reports how the product compares with its rivals, with the limit and with
// its own earlier results. docs/EXPERIMENTS.md describes the method.
package experiment

import (
	"fmt"
	"time"

	"github.com/tillerfall/tillerfall/lab/emulator"
	"github.com/tillerfall/tillerfall/lab/workload"
)

// Scenario names what happens during a run.
type Scenario string

// Scenarios.
const (
	// ScenarioSteady has a constant mean rate.
	ScenarioSteady Scenario = "steady"
	// ScenarioShift moves most long prompts to a new prefix in an instant.
	ScenarioShift Scenario = "shift"
	// ScenarioFlood adds batch requests of one tenant, as many as the fleet's
	// whole capacity; ScenarioCalm is the same trace without them.
	ScenarioFlood Scenario = "flood"
	ScenarioCalm  Scenario = "calm"
	// ScenarioCrash makes an engine crash and come back empty.
	ScenarioCrash Scenario = "crash"
)

// scenarios lists all of them in the order of reports.
var scenarios = []Scenario{ScenarioSteady, ScenarioShift, ScenarioCalm, ScenarioFlood, ScenarioCrash}

// Times of a run, and what happens in it.
const (
	runDuration   = 45 * time.Second
	warmup        = 15 * time.Second
	shiftAt       = 25 * time.Second
	shiftFraction = 0.6
	crashAt       = 20 * time.Second
	crashDowntime = 3 * time.Second
)

// HeadlineLoad is the load, in parts of capacity, of the last lines of output.
const HeadlineLoad = 0.8

// Loads of the steady runs, in parts of capacity, and of the other scenarios.
var steadyLoads = []float64{0.5, 0.65, HeadlineLoad, 0.9, 1.0, 1.15, 1.3}

var scenarioLoads = map[Scenario]float64{
	ScenarioShift: 0.7,
	ScenarioCalm:  0.6,
	ScenarioFlood: 0.6,
	ScenarioCrash: 0.9,
}

// capacities are the requests a second that each fleet can serve; Calibrate
// finds them, and docs/EXPERIMENTS.md tells when they were found.
var capacities = map[string]float64{
	"ahd-west":   470,
	"wp-colombo": 395,
}

// fleets lists the users' fleets.
func fleets() []workload.Fleet {
	return []workload.Fleet{workload.AhdWestFleet(), workload.WPColomboFleet()}
}

// Case is one run of the experiment.
type Case struct {
	Fleet    string   `json:"fleet"`
	Scenario Scenario `json:"scenario"`
	// Load is the offered load in parts of the fleet's capacity.
	Load   float64 `json:"load"`
	Policy string  `json:"policy"`
}

// String returns the case in one line.
func (c Case) String() string {
	return fmt.Sprintf("%s %s load=%.2f %s", c.Fleet, c.Scenario, c.Load, c.Policy)
}

// traceKey names a trace; the policies of a case share it.
type traceKey struct {
	fleet    string
	scenario Scenario
	load     float64
}

func (c Case) traceKey() traceKey {
	return traceKey{fleet: c.Fleet, scenario: c.Scenario, load: c.Load}
}

// workloadOptions describes the trace of a case.
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

// emulatorOptions describes the run of a case.
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
