package rocksettings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"

	"sassafrasrock/core/rocktable"
)

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
		lines[i] = fmt.Sprintf("line %d: %s: %s is not allowed; allowed: %s", problem.Line, problem.Field, problem.Value, problem.Allowed)
	}
	return strings.Join(lines, "\n")
}

// Decode decodes JSON with comments and checks it; its error is of type Problems.
func Decode[T any](data []byte) (T, error) {
	var v T
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return v, Problems{{Field: "file", Value: err.Error(), Allowed: "JSON with comments"}}
	}
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, Problems{{Field: "file", Value: err.Error(), Allowed: "known fields"}}
	}
	return v, nil
}

// CheckConfiguration returns what is wrong with a configuration beyond its single fields, or nil.
func CheckConfiguration(cfg rocktable.Configuration) Problems {
	return nil
}
