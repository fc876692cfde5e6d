package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/tillerfall/tillerfall/lab/experiment"
)

// experimentCommand compares the routing with other policies in the emulator.
type experimentCommand struct {
	Label     string    `long:"label" description:"Name of the directory of the results; default is the time"`
	Results   string    `long:"results" default:"results" description:"Directory that holds all results"`
	Seed      uint64    `long:"seed" default:"1" description:"Seed of traces and runs"`
	Workers   int       `long:"workers" description:"Runs at once; default is the number of processors"`
	Fleets    []string  `long:"fleet" description:"Run only this fleet; may be given more than once"`
	Policies  []string  `long:"policy" description:"Run only this policy; may be given more than once"`
	Scenarios []string  `long:"scenario" description:"Run only this scenario; may be given more than once"`
	Loads     []float64 `long:"load" description:"Run only this load; may be given more than once"`
	Calibrate bool      `long:"calibrate" description:"Find the fleets' capacities instead"`
}

// labelLayout formats labels that sort by time.
const labelLayout = "2006-01-02T150405Z"

// Execute implements flags.Commander.
func (c *experimentCommand) Execute([]string) error {
	if c.Calibrate {
		return experiment.Calibrate(c.Seed, os.Stdout)
	}
	if c.Workers <= 0 {
		c.Workers = runtime.GOMAXPROCS(0)
	}
	if c.Label == "" {
		c.Label = time.Now().UTC().Format(labelLayout)
	}
	record, err := c.run()
	if err != nil {
		return err
	}
	directory, err := experiment.Publish(c.Results, record)
	if err != nil {
		return err
	}
	fmt.Printf("results=%s runs=%d seconds=%.0f\n", directory, len(record.Outcomes), record.Seconds)
	for _, headline := range record.Headlines() {
		fmt.Println(headline)
	}
	return nil
}

func (c *experimentCommand) run() (*experiment.Record, error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	started := time.Now()
	outcomes, err := experiment.Run(ctx, experiment.Settings{
		Selection: experiment.Selection{
			Fleets:    c.Fleets,
			Policies:  c.Policies,
			Scenarios: c.Scenarios,
			Loads:     c.Loads,
		},
		Seed:     c.Seed,
		Workers:  c.Workers,
		Progress: os.Stderr,
	})
	if err != nil {
		return nil, err
	}
	return &experiment.Record{
		Label:    c.Label,
		Finished: time.Now().UTC(),
		Seconds:  time.Since(started).Seconds(),
		Workers:  c.Workers,
		Seed:     c.Seed,
		Outcomes: outcomes,
	}, nil
}
