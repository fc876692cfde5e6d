// Package settings loads a process's own settings: a YAML file, then flags
// over it, checked as a whole before anything starts. Each process defines its
// struct with yaml and validate tags and embeds the common parts of this
// package by name.
package settings

import (
	"os"
	"strings"

	"github.com/tillerfall/tillerfall/internal/config/strictyaml"
)

// Problems lists the errors of the settings.
type Problems = strictyaml.Problems

// Override is a value that goes before the file's, usually from a flag.
type Override struct {
	// Field is the dotted path of YAML keys, such as "node.zone".
	Field string
	// Value is the text of a string, duration, number, boolean or YAML list.
	Value string
}

// ParseOverride reads "field=value", the form of the --set flag.
func ParseOverride(text string) (Override, Problems) {
	field, value, found := strings.Cut(text, "=")
	if !found || field == "" {
		return Override{}, Problems{{Field: text, Message: "expected FIELD=VALUE"}}
	}
	return Override{Field: field, Value: value}, nil
}

// CrossFieldValidator is implemented by settings with rules between fields.
type CrossFieldValidator interface {
	// ValidateCrossField reports each broken rule under the path of a field.
	ValidateCrossField(report func(field, message string))
}

// Load fills target, a pointer to a struct that holds the defaults, from a file
// and the overrides and checks it. An empty path means no file. It reports
// every error; the target may be used only if there are none.
func Load(path string, target any, overrides ...Override) Problems {
	positions := strictyaml.Positions{}
	var problems Problems
	if path != "" {
		source, err := os.ReadFile(path)
		if err != nil {
			return Problems{{Message: "settings file: " + err.Error()}}
		}
		positions, problems = strictyaml.Decode(source, target)
	}
	for _, override := range overrides {
		problems = append(problems, strictyaml.Set(target, override.Field, override.Value)...)
		positions[override.Field] = strictyaml.Position{}
	}
	problems = problems.AppendNew(strictyaml.Validate(target, positions))
	problems = problems.AppendNew(validateCrossField(target, positions))
	problems.Sort()
	return problems
}

func validateCrossField(target any, positions strictyaml.Positions) Problems {
	checker, ok := target.(CrossFieldValidator)
	if !ok {
		return nil
	}
	var problems Problems
	checker.ValidateCrossField(func(field, message string) {
		problems = append(problems, positions.Problem(field, message))
	})
	return problems
}
