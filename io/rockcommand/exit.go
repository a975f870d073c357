package rockcommand

import (
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
)

// The exit codes of the command line. Their values must not change, because scripts depend on them.
const (
	ExitOK        = 0
	ExitFailed    = 1
	ExitUsage     = 2
	ExitConflict  = 3
	ExitInvalid   = 4
	ExitNotActive = 5
	ExitNotFound  = 6
)

// ExitCode is an exit code with its description in --help.
type ExitCode struct {
	Code int
	Text string
}

// ExitCodes lists all exit codes in the order in which --help shows them.
var ExitCodes = []ExitCode{
	{ExitOK, "done"},
	{ExitFailed, "failed, or done only in part: no server reached, or a change not recorded"},
	{ExitUsage, "arguments not understood"},
	{ExitConflict, "another change was accepted first; nothing was written"},
	{ExitInvalid, "a file or configuration is not valid; nothing was written"},
	{ExitNotActive, "accepted, but not in force on all live hosts within --wait"},
	{ExitNotFound, "no such backend server, fingerprint or code"},
}

// exitError is an error that sets the exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func exitWith(code int, format string, args ...any) error {
	return &exitError{code: code, err: eris.Errorf(format, args...)}
}

func exitCodeOf(err error) int {
	var exit *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.code
	}
	return ExitFailed
}

func writeExitCodes(w io.Writer) {
	fmt.Fprintln(w, "\nExit codes:")
	for _, exit := range ExitCodes {
		fmt.Fprintf(w, "  %d  %s\n", exit.Code, exit.Text)
	}
}
