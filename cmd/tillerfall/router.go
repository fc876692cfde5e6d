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
	Platform string   `long:"platform" value-name:"HOST:PORT" description:"Numeric address of the platform; platform.address"`
	Peers    []string `long:"peer" value-name:"HOST:PORT" description:"Numeric address of a router to join through, in place of those in the file; may be given more than once"`
}

// addFlagOverrides adds the router's own flags before those of --set, which take precedence.
func (c *routerCommand) addFlagOverrides() {
	var overrides []string
	if c.Platform != "" {
		overrides = append(overrides, "platform.address="+c.Platform)
	}
	if len(c.Peers) > 0 {
		overrides = append(overrides, "peers="+yamlList(c.Peers))
	}
	c.Set = append(overrides, c.Set...)
}

// Execute implements flags.Commander.
func (c *routerCommand) Execute([]string) error {
	c.addFlagOverrides()
	settings := router.DefaultSettings()
	if err := c.load(&settings); err != nil {
		return err
	}
	settings.Memory.Apply()
	logger := logging.New(os.Stderr, "router", fleet.NodeID(settings.Node.ID), settings.Logging.Level)
	instance := router.New(router.Options{Settings: settings, Logger: logger, Version: version})
	return runProcess(instance, logger)
}
