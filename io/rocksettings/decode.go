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

const maxQuotedBytes = 80

// Problem describes one invalid field of a file or of a value.
type Problem struct {
	Field   string
	Value   string
	Allowed string
	Line    int // 0 if unknown, as for a value that did not come from a file
}

// Problems is an error that lists all invalid fields.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// String returns the problem as one line of text; the line number is left out if it is unknown.
func (p Problem) String() string {
	text := fmt.Sprintf("%s: %s is not allowed; allowed: %s", p.Field, p.Value, p.Allowed)
	if p.Line == 0 {
		return text
	}
	return fmt.Sprintf("line %d: %s", p.Line, text)
}

// Decode decodes JSON with comments and checks the validate tags of T. For Daemon, CommandLine and
// rocktable.Configuration it also checks the rules that involve several fields. The error is of
// type Problems.
func Decode[T any](data []byte) (T, error) {
	var v T
	if isTooDeep(data) {
		return v, Problems{{Field: "file", Value: "the nesting of lists and objects", Allowed: fmt.Sprintf("up to %d levels", maxDepth)}}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return v, Problems{{Field: "file", Value: truncate(err.Error()), Allowed: "JSON with comments", Line: syntaxErrorLine(err)}}
	}
	dec := newDecoder(data)
	dec.decodeValue("", &root, reflect.ValueOf(&v).Elem(), "")
	dec.validate(reflect.ValueOf(&v).Elem())
	dec.addProblems(checkFieldCombinations(v)...)
	if len(dec.problems) == 0 {
		return v, nil
	}
	slices.SortStableFunc(dec.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return v, dec.problems
}

// Check applies the rules of Decode to a value that did not come from a file. The problems have no
// line numbers; Check returns nil if there are none.
func Check[T any](v T) Problems {
	dec := newDecoder(nil)
	dec.validate(reflect.ValueOf(&v).Elem())
	dec.addProblems(checkFieldCombinations(v)...)
	return dec.problems
}

// checkFieldCombinations applies the rules that involve several fields.
func checkFieldCombinations(v any) Problems {
	switch v := v.(type) {
	case rocktable.Configuration:
		return CheckConfiguration(v)
	case Daemon:
		return checkDaemon(v)
	case CommandLine:
		return checkCommandLine(v)
	}
	return nil
}

// syntaxErrorLine returns the line of a syntax error, or 0 if there is none. hujson reports the line
// only in the text of its error.
func syntaxErrorLine(err error) int {
	var line int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d,", &line); scanErr != nil {
		return 0
	}
	return line
}

func truncate(s string) string {
	if len(s) <= maxQuotedBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxQuotedBytes], "") + "..."
}
