package rockdaemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"sassafrasrock/io/rocklog"
	"sassafrasrock/io/rockmemory"
	"sassafrasrock/io/rocksettings"
)

// The exit codes of the daemon.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitSettings = 4
)

type arguments struct {
	File string `arg:"" help:"Settings file (JSON with comments)."`
}

// Main runs the daemon with the settings file that the arguments name and returns its exit code.
func Main(args []string, stderr io.Writer) int {
	settings, file, code := ReadSettings("sassafrasrockd", "Routes model requests and application calls on an entry host.", args, stderr)
	if code != ExitOK {
		return code
	}
	if err := runDaemon(settings, file, stderr); err != nil {
		fmt.Fprintln(stderr, "sassafrasrockd:", err)
		return ExitFailed
	}
	return ExitOK
}

// ReadSettings parses the arguments of a program and reads the settings file that they name. It
// returns the settings and the path of the file. If it fails, it writes the reason to stderr and
// returns an exit code other than ExitOK.
func ReadSettings(program, description string, args []string, stderr io.Writer) (settings rocksettings.Daemon, file string, code int) {
	var a arguments
	parser, err := kong.New(&a, kong.Name(program), kong.Description(description))
	if err == nil {
		_, err = parser.Parse(args)
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return settings, "", ExitUsage
	}
	data, err := os.ReadFile(a.File)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return settings, "", ExitUsage
	}
	settings, err = rocksettings.Decode[rocksettings.Daemon](data)
	if err != nil {
		fmt.Fprintf(stderr, "%s:\n%v\n", a.File, err)
		return settings, "", ExitSettings
	}
	return settings, a.File, ExitOK
}

// runDaemon creates a daemon from the settings and runs it until a signal.
func runDaemon(settings rocksettings.Daemon, file string, stderr io.Writer) error {
	var level slog.Level
	if settings.LogLevel != "" {
		if err := level.UnmarshalText([]byte(settings.LogLevel)); err != nil {
			return err
		}
	}
	lines := rocklog.New(stderr)
	defer lines.Close()
	log := slog.New(slog.NewTextHandler(lines, &slog.HandlerOptions{Level: level}))
	d, err := New(settings, WithLogger(log), WithSettingsFile(file))
	if err != nil {
		return err
	}
	return RunUntilSignal(d)
}

// RunUntilSignal runs a daemon until SIGTERM or SIGINT, which starts a graceful shutdown. A second
// signal stops it at once.
func RunUntilSignal(d *Daemon) error {
	rockmemory.LimitHeap(processBytes(d.settings))
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, stop := context.WithCancel(context.Background())
	stopNow := make(chan struct{})
	go func() {
		<-signals
		stop()
		<-signals
		close(stopNow)
	}()
	return d.Run(ctx, stopNow)
}
