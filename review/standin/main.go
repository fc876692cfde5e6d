// Command standin plays the cases of the review. It starts the gateways of the project as separate
// processes with the command of the deploy file, and stands in for the platform's store, the workers and
// the clients. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

// scene is what a case runs with.
type scene struct {
	// root is the repository, directory a temporary folder.
	root, directory string
	record          *record
	// trouble is false if the disruption is left out.
	trouble  bool
	gateways []*gateway
}

// cases holds the cases by name. Each reports whether the rule was broken.
var cases = make(map[string]func(*scene) (broken bool, err error))

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) != 3 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER")
		return exitFailed
	}
	root, err := filepath.Abs(arguments[1])
	if err != nil {
		return exitFailed
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(directory) }()
	log, err := newRecord(filepath.Join(arguments[2], "record.txt"))
	if err != nil {
		return exitFailed
	}
	defer log.close()
	current := &scene{root: root, directory: directory, record: log, trouble: os.Getenv("TROUBLE") != "0"}
	var once sync.Once
	end := func() {
		once.Do(func() {
			for _, g := range current.gateways {
				g.kill()
			}
		})
	}
	defer end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		end()
		os.Exit(exitFailed)
	}()
	overdue := time.AfterFunc(maxDuration, func() {
		log.say("the case takes too long")
		end()
		os.Exit(exitFailed)
	})
	defer overdue.Stop()
	log.say("case %s, with the disruption: %t", arguments[0], current.trouble)
	broken, err := cases[arguments[0]](current)
	switch {
	case err != nil:
		log.say("the case couldn't run: %s", err)
		for _, g := range current.gateways {
			fmt.Fprintln(os.Stderr, g.name, g.tail(2000))
		}
		return exitFailed
	case broken:
		log.say("the rule was broken")
		return exitBroken
	default:
		log.say("the rule held")
		return exitHeld
	}
}

// startFleet starts gateways beside a store that holds the configuration.
func (s *scene) startFleet(platform *store, gateways, memoryMB int) error {
	var err error
	s.gateways, err = startGateways(s.root, s.directory, gateways, memoryMB, platform)
	if err != nil {
		return err
	}
	// Traffic starts some seconds after the machines, and a machine is in touch after contact_ms.
	time.Sleep(4 * time.Second)
	fronts := s.gateways[0].resolve(clientHost, s.gateways[0].zone)
	if len(fronts) == 0 {
		return fmt.Errorf("the directory names no front")
	}
	for _, g := range s.gateways {
		s.record.add("gateway %s in %s serves clients at %s", g.name, g.zone, g.front())
	}
	return nil
}
