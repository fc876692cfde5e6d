package experiment

import (
	"fmt"
	"path/filepath"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/emulator"
	"github.com/tillerfall/tillerfall/lab/workload"
)

// Dimensions of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// writePlots writes the plots of a fleet into a directory as SVG files.
func (r *Record) writePlots(directory, fleetName string) error {
	for _, class := range []fleet.ClassName{workload.ClassUrgent, workload.ClassStandard, workload.ClassBatch} {
		drawn := newPlot(fmt.Sprintf("%s: time to first token p99, %s", fleetName, class), "offered load / capacity", "milliseconds")
		drawn.Y.Scale = plot.LogScale{}
		drawn.Y.Tick.Marker = plot.LogTicks{Prec: -1}
		path := filepath.Join(directory, fmt.Sprintf("ttft-p99-%s-%s.svg", fleetName, class))
		err := r.drawByLoad(drawn, fleetName, path, func(result *emulator.Result) float64 {
			return result.FirstTokenByClass[class].P99
		})
		if err != nil {
			return err
		}
	}
	goodput := newPlot(fleetName+": requests served within their objective", "offered load / capacity", "requests a second")
	err := r.drawByLoad(goodput, fleetName, filepath.Join(directory, "goodput-"+fleetName+".svg"),
		func(result *emulator.Result) float64 { return result.Goodput })
	if err != nil {
		return err
	}
	return r.drawShift(directory, fleetName)
}

func newPlot(title, horizontal, vertical string) *plot.Plot {
	drawn := plot.New()
	drawn.Title.Text = title
	drawn.X.Label.Text = horizontal
	drawn.Y.Label.Text = vertical
	drawn.Add(plotter.NewGrid())
	return drawn
}

// legendWidth is the width reserved for the legend, as a fraction of capacity.
const legendWidth = 0.4

// drawByLoad plots a value over the steady loads, with one line per policy.
func (r *Record) drawByLoad(drawn *plot.Plot, fleetName, path string, value func(*emulator.Result) float64) error {
	drawn.Legend.Top = true
	drawn.X.Max = steadyLoads[len(steadyLoads)-1] + legendWidth
	lines := make(map[string]plotter.XYs)
	for _, outcome := range r.outcomesFor(fleetName, ScenarioSteady) {
		height := value(outcome.Result)
		if height <= 0 {
			continue // the axis may be logarithmic
		}
		policy := outcome.Case.Policy
		lines[policy] = append(lines[policy], plotter.XY{X: outcome.Case.Load, Y: height})
	}
	return draw(drawn, lines, path)
}

// drawShift plots the hit rate over time around the shift.
func (r *Record) drawShift(directory, fleetName string) error {
	drawn := newPlot(fmt.Sprintf("%s: hit rate around a shift at %s", fleetName, shiftAt), "seconds", "hit rate")
	drawn.Y.Min, drawn.Y.Max = 0, 1
	drawn.Legend.Left = true
	lines := make(map[string]plotter.XYs)
	for _, outcome := range r.outcomesFor(fleetName, ScenarioShift) {
		for _, sample := range outcome.Result.HitOverTime {
			if sample.Seconds >= warmup.Seconds() {
				lines[outcome.Case.Policy] = append(lines[outcome.Case.Policy], plotter.XY{X: sample.Seconds, Y: sample.HitRate})
			}
		}
	}
	return draw(drawn, lines, filepath.Join(directory, "hit-rate-shift-"+fleetName+".svg"))
}

// draw adds the lines in the order of the policies and saves the plot. It writes nothing if there
// are no lines.
func draw(drawn *plot.Plot, lines map[string]plotter.XYs, path string) error {
	if len(lines) == 0 {
		return nil
	}
	for i, policy := range emulator.Policies() {
		points := lines[policy.Name]
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrap(err, path)
		}
		line.Color = plotutil.Color(i)
		line.Width = vg.Points(1.5)
		if policy.Name == emulator.PolicyTillerfall {
			line.Width = vg.Points(3)
		}
		drawn.Add(line)
		drawn.Legend.Add(policy.Name, line)
	}
	if err := drawn.Save(plotWidth, plotHeight, path); err != nil {
		return errors.Wrap(err, path)
	}
	return nil
}
