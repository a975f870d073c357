package rocksettings

import (
	"errors"
	"fmt"
	"net"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

var structValidator = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	registerAddressRule(v, "listen", 0)
	registerAddressRule(v, "address", 1)
	registerDurationRule(v, millisecondsTag, time.Millisecond)
	registerDurationRule(v, secondsTag, time.Second)
	return v
}

// registerAddressRule registers a validation tag for host:port addresses. The library's own
// hostname_port accepts neither port 0 nor IPv6.
func registerAddressRule(v *validator.Validate, tag string, lowestPort uint64) {
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

// validate checks the validate tags of a struct and records the problems.
func (d *decoder) validate(v reflect.Value) {
	if v.Kind() != reflect.Struct {
		return
	}
	var failures validator.ValidationErrors
	if !errors.As(structValidator.Struct(v.Interface()), &failures) {
		return
	}
	for _, failure := range failures {
		_, field, _ := strings.Cut(failure.Namespace(), ".")
		d.addProblems(Problem{Field: field, Value: d.valueText(field, failure), Allowed: d.allowedText(field, failure)})
	}
}

// valueText returns the text of a field in the file, or its formatted value if there is no file.
func (d *decoder) valueText(field string, failure validator.FieldError) string {
	if value, ok := d.textByPath[field]; ok {
		return value
	}
	if len(d.textByPath) > 0 || failure.Tag() == "required" {
		return "a missing value"
	}
	return truncate(fmt.Sprintf("%#v", failure.Value()))
}

// allowedText describes all rules of a field, or only the failed one if the field's tag was not
// recorded.
func (d *decoder) allowedText(field string, failure validator.FieldError) string {
	r, ok := d.ruleByPath[field]
	if !ok {
		r = rule{tag: failure.Tag() + "=" + failure.Param(), kind: failure.Kind()}
	}
	tag, _, _ := strings.Cut(r.tag, "dive")
	var parts []string
	for part := range strings.SplitSeq(strings.Trim(tag, ","), ",") {
		name, param, _ := strings.Cut(part, "=")
		if text := describeRule(name, param, r.kind); text != "" {
			parts = append(parts, text)
		}
	}
	return strings.Join(parts, ", ")
}

// describeRule returns the text of one rule of a validate tag, or an empty string if the rule
// restricts nothing.
func describeRule(name, param string, kind reflect.Kind) string {
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
	case millisecondsTag, secondsTag:
		return describeDurationRule(name, param)
	case "omitempty", "":
		return ""
	default:
		return name + " " + param
	}
}
