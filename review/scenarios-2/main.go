// Command scenarios holds the stand-ins and scenarios of the second review's scripts: a store, workers, the
// network before a worker, and clients. Each scenario starts the project's program with the command of the deploy
// file, and ends with 1 if the rule was broken, 0 if it held, and 2 if it couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Exit statuses of a scenario.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// scenarioTimeout bounds a scenario.
const scenarioTimeout = 110 * time.Second

func formatMillis(duration time.Duration) string {
	return strconv.FormatInt(duration.Milliseconds(), 10)
}

// scenario is what a script plays.
type scenario struct {
	record *record
	// root is the repository, folder a temporary one.
	root, folder string
	// trouble is unset if the disruption is left out.
	trouble bool
	// cleanups run at the end, the last first.
	cleanups []func()
}

func (s *scenario) cleanup(call func()) { s.cleanups = append(s.cleanups, call) }

func (s *scenario) finish() {
	for index := len(s.cleanups) - 1; index >= 0; index-- {
		s.cleanups[index]()
	}
}

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule is broken")

var scenarios = map[string]func(s *scenario) error{
	"unproven-end": playUnprovenEnd,
	"short-pause":  playShortPause,
	"slow-reader":  playSlowReader,
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "worker" {
		if err := runWorker(os.Args[2], os.Args[3]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNoRun)
		}
		return
	}
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scenarios SCENARIO FOLDER")
		os.Exit(exitNoRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a scenario and returns its exit status.
func play(name, caseFolder string) int {
	written, err := newRecord(caseFolder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	s := &scenario{record: written, root: root, folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	if os.Getenv("KEEP") == "" {
		s.cleanup(func() { _ = os.RemoveAll(folder) })
	} else {
		fmt.Println(filepath.Clean(folder))
	}
	done := make(chan error, 1)
	go func() { done <- scenarios[name](s) }()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-done:
	case received := <-stopped:
		err = fmt.Errorf("stopped by %s", received)
	case <-time.After(scenarioTimeout):
		err = errors.New("out of time")
	}
	s.finish()
	switch {
	case err == nil:
		written.line("held")
		return exitHeld
	case errors.Is(err, errBroken):
		written.line("BROKEN: %v", err)
		return exitBroken
	default:
		written.line("couldn't run: %v", err)
		return exitNoRun
	}
}
