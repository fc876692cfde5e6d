package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/logging"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/lab/standin/platformmodel"
	"github.com/tillerfall/tillerfall/lab/standin/platformserver"
)

// platformCommand runs a simulated platform until it is interrupted.
type platformCommand struct {
	Address        string `long:"address" default:"127.0.0.1:0" description:"Numeric HOST:PORT to listen on"`
	Machines       string `long:"machines" description:"JSON file with the list of machines"`
	FullSpeedLoads int    `long:"full-speed-loads" default:"2" description:"Weight loads that run at full speed together"`
	LogLevel       string `long:"log-level" default:"info" description:"Least level that is logged"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	server, err := c.newServer()
	if err != nil {
		return err
	}
	if err := server.Start(fleet.Address(c.Address)); err != nil {
		return errors.Wrap(err, "start platform")
	}
	fmt.Printf("ready platform address=%s\n", server.Address())
	waitForInterrupt()
	return server.Stop()
}

// newServer returns a server that has its list of machines but is not started. The list must be set
// before the start; otherwise it could replace one that a client posts immediately after the start.
func (c *platformCommand) newServer() (*platformserver.Server, error) {
	logger := logging.New(os.Stderr, "platform", "platform", c.LogLevel)
	server := platformserver.New(platformmodel.Options{FullSpeedLoads: c.FullSpeedLoads}, logger)
	machines, err := readMachines(c.Machines)
	if err != nil {
		return nil, err
	}
	server.SetMachines(machines)
	return server, nil
}

func readMachines(path string) ([]platform.Machine, error) {
	if path == "" {
		return nil, nil
	}
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read machines")
	}
	var machines []platform.Machine
	if err := json.Unmarshal(body, &machines); err != nil {
		return nil, errors.Wrapf(err, "parse %s", path)
	}
	return machines, nil
}

// waitForInterrupt returns at the first SIGINT or SIGTERM.
func waitForInterrupt() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	<-signals
}
