package config

import (
	"github.com/tillerfall/tillerfall/internal/config/strictyaml"
)

// Problem is one error in a configuration.
type Problem = strictyaml.Problem

// Problems lists the errors of a configuration.
type Problems = strictyaml.Problems

// Parse decodes and validates a YAML configuration. It reports every problem with line, column and
// field path. Without problems the document is in canonical order and has no revision; with
// problems it is nil.
func Parse(source []byte) (*Document, Problems) {
	var document Document
	positions, problems := strictyaml.Decode(source, &document)
	problems = problems.AppendNew(check(&document, positions))
	if len(problems) > 0 {
		problems.Sort()
		return nil, problems
	}
	canonical := Canonical(document)
	return &canonical, nil
}

// Check validates a document. Its problems have field paths but no positions.
func Check(document Document) Problems {
	return check(&document, nil)
}
