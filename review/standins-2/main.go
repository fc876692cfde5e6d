// Command standins runs one case of the review: it starts gateways of the project as separate processes beside stand-ins
// for the platform's store, workers and clients, and checks one rule. It exits with 1 if the rule was broken, with 0 if it
// held and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// outcome is the result of a case: the breaks of its rule, or that it couldn't run.
type outcome struct {
	breaks []string
	err    error
}

// environment is what a case may use.
type environment struct {
	binary, folder string
	trouble        bool
	// only, if set, names the one of several disruptions that is played.
	only   string
	record *record
}

var cases = map[string]func(*environment) outcome{
	"surplus": runSurplus,
	"lostfin": runLostClose,
	"reborn":  runReborn,
	"twice":   runTwoEngines,
}

func main() {
	os.Exit(execute())
}

// maxDuration bounds a case.
const maxDuration = 100 * time.Second

// runWithin runs a case until it ends, takes too long, or a signal ends it.
func runWithin(env *environment, run func(*environment) outcome) outcome {
	results := make(chan outcome, 1)
	go func() { results <- run(env) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case result := <-results:
		return result
	case received := <-signals:
		return outcome{err: fmt.Errorf("ended by %s", received)}
	case <-time.After(maxDuration):
		return outcome{err: fmt.Errorf("took longer than %s", maxDuration)}
	}
}

func execute() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE GATEWAY_BINARY RECORD")
		return 2
	}
	binary, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	// KEEP=1 keeps the settings and the logs of the gateways.
	if os.Getenv("KEEP") == "1" {
		fmt.Println("logs in", folder)
	} else {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	env := &environment{binary: binary, folder: folder, trouble: os.Getenv("TROUBLE") != "0", only: os.Getenv("ONLY"), record: newRecord()}
	result := runWithin(env, cases[os.Args[1]])
	killAll()
	for _, broken := range result.breaks {
		env.record.line("BROKEN %s", broken)
		fmt.Println("BROKEN", broken)
	}
	if result.err != nil {
		env.record.line("could not run: %s", result.err)
		fmt.Println("could not run:", result.err)
	}
	env.record.mutex.Lock()
	content := strings.Join(env.record.lines, "\n") + "\n"
	env.record.mutex.Unlock()
	if err := os.WriteFile(os.Args[3], []byte(content), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	switch {
	case result.err != nil:
		return 2
	case len(result.breaks) > 0:
		return 1
	}
	fmt.Println("held")
	return 0
}
