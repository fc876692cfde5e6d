// Command tillerlab runs tools that are not part of the product: simulated engines and a simulated
// platform, an embedded fleet, the simulation, the experiments and the capacity measurements.
package main

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// commandLine is the command line of the binary.
type commandLine struct {
	Fleet      fleetCommand      `command:"fleet" description:"Run an embedded fleet on loopback"`
	Engine     engineCommand     `command:"engine" description:"Run an engine stand-in"`
	Platform   platformCommand   `command:"platform" description:"Run a platform stand-in"`
	Experiment experimentCommand `command:"experiment" description:"Measure the routing against rivals in the emulator"`
	Simulate   simulateCommand   `command:"simulate" description:"Check seeded histories of a fleet on a virtual clock"`
	Capacity   capacityCommand   `command:"capacity" description:"Measure how costs grow with the size of the fleet"`
}

func main() {
	parser := flags.NewNamedParser("tillerlab", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("", "", &commandLine{}); err != nil {
		panic(err) // invalid struct tag
	}
	_, err := parser.Parse()
	os.Exit(report(err))
}

// report prints an error and returns the exit code.
func report(err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return 0
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, usage.Message)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
}
