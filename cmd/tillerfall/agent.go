package main

import (
	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// agentCommand runs an agent.
type agentCommand struct {
	settingsFlags
}

// Execute implements flags.Commander.
func (c *agentCommand) Execute([]string) error {
	return resultcode.New(resultcode.Internal, "the agent isn't part of this build")
}

func checkAgentSettings(string) config.Problems { return nil }
