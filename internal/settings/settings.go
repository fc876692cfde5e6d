// Package settings loads the settings of a process from a YAML file and overrides, and validates
// them as a whole before the process starts. Each process defines its own struct with yaml and
// validate tags, which contains the common parts of this package as fields.
package settings

import (
	"os"
	"strings"

	"github.com/tillerfall/tillerfall/internal/config/strictyaml"
)

// Problems lists the errors of the settings.
type Problems = strictyaml.Problems

// Override is a value that replaces one from the file, usually from a flag.
type Override struct {
	// Field is the dotted path of YAML keys, such as "node.zone".
	Field string
	// Value is the text of a string, duration, number, boolean or YAML list.
	Value string
}

// ParseOverride parses "field=value", the form of the --set flag.
func ParseOverride(text string) (Override, Problems) {
	field, value, found := strings.Cut(text, "=")
	if !found || field == "" {
		return Override{}, Problems{{Field: text, Message: "expected FIELD=VALUE"}}
	}
	return Override{Field: field, Value: value}, nil
}

// CrossFieldValidator is implemented by settings with rules between fields.
type CrossFieldValidator interface {
	// ValidateCrossField reports each violated rule with the path of a field.
	ValidateCrossField(report func(field, message string))
}

// Load decodes a file into target, a pointer to a struct that holds the defaults, applies the
// overrides and validates the result. If path is empty, no file is read. It reports every error;
// target may be used only if there are none.
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
	validator, ok := target.(CrossFieldValidator)
	if !ok {
		return nil
	}
	var problems Problems
	validator.ValidateCrossField(func(field, message string) {
		problems = append(problems, positions.Problem(field, message))
	})
	return problems
}
