// Package capacity measures how the costs of the product's own code grow with
// the size of the fleet: slopes in bytes, messages and processor time, each at
// three sizes or more, from which docs/CAPACITY-ROUTERS.md works out the target's size.
//
// Processor time is the process's own, not elapsed time, since the machine may
// be shared. What spreads among routers runs on a virtual clock with encoded
// messages, so its counts don't depend on the machine.
package capacity

import (
	"runtime"
	"time"

	"github.com/go-faster/errors"
)

// Figure is a single measured value.
type Figure struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Report is the outcome of a run.
type Report struct {
	Seed       uint64   `json:"seed"`
	Processors int      `json:"processors"`
	GoVersion  string   `json:"go_version"`
	Slopes     []Slope  `json:"slopes"`
	Figures    []Figure `json:"figures"`
	// ProcessorSeconds and ElapsedSeconds are the run's own cost.
	ProcessorSeconds float64 `json:"processor_seconds"`
	ElapsedSeconds   float64 `json:"elapsed_seconds"`
}

// measurement is one measurement of a run.
type measurement struct {
	name    string
	slopes  func(Options) ([]Slope, error)
	figures func(Options) ([]Figure, error)
}

func measurements() []measurement {
	return []measurement{
		{name: "prefix index", slopes: measureIndex},
		{name: "placement", slopes: measurePlacement},
		{name: "ownership", slopes: measureOwnershipTime},
		{name: "shares", figures: func(o Options) ([]Figure, error) { return measureOwnership(o), nil }},
		{name: "router memory", slopes: measureRouterMemory},
		{name: "streams", slopes: measureStreams},
		{name: "configuration", slopes: measureConfiguration},
		{name: "calls", slopes: measureCalls},
		{name: "exchanges", figures: measureExchanges},
		{name: "membership", slopes: measureSteadyMembership},
		{name: "changes", slopes: measureChanges},
		{name: "platform calls", slopes: measurePlatformCalls},
		{name: "herd restart", figures: func(o Options) ([]Figure, error) { return measureHerdRestart(o), nil }},
		{name: "failures", figures: measureFailures},
	}
}

// Run measures everything, one part after the other. With an error the report
// holds what was measured before it.
func Run(o Options) (Report, error) {
	started := time.Now()
	startedProcessor := ProcessorTime()
	report := Report{Seed: o.Seed, Processors: runtime.NumCPU(), GoVersion: runtime.Version()}
	for _, next := range measurements() {
		if o.Progress != nil {
			o.Progress(next.name)
		}
		if err := next.addTo(&report, o); err != nil {
			return report, errors.Wrap(err, next.name)
		}
	}
	report.ProcessorSeconds = (ProcessorTime() - startedProcessor).Seconds()
	report.ElapsedSeconds = time.Since(started).Seconds()
	return report, nil
}

func (p *measurement) addTo(report *Report, o Options) error {
	if p.slopes != nil {
		slopes, err := p.slopes(o)
		report.Slopes = append(report.Slopes, slopes...)
		return err
	}
	figures, err := p.figures(o)
	report.Figures = append(report.Figures, figures...)
	return err
}
