package strictyaml

import (
	"encoding"
	"reflect"
	"strings"
)

// Set parses text, such as the value of a flag, into the field of target at a dotted path of YAML
// keys. Strings are taken literally; values without a text format of their own are parsed as YAML.
// Its problems have no position.
func Set(target any, field, text string) Problems {
	value, known := fieldByPath(reflect.ValueOf(target).Elem(), strings.Split(field, "."))
	if !known {
		return Problems{{Field: field, Message: "unknown field"}}
	}
	if unmarshaler, ok := value.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := unmarshaler.UnmarshalText([]byte(text)); err != nil {
			return Problems{{Field: field, Message: err.Error()}}
		}
		return nil
	}
	if value.Kind() == reflect.String {
		value.SetString(text)
		return nil
	}
	return setFromYAML(value, field, text)
}

func setFromYAML(value reflect.Value, field, text string) Problems {
	body, problem := parseDocument([]byte(text))
	if problem != nil {
		return Problems{{Field: field, Message: problem.Message}}
	}
	decoder := &decoder{positions: Positions{}}
	decoder.decode(body, value, field)
	for index := range decoder.problems {
		decoder.problems[index].Line = 0
		decoder.problems[index].Column = 0
	}
	return decoder.problems
}

// fieldByPath follows YAML keys through nested structs.
func fieldByPath(value reflect.Value, keys []string) (reflect.Value, bool) {
	for _, key := range keys {
		if value.Kind() != reflect.Struct {
			return reflect.Value{}, false
		}
		index, known := fieldsByKey(value.Type())[key]
		if !known {
			return reflect.Value{}, false
		}
		value = value.Field(index)
	}
	return value, true
}
