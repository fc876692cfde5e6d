// Package strictyaml decodes YAML into Go structs and reports every error of a file with line,
// column and field path. It accepts plain data only: anchors, aliases, tags and several documents
// in one file are errors.
package strictyaml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a YAML file.
type Problem struct {
	// Line and Column count from 1. Both are 0 if the position is unknown, as for the value of a
	// flag.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the path of the field, such as "tenants[0].weight"; empty means
	// the whole file.
	Field string `json:"field"`
	// Message describes the error.
	Message string `json:"message"`
}

// String formats a problem as "line 3, column 5: tenants[0].weight: message".
func (p Problem) String() string {
	var text strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&text, "line %d, column %d: ", p.Line, p.Column)
	}
	if p.Field != "" {
		text.WriteString(p.Field + ": ")
	}
	text.WriteString(p.Message)
	return text.String()
}

// Problems lists the errors of a file. It is empty if the file is valid.
type Problems []Problem

// Error implements error. It returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// AppendNew appends the problems of fields that have none yet. A value of a wrong type, for
// example, is not also reported as missing.
func (p Problems) AppendNew(more Problems) Problems {
	reported := make(map[string]bool, len(p))
	for _, problem := range p {
		reported[problem.Field] = true
	}
	for _, problem := range more {
		if !reported[problem.Field] {
			p = append(p, problem)
		}
	}
	return p
}

// Sort orders problems by position, then by field.
func (p Problems) Sort() {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), strings.Compare(a.Field, b.Field))
	})
}

// Position is a position in a file. Line and column count from 1.
type Position struct {
	Line, Column int
}

// Positions maps the path of each field in a file to its position.
type Positions map[string]Position

// Find returns the position of a field or, if the file does not contain it, of the nearest
// enclosing field that it contains.
func (p Positions) Find(field string) Position {
	for {
		if position, found := p[field]; found {
			return position
		}
		if field == "" {
			return Position{}
		}
		field = parentPath(field)
	}
}

// Problem returns a problem at the position of a field.
func (p Positions) Problem(field, message string) Problem {
	position := p.Find(field)
	return Problem{Line: position.Line, Column: position.Column, Field: field, Message: message}
}

func parentPath(field string) string {
	return field[:max(strings.LastIndexAny(field, ".["), 0)]
}
