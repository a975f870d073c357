package rocksettings

import (
	"errors"
	"net"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	register(v, "listen", 0)
	register(v, "address", 1)
	return v
}

// register adds a rule for host:port addresses; hostname_port of the library accepts neither port 0 nor IPv6.
func register(v *validator.Validate, tag string, lowestPort uint64) {
	err := v.RegisterValidation(tag, func(field validator.FieldLevel) bool {
		host, port, err := net.SplitHostPort(field.Field().String())
		if err != nil || (host == "" && lowestPort > 0) {
			return false
		}
		n, err := strconv.ParseUint(port, 10, 16)
		return err == nil && n >= lowestPort
	})
	if err != nil {
		panic(err)
	}
}

// validate applies the validate tags of a struct.
func (s *source) validate(v reflect.Value) {
	if v.Kind() != reflect.Struct {
		return
	}
	var failures validator.ValidationErrors
	if !errors.As(validate.Struct(v.Interface()), &failures) {
		return
	}
	for _, failure := range failures {
		_, field, _ := strings.Cut(failure.Namespace(), ".")
		s.add(Problem{Field: field, Value: s.valueOf(field), Allowed: s.allowed(field, failure)})
	}
}

func (s *source) valueOf(field string) string {
	if value, ok := s.values[field]; ok {
		return value
	}
	return "a missing value"
}

// allowed describes all rules of a field, or the failed one if the others are not known.
func (s *source) allowed(field string, failure validator.FieldError) string {
	r, ok := s.rules[field]
	if !ok {
		r = rule{tag: failure.Tag() + "=" + failure.Param(), kind: failure.Kind()}
	}
	tag, _, _ := strings.Cut(r.tag, "dive")
	var parts []string
	for part := range strings.SplitSeq(strings.Trim(tag, ","), ",") {
		name, param, _ := strings.Cut(part, "=")
		if text := describe(name, param, r.kind); text != "" {
			parts = append(parts, text)
		}
	}
	return strings.Join(parts, ", ")
}

func describe(name, param string, kind reflect.Kind) string {
	unit := ""
	switch kind {
	case reflect.String:
		unit = " characters"
	case reflect.Slice:
		unit = " entries"
	}
	switch name {
	case "required":
		return "not empty"
	case "min", "gte":
		return "at least " + param + unit
	case "max", "lte":
		return "at most " + param + unit
	case "gt":
		return "more than " + param + unit
	case "len":
		return "exactly " + param + unit
	case "hexadecimal":
		return "hexadecimal digits"
	case "oneof":
		return "one of " + strings.ReplaceAll(param, " ", ", ")
	case "http_url":
		return "an http or https URL"
	case "listen":
		return "an address host:port to listen on"
	case "address":
		return "an address host:port"
	case "omitempty", "":
		return ""
	default:
		return name + " " + param
	}
}
