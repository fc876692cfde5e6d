// Package capacity measures how the costs of the product's code grow with the size of the fleet, in
// bytes, messages and processor time. Each cost is measured at three or more sizes and fitted;
// docs/CAPACITY-ROUTERS.md extrapolates the fits to the target size.
//
// Processor time is that of this process rather than elapsed time, since the machine may be shared.
// The membership protocol runs on a virtual clock with encoded messages, so its message counts don't
// depend on the machine.
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

// Report is the result of a run.
type Report struct {
	Seed       uint64   `json:"seed"`
	Processors int      `json:"processors"`
	GoVersion  string   `json:"go_version"`
	Slopes     []Slope  `json:"slopes"`
	Figures    []Figure `json:"figures"`
	// ProcessorSeconds and ElapsedSeconds are the cost of the run itself.
	ProcessorSeconds float64 `json:"processor_seconds"`
	ElapsedSeconds   float64 `json:"elapsed_seconds"`
}

// measurement is one part of a run. It returns either slopes or figures.
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

// Run makes all measurements, one after the other. If one fails, the report holds the results up to
// the failure.
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

func (m *measurement) addTo(report *Report, o Options) error {
	if m.slopes != nil {
		slopes, err := m.slopes(o)
		report.Slopes = append(report.Slopes, slopes...)
		return err
	}
	figures, err := m.figures(o)
	report.Figures = append(report.Figures, figures...)
	return err
}
