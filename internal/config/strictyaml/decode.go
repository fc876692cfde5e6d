package strictyaml

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
)

// Decode decodes a YAML document into target, a pointer to a struct with yaml tags. Fields that are
// not in the file keep their values, which may be defaults. It reports syntax errors, exceeded
// limits, unknown and repeated fields, and wrong types. Decoding ends at a syntax error or an
// exceeded limit and continues after other problems.
func Decode(source []byte, target any) (Positions, Problems) {
	decoder := &decoder{positions: Positions{"": {Line: 1, Column: 1}}}
	body, problem := parseDocument(source)
	if problem != nil {
		return decoder.positions, Problems{*problem}
	}
	if body != nil {
		decoder.decode(body, reflect.ValueOf(target).Elem(), "")
	}
	decoder.problems.Sort()
	return decoder.positions, decoder.problems
}

// parseDocument returns the body of a file's only document, or nil if the file is empty.
func parseDocument(source []byte) (ast.Node, *Problem) {
	if len(source) > MaxBytes {
		return nil, &Problem{Line: 1, Column: 1, Message: fmt.Sprintf("the file is over %d bytes", MaxBytes)}
	}
	tokens := lexer.Tokenize(string(source))
	if problem := checkLimits(tokens); problem != nil {
		return nil, problem
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxProblem(err)
	}
	if len(file.Docs) == 0 {
		return nil, nil
	}
	if len(file.Docs) > 1 {
		problem := Problem{Line: 1, Column: 1, Message: "the file holds more than one document"}
		if token := file.Docs[1].Start; token != nil {
			problem.Line, problem.Column = token.Position.Line, token.Position.Column
		}
		return nil, &problem
	}
	if _, comment := file.Docs[0].Body.(*ast.CommentGroupNode); comment {
		return nil, nil
	}
	return file.Docs[0].Body, nil
}

func syntaxProblem(err error) *Problem {
	problem := &Problem{Line: 1, Column: 1, Message: "syntax: " + err.Error()}
	var detailed yaml.Error
	if !errors.As(err, &detailed) {
		return problem
	}
	problem.Message = "syntax: " + detailed.GetMessage()
	if token := detailed.GetToken(); token != nil {
		problem.Line, problem.Column = token.Position.Line, token.Position.Column
	}
	return problem
}

type decoder struct {
	positions Positions
	problems  Problems
}

func (d *decoder) report(node ast.Node, field, format string, arguments ...any) {
	position := nodePosition(node)
	d.problems = append(d.problems, Problem{
		Line:    position.Line,
		Column:  position.Column,
		Field:   field,
		Message: fmt.Sprintf(format, arguments...),
	})
}

func (d *decoder) decode(node ast.Node, target reflect.Value, field string) {
	if _, known := d.positions[field]; !known {
		d.positions[field] = nodePosition(node)
	}
	if unmarshaler, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(node, unmarshaler, field)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(node, target, field)
	case reflect.Slice:
		d.decodeSlice(node, target, field)
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decode(node, target.Elem(), field)
	default:
		d.decodeScalar(node, target, field)
	}
}

func (d *decoder) decodeText(node ast.Node, target encoding.TextUnmarshaler, field string) {
	text, ok := stringValue(node)
	if !ok {
		d.report(node, field, "expected a string, found %s", describe(node))
		return
	}
	if err := target.UnmarshalText([]byte(text)); err != nil {
		d.report(node, field, "%s", err)
	}
}

func (d *decoder) decodeStruct(node ast.Node, target reflect.Value, field string) {
	entries, ok := mappingEntries(node)
	if !ok {
		d.report(node, field, "expected a mapping, found %s", describe(node))
		return
	}
	fields := fieldsByKey(target.Type())
	seen := make(map[string]bool, len(entries))
	for _, entry := range entries {
		d.decodeEntry(entry, target, field, fields, seen)
	}
}

func (d *decoder) decodeEntry(
	entry *ast.MappingValueNode, target reflect.Value, parent string, fields map[string]int, seen map[string]bool,
) {
	key, ok := stringValue(entry.Key)
	if !ok {
		d.report(entry.Key, parent, "a field's name must be a plain string")
		return
	}
	path := joinPath(parent, key)
	if seen[key] {
		d.report(entry.Key, path, "the field is given twice")
		return
	}
	seen[key] = true
	index, known := fields[key]
	if !known {
		d.report(entry.Key, path, "unknown field")
		return
	}
	d.positions[path] = nodePosition(entry.Key)
	d.decode(entry.Value, target.Field(index), path)
}

func (d *decoder) decodeSlice(node ast.Node, target reflect.Value, field string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.report(node, field, "expected a list, found %s", describe(node))
		return
	}
	values := reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values))
	for index, value := range sequence.Values {
		d.decode(value, values.Index(index), fmt.Sprintf("%s[%d]", field, index))
	}
	target.Set(values)
}

// fieldsByKey maps the YAML keys of a struct type to field indices.
func fieldsByKey(structType reflect.Type) map[string]int {
	fields := make(map[string]int, structType.NumField())
	for index := range structType.NumField() {
		if key := fieldKey(structType.Field(index)); key != "" {
			fields[key] = index
		}
	}
	return fields
}

// fieldKey returns the YAML key of a struct field, or "" if it has none.
func fieldKey(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	if key == "-" || !field.IsExported() {
		return ""
	}
	return key
}

func joinPath(parent, key string) string {
	if parent == "" {
		return key
	}
	return parent + "." + key
}
