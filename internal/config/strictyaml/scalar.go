package strictyaml

import (
	"reflect"

	"github.com/goccy/go-yaml/ast"
)

func (d *decoder) decodeScalar(node ast.Node, target reflect.Value, field string) {
	switch target.Kind() {
	case reflect.String:
		text, ok := stringValue(node)
		if !ok {
			d.report(node, field, "expected a string, found %s (put it in quotes)", describe(node))
			return
		}
		target.SetString(text)
	case reflect.Bool:
		boolean, ok := node.(*ast.BoolNode)
		if !ok {
			d.report(node, field, "expected true or false, found %s", describe(node))
			return
		}
		target.SetBool(boolean.Value)
	case reflect.Float32, reflect.Float64:
		d.decodeFloat(node, target, field)
	default:
		d.decodeInteger(node, target, field)
	}
}

func (d *decoder) decodeFloat(node ast.Node, target reflect.Value, field string) {
	switch number := node.(type) {
	case *ast.FloatNode:
		target.SetFloat(number.Value)
	case *ast.IntegerNode:
		target.SetFloat(integerAsFloat(number))
	default:
		d.report(node, field, "expected a number, found %s", describe(node))
	}
}

func integerAsFloat(node *ast.IntegerNode) float64 {
	switch value := node.Value.(type) {
	case int64:
		return float64(value)
	case uint64:
		return float64(value)
	default:
		return 0
	}
}

func (d *decoder) decodeInteger(node ast.Node, target reflect.Value, field string) {
	number, ok := node.(*ast.IntegerNode)
	if !ok {
		d.report(node, field, "expected a whole number, found %s", describe(node))
		return
	}
	if !setInteger(number, target) {
		d.report(node, field, "%s is out of range", number.GetToken().Value)
	}
}

// setInteger stores a whole number and reports whether it fits.
func setInteger(node *ast.IntegerNode, target reflect.Value) bool {
	switch value := node.Value.(type) {
	case int64:
		if target.CanUint() {
			return value >= 0 && setUint(uint64(value), target)
		}
		if !target.CanInt() || target.OverflowInt(value) {
			return false
		}
		target.SetInt(value)
		return true
	case uint64:
		if target.CanUint() {
			return setUint(value, target)
		}
		signed := int64(value)
		if !target.CanInt() || signed < 0 || target.OverflowInt(signed) {
			return false
		}
		target.SetInt(signed)
		return true
	default:
		return false
	}
}

func setUint(value uint64, target reflect.Value) bool {
	if target.OverflowUint(value) {
		return false
	}
	target.SetUint(value)
	return true
}
