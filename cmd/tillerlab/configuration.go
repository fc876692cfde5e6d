package main

import (
	"os"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/config"
)

// readConfiguration reads and validates a YAML configuration file.
func readConfiguration(path string) (*config.Document, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	document, problems := config.Parse(source)
	if err := problems.Err(); err != nil {
		return nil, errors.Wrap(err, path)
	}
	return document, nil
}
