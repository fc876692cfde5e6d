// Package reference generates the reference of a configuration or settings struct from its source:
// one Markdown table row for each YAML field, with the field's comment. Tests compare the pages in
// docs with it.
package reference

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/printer"
	"go/token"
	"reflect"
	"strings"

	"github.com/go-faster/errors"
)

// Table returns the Markdown table of a struct type declared in a Go source file. It returns an
// error if the type is missing or a YAML field has no comment.
func Table(sourceFile, typeName string) (string, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, sourceFile, nil, parser.ParseComments)
	if err != nil {
		return "", errors.Wrap(err, "parse source")
	}
	structType := findStruct(file, typeName)
	if structType == nil {
		return "", errors.Errorf("no struct %s in %s", typeName, sourceFile)
	}
	var table strings.Builder
	table.WriteString("| Field | Type | Rule | Meaning |\n|---|---|---|---|\n")
	for _, field := range structType.Fields.List {
		row, err := fieldRow(files, field)
		if err != nil {
			return "", errors.Wrapf(err, "struct %s", typeName)
		}
		table.WriteString(row)
	}
	return table.String(), nil
}

func findStruct(file *ast.File, name string) *ast.StructType {
	var found *ast.StructType
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.TypeSpec)
		if ok && spec.Name.Name == name {
			found, _ = spec.Type.(*ast.StructType)
		}
		return found == nil
	})
	return found
}

// fieldRow returns a table row, or "" for a field without a YAML key.
func fieldRow(files *token.FileSet, field *ast.Field) (string, error) {
	if field.Tag == nil {
		return "", nil
	}
	tag := reflect.StructTag(strings.Trim(field.Tag.Value, "`"))
	key, _, _ := strings.Cut(tag.Get("yaml"), ",")
	if key == "" || key == "-" {
		return "", nil
	}
	comment := strings.Join(strings.Fields(field.Doc.Text()), " ")
	if comment == "" {
		return "", errors.Errorf("field %q has no comment", key)
	}
	var typeText bytes.Buffer
	if err := printer.Fprint(&typeText, files, field.Type); err != nil {
		return "", errors.Wrap(err, "print type")
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s |\n", key, typeName(typeText.String()), ruleText(tag), comment), nil
}

// typeNames maps Go types to the type names in the tables. Types of package fleet are strings.
var typeNames = map[string]string{
	"float64":   "number",
	"int":       "whole number",
	"int64":     "whole number",
	"bool":      "true or false",
	"Duration":  "duration, such as `1.5s`",
	"string":    "string",
	"[]Tenant":  "list of tenants",
	"[]Class":   "list of classes",
	"[]Model":   "list of models",
	"[]Pool":    "list of pools",
	"[]Version": "list of versions",
	"[]Adapter": "list of adapters",
}

func typeName(goType string) string {
	if name, known := typeNames[goType]; known {
		return name
	}
	element, isList := strings.CutPrefix(goType, "[]")
	if isList {
		return "list of " + typeName(element) + "s"
	}
	if strings.HasPrefix(goType, "fleet.") || strings.HasSuffix(goType, "State") {
		return "string"
	}
	_, local, qualified := strings.Cut(goType, ".")
	if qualified {
		return typeName(local)
	}
	return "mapping"
}

// ruleText returns the validation rules as written in the struct tag.
func ruleText(tag reflect.StructTag) string {
	rules := tag.Get("validate")
	if rules == "" {
		return ""
	}
	return "`" + strings.ReplaceAll(rules, "|", `\|`) + "`"
}
