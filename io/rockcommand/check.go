package rockcommand

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockload"
	"sassafrasrock/io/rocksettings"
)

// FileKind is a kind of file that check knows.
type FileKind struct {
	Name  string
	Field string                  // a top-level field that only this kind has
	Check func(data []byte) error // rocksettings.Problems if the file is not valid
}

// NewFileKind returns the kind of file that decodes to T.
func NewFileKind[T any](name, field string) FileKind {
	return FileKind{Name: name, Field: field, Check: func(data []byte) error {
		_, err := rocksettings.Decode[T](data)
		return err
	}}
}

var (
	configurationKind = NewFileKind[rocktable.Configuration]("configuration", "ranks")
	daemonKind        = NewFileKind[rocksettings.Daemon]("daemon", "callersAddress")
	commandKind       = NewFileKind[rocksettings.Client]("command", "operators")
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

// Run checks the file.
func (c *checkCommand) Run(inv *invocation) error {
	data, err := inv.ReadFile(c.File)
	if err != nil {
		return eris.Wrap(err, "read the file")
	}
	kind, err := inv.findKind(c.Kind, data)
	if err != nil {
		return err
	}
	return inv.report(c.File, kind.Name, kind.Check(data))
}

// report prints what is wrong with a file and returns the error for the exit code, or nil if nothing is.
func (inv *invocation) report(file, kind string, err error) error {
	var problems rocksettings.Problems
	if err != nil && !errors.As(err, &problems) {
		return &exitError{code: ExitInvalid, err: err}
	}
	result := checkResult{File: file, Kind: kind, Valid: len(problems) == 0, Errors: []problemResult{}}
	for _, p := range problems {
		result.Errors = append(result.Errors, problemResult(p))
	}
	if err := inv.print(result, result.write); err != nil || result.Valid {
		return err
	}
	return exitWith(ExitInvalid, "%s is not valid: %d errors", file, len(result.Errors))
}

func (r checkResult) write(w io.Writer) {
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

// findKind returns the kind with the name, or the one whose field the file has.
func (inv *invocation) findKind(name string, data []byte) (FileKind, error) {
	names := make([]string, len(inv.Kinds))
	for i, kind := range inv.Kinds {
		names[i] = kind.Name
		if name == kind.Name || (name == "" && hasField(data, kind.Field)) {
			return kind, nil
		}
	}
	if name == "" {
		return FileKind{}, exitWith(ExitInvalid, "the kind of the file can't be found from its fields: use --kind with one of %s", strings.Join(names, ", "))
	}
	return FileKind{}, exitWith(ExitUsage, "unknown kind %q%s; known: %s", name, suggestion(name, names), strings.Join(names, ", "))
}

// hasField searches the text, so that a file with a syntax error is still recognised and the error gets reported.
func hasField(data []byte, field string) bool {
	value, err := hujson.Parse(bytes.Clone(data))
	if err != nil {
		return bytes.Contains(data, []byte(`"`+field+`"`))
	}
	return value.Find("/"+field) != nil
}
