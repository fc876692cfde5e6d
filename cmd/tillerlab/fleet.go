package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/logging"
	"github.com/tillerfall/tillerfall/lab/localfleet"
)

// startTimeout bounds the start of the embedded fleet.
const startTimeout = 30 * time.Second

// fleetCommand runs an embedded fleet on loopback until it is interrupted.
type fleetCommand struct {
	Config   string `long:"config" default:"examples/config.yaml" description:"Configuration (YAML) to commit"`
	Address  string `long:"address" default:"127.0.0.1:8700" description:"Numeric HOST:PORT of the agent; port 0 takes any free one"`
	Routers  int    `long:"routers" default:"2" description:"Number of routers"`
	Engines  int    `long:"engines" default:"3" description:"Number of engine stand-ins"`
	LogLevel string `long:"log-level" default:"warn" description:"Least level that is logged"`
}

// Execute implements flags.Commander.
func (c *fleetCommand) Execute([]string) error {
	document, err := readConfiguration(c.Config)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	running, err := localfleet.Start(ctx, localfleet.Options{
		Document:     *document,
		Routers:      c.Routers,
		Engines:      c.Engines,
		AgentAddress: fleet.Address(c.Address),
		Logger:       logging.New(os.Stderr, "fleet", "local", c.LogLevel),
	})
	if err != nil {
		return errors.Wrap(err, "start fleet")
	}
	c.printReady(running, document)
	waitForInterrupt()
	return running.Stop()
}

// printReady prints the fleet's addresses and an example request.
func (c *fleetCommand) printReady(running *localfleet.Fleet, document *config.Document) {
	fmt.Printf("ready url=http://%s router=%s\n", running.AgentAddress(), running.RouterAddress())
	fmt.Printf("curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer example-key-counter' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":12,\"messages\":[{\"role\":\"user\",\"content\":\"Which flag covers meter photographs?\"}]}'\n",
		running.AgentAddress(), document.Models[0].Name)
}
