package rockcommand

import (
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
)

// The exit codes of the command line; scripts depend on them, so they don't change.
const (
	ExitOK         = 0
	ExitFailed     = 1
	ExitUsage      = 2
	ExitConflict   = 3
	ExitInvalid    = 4
	ExitNotInForce = 5
	ExitNotFound   = 6
)

// Exit documents one exit code.
type Exit struct {
	Code int
	Text string
}

// Exits lists every exit code, as --help shows them.
var Exits = []Exit{
	{ExitOK, "done"},
	{ExitFailed, "failed, or done only in part: no server reached, or a change not recorded"},
	{ExitUsage, "arguments not understood"},
	{ExitConflict, "another change was accepted first; nothing was written"},
	{ExitInvalid, "a file or configuration is not valid; nothing was written"},
	{ExitNotInForce, "accepted, but not in force on all live hosts within --wait"},
	{ExitNotFound, "no such backend server, fingerprint or code"},
}

// exitError is an error with the exit code that it leads to.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func exitWith(code int, format string, args ...any) error {
	return &exitError{code: code, err: eris.Errorf(format, args...)}
}

func exitCode(err error) int {
	var exit *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.code
	}
	return ExitFailed
}

func writeExits(w io.Writer) {
	fmt.Fprintln(w, "\nExit codes:")
	for _, exit := range Exits {
		fmt.Fprintf(w, "  %d  %s\n", exit.Code, exit.Text)
	}
}
