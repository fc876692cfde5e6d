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

// addFlagOverrides puts the router's own flags before --set, which wins.
func (c *routerCommand) addFlagOverrides() {
	var own []string
	if c.Platform != "" {
		own = append(own, "platform.address="+c.Platform)
	}
	if len(c.Peers) > 0 {
		own = append(own, "peers="+yamlList(c.Peers))
	}
	c.Set = append(own, c.Set...)
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
