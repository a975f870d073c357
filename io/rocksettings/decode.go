package rocksettings

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"sassafrasrock/core/rocktable"
)

// maxShown is the number of bytes of a value that a problem quotes.
const maxShown = 80

// Problem says what is wrong with one field.
type Problem struct {
	Field   string
	Value   string
	Allowed string
	Line    int // 0 where it is not known
}

// Problems is an error that lists everything that is wrong with a file.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// String returns the problem in one line, without the line number where it is not known.
func (p Problem) String() string {
	text := fmt.Sprintf("%s: %s is not allowed; allowed: %s", p.Field, p.Value, p.Allowed)
	if p.Line == 0 {
		return text
	}
	return fmt.Sprintf("line %d: %s", p.Line, text)
}

// Decode decodes JSON with comments and checks it, including the rules over several fields of the types of this package and of Configuration; its error is of type Problems.
func Decode[T any](data []byte) (T, error) {
	var v T
	root, err := hujson.Parse(data)
	if err != nil {
		return v, Problems{{Field: "file", Value: shorten(err.Error()), Allowed: "JSON with comments", Line: lineOf(err)}}
	}
	src := newSource(data)
	src.read("", &root, reflect.ValueOf(&v).Elem(), "")
	src.validate(reflect.ValueOf(&v).Elem())
	src.add(checkFields(v)...)
	if len(src.problems) == 0 {
		return v, nil
	}
	slices.SortStableFunc(src.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return v, src.problems
}

// checkFields applies the rules over several fields.
func checkFields(v any) Problems {
	switch v := v.(type) {
	case rocktable.Configuration:
		return CheckConfiguration(v)
	case Daemon:
		return checkDaemon(v)
	case Client:
		return checkClient(v)
	}
	return nil
}

// lineOf returns the line of a syntax error, which hujson gives only in the text.
func lineOf(err error) int {
	var line int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d,", &line); scanErr != nil {
		return 0
	}
	return line
}

func shorten(s string) string {
	if len(s) <= maxShown {
		return s
	}
	return strings.ToValidUTF8(s[:maxShown], "") + "..."
}
