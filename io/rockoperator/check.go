package rockoperator

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rocksettings"
)

// validate caches the tags of struct types and is safe for concurrent use.
var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
}

// CheckConfiguration returns all problems of a configuration: first those of single fields, then those
// of rules that involve several fields. A field with a problem of its own is not listed again.
func CheckConfiguration(cfg rocktable.Configuration) rocksettings.Problems {
	var problems rocksettings.Problems
	seen := make(map[string]bool)
	add := func(p rocksettings.Problem) {
		if !seen[p.Field] {
			problems = append(problems, p)
		}
	}
	for _, p := range checkTags(cfg) {
		add(p)
	}
	for _, p := range problems {
		seen[p.Field] = true
	}
	for _, p := range rocksettings.CheckConfiguration(cfg) {
		add(p)
	}
	return problems
}

func checkTags(cfg rocktable.Configuration) rocksettings.Problems {
	err := validate.Struct(cfg)
	var failed validator.ValidationErrors
	if !errors.As(err, &failed) {
		return nil
	}
	problems := make(rocksettings.Problems, len(failed))
	for i, f := range failed {
		problems[i] = rocksettings.Problem{
			Field:   strings.TrimPrefix(f.Namespace(), "Configuration."),
			Value:   fmt.Sprintf("%v", f.Value()),
			Allowed: describeAllowed(f),
		}
		if s, ok := f.Value().(string); ok {
			problems[i].Value = fmt.Sprintf("%q", s)
		}
	}
	return problems
}

// describeAllowed describes the values that the failed validate tag of a field allows.
func describeAllowed(f validator.FieldError) string {
	unit := ""
	switch f.Kind() {
	case reflect.String:
		unit = " characters"
	case reflect.Slice:
		unit = " entries"
	}
	switch f.Tag() {
	case "required":
		return "a value that is not empty"
	case "min":
		return "at least " + f.Param() + unit
	case "max":
		return "at most " + f.Param() + unit
	case "len":
		return "exactly " + f.Param() + unit
	case "gt":
		return "more than " + f.Param() + unit
	case "hexadecimal":
		return "hexadecimal digits"
	}
	return strings.TrimSpace(f.Tag() + " " + f.Param())
}
