package main

import (
	"os"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/logging"
	"github.com/tillerfall/tillerfall/internal/router"
)

// routerCommand runs a router.
type routerCommand struct {
	settingsFlags
}

// Execute implements flags.Commander.
func (c *routerCommand) Execute([]string) error {
	settings := router.DefaultSettings()
	if err := c.load(&settings); err != nil {
		return err
	}
	logger := logging.New(os.Stderr, "router", fleet.NodeID(settings.Node.ID), settings.Logging.Level)
	instance := router.New(router.Options{Settings: settings, Logger: logger, Version: version})
	return runProcess(instance, logger)
}
