// Command tillerfall runs the agent, the router and the gateway, and contains the operators' tools.
package main

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// version is set by the linker.
var version = "dev"

// Exit codes.
const (
	exitFailure   = 1 // the command failed; a numbered error was printed
	exitUsage     = 2 // the command line is wrong
	exitUncertain = 3 // the command may have taken effect; look up its token
)

// commandLine is the command line of the binary.
type commandLine struct {
	Agent    agentCommand    `command:"agent" description:"Run the agent beside a caller"`
	Router   routerCommand   `command:"router" description:"Run a router"`
	Gateway  gatewayCommand  `command:"gateway" description:"Run a gateway on the platform"`
	Validate validateCommand `command:"validate" description:"Check a configuration or settings file"`
	Control  controlCommand  `command:"ctl" description:"Run a statement of the operators' language"`
	Apply    applyCommand    `command:"apply" description:"Commit a whole configuration from a file"`
	Version  versionCommand  `command:"version" description:"Print the version"`
}

func main() {
	parser := flags.NewNamedParser("tillerfall", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("", "", &commandLine{}); err != nil {
		panic(err) // invalid struct tag
	}
	_, err := parser.Parse()
	os.Exit(report(err))
}

// report prints an error with its result code and returns the exit code.
func report(err error) int {
	if err == nil {
		return 0
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		return reportUsage(usage)
	}
	var coded *resultcode.Error
	if !errors.As(err, &coded) {
		coded = resultcode.New(resultcode.Internal, err.Error())
	}
	fmt.Fprintf(os.Stderr, "error %d %s: %s\n", coded.Code, coded.Code, coded.Message)
	if coded.Code == resultcode.CommandUncertain {
		return exitUncertain
	}
	return exitFailure
}

func reportUsage(usage *flags.Error) int {
	if usage.Type == flags.ErrHelp {
		fmt.Println(usage.Message)
		return 0
	}
	fmt.Fprintf(os.Stderr, "error %d %s: %s\n", resultcode.SettingsInvalid, resultcode.SettingsInvalid, usage.Message)
	return exitUsage
}

// versionCommand prints the version.
type versionCommand struct{}

// Execute implements flags.Commander.
func (versionCommand) Execute([]string) error {
	fmt.Println(version)
	return nil
}
