package main

import (
	"fmt"
	"os"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/router"
	"github.com/tillerfall/tillerfall/internal/settings"
)

// validateCommand validates a file and prints every error.
type validateCommand struct {
	Kind string `long:"kind" choice:"configuration" choice:"router" choice:"agent" default:"configuration" description:"What the file holds"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"File to check"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	code, problems := c.check()
	for _, problem := range problems {
		fmt.Fprintf(os.Stderr, "%s: %s\n", c.Args.File, problem)
	}
	if len(problems) > 0 {
		return resultcode.New(code, fmt.Sprintf("%d errors in %s", len(problems), c.Args.File))
	}
	fmt.Printf("%s: valid\n", c.Args.File)
	return nil
}

func (c *validateCommand) check() (resultcode.Code, config.Problems) {
	switch c.Kind {
	case "router":
		target := router.DefaultSettings()
		return resultcode.SettingsInvalid, settings.Load(c.Args.File, &target)
	case "agent":
		return resultcode.SettingsInvalid, checkAgentSettings(c.Args.File)
	}
	source, err := os.ReadFile(c.Args.File)
	if err != nil {
		return resultcode.ConfigInvalid, config.Problems{{Message: err.Error()}}
	}
	_, problems := config.Parse(source)
	return resultcode.ConfigInvalid, problems
}
