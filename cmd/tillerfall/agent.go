package main

import (
	"context"
	"os"

	"github.com/tillerfall/tillerfall/internal/agent"
	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/logging"
	"github.com/tillerfall/tillerfall/internal/settings"
)

// agentCommand runs an agent.
type agentCommand struct {
	settingsFlags
	Routers []string `long:"router" value-name:"HOST:PORT" description:"Numeric address of a router, in place of those in the file; may be given more than once"`
}

// Execute implements flags.Commander.
func (c *agentCommand) Execute([]string) error {
	agentSettings := agent.DefaultSettings()
	if len(c.Routers) > 0 {
		c.Set = append([]string{"routers=" + yamlList(c.Routers)}, c.Set...)
	}
	if err := c.load(&agentSettings); err != nil {
		return err
	}
	agentSettings.Memory.Apply()
	logger := logging.New(os.Stderr, "agent", fleet.NodeID(agentSettings.Node.ID), agentSettings.Logging.Level)
	instance, err := agent.New(agentSettings, agent.Dependencies{Logger: logger})
	if err != nil {
		return err
	}
	return runProcess(agentProcess{Agent: instance}, logger)
}

// agentProcess implements process for an agent.
type agentProcess struct {
	*agent.Agent
}

// Start implements process.
func (p agentProcess) Start() error { return p.Agent.Start(context.Background()) }

// Err implements process. It must be called only after the agent has ended.
func (p agentProcess) Err() error { return p.Stop() }

func checkAgentSettings(file string) config.Problems {
	target := agent.DefaultSettings()
	return settings.Load(file, &target)
}
