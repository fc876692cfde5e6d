// Package strictyaml reads YAML into Go structs and reports every error of a
// file with its line, column and field path. It accepts plain data only:
// anchors, aliases, tags and several documents in one file are errors.
package strictyaml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a YAML file.
type Problem struct {
	// Line and Column count from 1; both are 0 where the place isn't known, as
	// with a value that came from a flag.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the path of the field, such as "tenants[0].weight"; empty means
	// the whole file.
	Field string `json:"field"`
	// Message says what is wrong.
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

// Problems lists the errors of a file. An empty list means that it is valid.
type Problems []Problem

// Error implements error, one problem a line.
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

// AppendNew appends the problems of fields that have none yet: a value of a
// wrong type would otherwise be reported as missing, too.
func (p Problems) AppendNew(more Problems) Problems {
	known := make(map[string]bool, len(p))
	for _, problem := range p {
		known[problem.Field] = true
	}
	for _, problem := range more {
		if !known[problem.Field] {
			p = append(p, problem)
		}
	}
	return p
}

// Sort orders problems by place, then by field.
func (p Problems) Sort() {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), strings.Compare(a.Field, b.Field))
	})
}

// Position is a place in a file, counted from 1.
type Position struct {
	Line, Column int
}

// Positions gives the place of each field that a file holds, by path.
type Positions map[string]Position

// Find returns the place of a field or, where the file doesn't hold it, of the
// nearest enclosing field that it holds.
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

// Problem returns a problem located at a field.
func (p Positions) Problem(field, message string) Problem {
	position := p.Find(field)
	return Problem{Line: position.Line, Column: position.Column, Field: field, Message: message}
}

func parentPath(field string) string {
	return field[:max(strings.LastIndexAny(field, ".["), 0)]
}
