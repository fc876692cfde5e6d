package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/lab/simulation"
)

// errViolations is returned by a simulation that found violations.
var errViolations = errors.New("the simulation found violations")

// simulateCommand simulates seeded histories of a fleet on a virtual clock and checks their
// invariants.
type simulateCommand struct {
	Seeds     int    `long:"seeds" default:"200" description:"Number of seeds to run"`
	First     uint64 `long:"first" default:"1" description:"First seed"`
	Seed      uint64 `long:"seed" description:"Replay this seed alone and print its timeline"`
	Timelines int    `long:"timelines" default:"1" description:"Number of violating seeds whose timeline is printed"`
}

// Execute implements flags.Commander.
func (c *simulateCommand) Execute([]string) error {
	output := bufio.NewWriter(os.Stdout)
	found, err := c.run(output)
	if flushErr := output.Flush(); err == nil {
		err = flushErr
	}
	if err == nil && found > 0 {
		err = errViolations
	}
	return err
}

// run writes the results and returns the number of violations.
func (c *simulateCommand) run(output io.Writer) (int, error) {
	if c.Seed != 0 {
		result, err := simulation.Report(output, simulation.Options{Seed: c.Seed})
		if err != nil {
			return 0, err
		}
		return summarize(output, 1, len(result.Violations))
	}
	violations, timelines := 0, 0
	for _, result := range simulation.Campaign(c.First, c.Seeds, simulation.Options{}) {
		violations += len(result.Violations)
		for _, violation := range result.Violations {
			if _, err := fmt.Fprintf(output, "violation seed=%d %s\n", result.Seed, violation); err != nil {
				return violations, err
			}
		}
		if len(result.Violations) == 0 || timelines >= c.Timelines {
			continue
		}
		timelines++
		if _, err := simulation.Report(output, simulation.Options{Seed: result.Seed}); err != nil {
			return violations, err
		}
	}
	return summarize(output, c.Seeds, violations)
}

// summarize writes the last line, which scripts parse.
func summarize(output io.Writer, seeds, violations int) (int, error) {
	_, err := fmt.Fprintf(output, "seeds=%d violations=%d\n", seeds, violations)
	return violations, err
}
