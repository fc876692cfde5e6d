package strictyaml

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"
)

// namePattern matches identifiers. It excludes the colon, which separates a model from its adapter.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Validation rules in addition to those of the validator package.
const (
	nameRule = "name"
	// addressRule requires HOST:PORT with a numeric host.
	addressRule = "address"
)

var structValidator = newStructValidator()

func newStructValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(displayName)
	mustRegister(validate, nameRule, namePattern.MatchString)
	mustRegister(validate, addressRule, isAddress)
	return validate
}

func mustRegister(validate *validator.Validate, rule string, matches func(string) bool) {
	check := func(field validator.FieldLevel) bool { return matches(field.Field().String()) }
	if err := validate.RegisterValidation(rule, check); err != nil {
		panic(err)
	}
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// displayName returns a field's YAML key or, if it has none, its JSON key.
func displayName(field reflect.StructField) string {
	if key := fieldKey(field); key != "" {
		return key
	}
	key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return key
}

// Validate checks the "validate" tags of a struct and reports every failure, with the positions of
// the fields. positions may be nil.
func Validate(target any, positions Positions) Problems {
	err := structValidator.Struct(target)
	if err == nil {
		return nil
	}
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return Problems{positions.Problem("", err.Error())}
	}
	var problems Problems
	for _, failure := range failures {
		problems = append(problems, failureProblems(failure, positions)...)
	}
	problems.Sort()
	return problems
}

func failureProblems(failure validator.FieldError, positions Positions) Problems {
	_, field, _ := strings.Cut(failure.Namespace(), ".")
	if failure.Tag() == "unique" {
		return duplicateProblems(failure, field, positions)
	}
	return Problems{positions.Problem(field, failureMessage(failure))}
}

// duplicateProblems reports each element whose key occurs earlier in the list.
func duplicateProblems(failure validator.FieldError, field string, positions Positions) Problems {
	var problems Problems
	elements := reflect.ValueOf(failure.Value())
	first := make(map[any]int, elements.Len())
	for index := range elements.Len() {
		key, keyField := elements.Index(index), ""
		if failure.Param() != "" {
			structField, _ := key.Type().FieldByName(failure.Param())
			key, keyField = key.FieldByIndex(structField.Index), "."+displayName(structField)
		}
		earlier, repeated := first[key.Interface()]
		if !repeated {
			first[key.Interface()] = index
			continue
		}
		path := fmt.Sprintf("%s[%d]%s", field, index, keyField)
		message := fmt.Sprintf("%q occurs already as %s[%d]", fmt.Sprint(key.Interface()), field, earlier)
		problems = append(problems, positions.Problem(path, message))
	}
	return problems
}

func failureMessage(failure validator.FieldError) string {
	value := fmt.Sprintf("%v", failure.Value())
	isList := failure.Kind() == reflect.Slice
	switch failure.Tag() {
	case "required":
		return "is required"
	case nameRule:
		return fmt.Sprintf("%q isn't a name: use 1 to 63 letters, digits, '.', '_' or '-', the first a letter or digit", value)
	case "oneof":
		return fmt.Sprintf("%q must be one of: %s", value, failure.Param())
	case "hexadecimal":
		return "must be hexadecimal"
	case "len":
		return fmt.Sprintf("must be %s characters long, has %d", failure.Param(), len(value))
	case "gt":
		return fmt.Sprintf("must be greater than %s, is %s", failure.Param(), value)
	case "gte", "min":
		if isList {
			return fmt.Sprintf("needs at least %s element(s)", failure.Param())
		}
		return fmt.Sprintf("must be at least %s, is %s", failure.Param(), value)
	case "lt":
		return fmt.Sprintf("must be less than %s, is %s", failure.Param(), value)
	case "lte", "max":
		return fmt.Sprintf("must be at most %s, is %s", failure.Param(), value)
	case addressRule:
		return fmt.Sprintf("%q must be HOST:PORT with a numeric host", value)
	default:
		return fmt.Sprintf("%q fails the rule %s %s", value, failure.Tag(), failure.Param())
	}
}
