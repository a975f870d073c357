package rockcommand

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockload"
	"sassafrasrock/io/rocksettings"
)

// FileKind is a kind of file that the check command can check.
type FileKind struct {
	Name        string
	UniqueField string                  // top-level field that no other kind has; identifies the kind if --kind is not given
	Check       func(data []byte) error // its error is of type rocksettings.Problems
}

// NewFileKind returns the kind of file that is decoded as a T. field is its UniqueField.
func NewFileKind[T any](name, field string) FileKind {
	return FileKind{Name: name, UniqueField: field, Check: func(data []byte) error {
		_, err := rocksettings.Decode[T](data)
		return err
	}}
}

var (
	configurationKind = NewFileKind[rocktable.Configuration]("configuration", "ranks")
	daemonKind        = NewFileKind[rocksettings.Daemon]("daemon", "callersAddress")
	commandKind       = NewFileKind[rocksettings.CommandLine]("command", "operators")
	loadKind          = NewFileKind[rockload.Plan]("load", "targets")
)

type checkCommand struct {
	File string `arg:"" help:"File to check."`
	Kind string `placeholder:"KIND" help:"Kind of the file; found from its fields if not given."`
}

type checkResult struct {
	File   string          `json:"file"`
	Kind   string          `json:"kind,omitempty"`
	Valid  bool            `json:"valid"`
	Errors []problemResult `json:"errors"`
}

type problemResult struct {
	Field   string `json:"field"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
	Line    int    `json:"line,omitempty"`
}

// Run checks the file and prints all its problems.
func (c *checkCommand) Run(inv *invocation) error {
	data, err := inv.ReadFile(c.File)
	if err != nil {
		return eris.Wrap(err, "read file")
	}
	kind, err := inv.findKind(c.Kind, data)
	if err != nil {
		return err
	}
	return inv.reportProblems(c.File, kind.Name, kind.Check(data))
}

// reportProblems prints the result of checking a file and returns the error that sets the exit code,
// or nil if the file is valid.
func (inv *invocation) reportProblems(file, kind string, err error) error {
	var problems rocksettings.Problems
	if err != nil && !errors.As(err, &problems) {
		return &exitError{code: ExitInvalid, err: err}
	}
	result := checkResult{File: file, Kind: kind, Valid: len(problems) == 0, Errors: []problemResult{}}
	for _, p := range problems {
		result.Errors = append(result.Errors, problemResult(p))
	}
	if err := inv.print(result, result.writeText); err != nil || result.Valid {
		return err
	}
	return exitWith(ExitInvalid, "%s is not valid: %d errors", file, len(result.Errors))
}

func (r checkResult) writeText(w io.Writer) {
	if r.Valid {
		fmt.Fprintf(w, "%s: valid (%s)\n", r.File, r.Kind)
	}
	for _, p := range r.Errors {
		position := r.File
		if p.Line > 0 {
			position = fmt.Sprintf("%s:%d", r.File, p.Line)
		}
		fmt.Fprintf(w, "%s: %s: %s is not allowed; allowed: %s\n", position, p.Field, p.Value, p.Allowed)
	}
}

// findKind returns the kind with the given name or, if the name is empty, the kind whose UniqueField
// the file contains.
func (inv *invocation) findKind(name string, data []byte) (FileKind, error) {
	names := make([]string, len(inv.FileKinds))
	for i, kind := range inv.FileKinds {
		names[i] = kind.Name
		if name == kind.Name || (name == "" && rocksettings.HasField(data, kind.UniqueField)) {
			return kind, nil
		}
	}
	if name == "" {
		return FileKind{}, exitWith(ExitInvalid, "the kind of the file can't be found from its fields: use --kind with one of %s", strings.Join(names, ", "))
	}
	return FileKind{}, exitWith(ExitUsage, "unknown kind %q%s; known: %s", name, suggestion(name, names), strings.Join(names, ", "))
}
