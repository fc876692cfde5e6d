package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/lab/capacity"
)

// capacityCommand measures how costs grow with the size of the fleet.
type capacityCommand struct {
	Output string `long:"output" default:"results" description:"Directory for capacity.json and capacity.md"`
	Seed   uint64 `long:"seed" default:"1" description:"Seed of every generator"`
}

// Execute implements flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	report, err := capacity.Run(capacity.Options{
		Sizes:    capacity.DefaultSizes(),
		Seed:     c.Seed,
		Progress: func(part string) { fmt.Fprintln(os.Stderr, "measuring", part) },
	})
	if err != nil {
		return errors.Wrap(err, "measure capacity")
	}
	if err := c.write("capacity.json", report.WriteJSON); err != nil {
		return err
	}
	if err := c.write("capacity.md", report.WriteMarkdown); err != nil {
		return err
	}
	return report.WriteMarkdown(os.Stdout)
}

// write writes one file of the output directory.
func (c *capacityCommand) write(name string, content func(io.Writer) error) error {
	if err := os.MkdirAll(c.Output, 0o755); err != nil {
		return errors.Wrap(err, "create output directory")
	}
	file, err := os.Create(filepath.Join(c.Output, name))
	if err != nil {
		return errors.Wrap(err, "create output")
	}
	if err := content(file); err != nil {
		_ = file.Close()
		return errors.Wrapf(err, "write %s", name)
	}
	return file.Close()
}
