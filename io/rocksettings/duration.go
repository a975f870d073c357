package rocksettings

import (
	"math"
	"reflect"
	"strconv"
	"time"

	"github.com/go-playground/validator/v10"
)

// Milliseconds is a duration in a settings file: a number of milliseconds, which may have a fraction.
type Milliseconds float64

// Duration returns the duration, at most longestDuration.
func (m Milliseconds) Duration() time.Duration { return toDuration(float64(m), time.Millisecond) }

// Seconds is a duration in a settings file: a number of seconds, which may have a fraction.
type Seconds float64

// Duration returns the duration, at most longestDuration.
func (s Seconds) Duration() time.Duration { return toDuration(float64(s), time.Second) }

// longestDuration keeps sums of durations that the check has yet to reject from overflowing.
const longestDuration = 365 * 24 * time.Hour

func toDuration(value float64, unit time.Duration) time.Duration {
	return time.Duration(min(max(math.Round(value*float64(unit)), 0), float64(longestDuration)))
}

// Validation tags of durations, with the longest duration as their parameter.
const (
	millisecondsTag = "milliseconds"
	secondsTag      = "seconds"
)

// shortestDuration keeps a setting from making the control thread wake up all the time.
const shortestDuration = time.Millisecond

// registerDurationRule registers a validation tag for durations: 0, which means the default, or shortestDuration to the
// duration in the parameter.
func registerDurationRule(v *validator.Validate, tag string, unit time.Duration) {
	err := v.RegisterValidation(tag, func(field validator.FieldLevel) bool {
		longest, err := strconv.ParseFloat(field.Param(), 64)
		value := field.Field().Float()
		return err == nil && (value == 0 || value >= shortestIn(unit) && value <= longest)
	})
	if err != nil {
		panic(err)
	}
}

// shortestIn returns shortestDuration as a number of units.
func shortestIn(unit time.Duration) float64 { return float64(shortestDuration) / float64(unit) }

// describeDurationRule returns the text of the rule of a duration.
func describeDurationRule(tag, longest string) string {
	unit := time.Millisecond
	if tag == secondsTag {
		unit = time.Second
	}
	return "0 for the default, or a number of " + tag + " from " + formatNumber(shortestIn(unit)) + " to " + longest
}

// isDuration reports whether values of a type have the rule of a duration.
func isDuration(t reflect.Type) bool {
	return t == reflect.TypeFor[Milliseconds]() || t == reflect.TypeFor[Seconds]()
}

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }
