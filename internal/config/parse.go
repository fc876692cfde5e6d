package config

import (
	"github.com/tillerfall/tillerfall/internal/config/strictyaml"
)

// Problem is one error in a configuration.
type Problem = strictyaml.Problem

// Problems lists the errors of a configuration.
type Problems = strictyaml.Problems

// Parse reads a configuration from YAML and checks it. It reports every error
// with line, column and field. With no problems the document is in canonical
// order and has no revision; with problems it is nil.
func Parse(source []byte) (*Document, Problems) {
	var document Document
	positions, problems := strictyaml.Decode(source, &document)
	for _, problem := range check(&document, positions) {
		if !locatedBefore(problems, problem) {
			problems = append(problems, problem)
		}
	}
	if len(problems) > 0 {
		problems.Sort()
		return nil, problems
	}
	canonical := Canonical(document)
	return &canonical, nil
}

// locatedBefore tells whether reading has already reported the field: a value
// of a wrong type would otherwise be reported as missing, too.
func locatedBefore(problems Problems, problem Problem) bool {
	for _, earlier := range problems {
		if earlier.Field == problem.Field {
			return true
		}
	}
	return false
}

// Check reports every error of a document; the problems carry fields only.
func Check(document Document) Problems {
	return check(&document, nil)
}
