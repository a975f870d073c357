package rockdemo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"sassafrasrock/io/rockload"
	"sassafrasrock/io/rocksettings"
	"sassafrasrock/io/rockstandin"
)

// The exit codes of the command sassafrasrock-standin.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

type commandLine struct {
	Run   runCommand   `cmd:"" help:"Play the outside systems of a settings file until interrupted."`
	Drive driveCommand `cmd:"" help:"Send the load of a plan and application calls, kill backend servers meanwhile, and compare every answer with an undisturbed run."`
}

type runCommand struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file (JSON with comments)."`
}

// Run simulates the external systems until ctx ends.
func (c *runCommand) Run(ctx context.Context, _ io.Writer, log *slog.Logger) error {
	return rockstandin.RunFile(ctx, c.Settings, log)
}

type driveCommand struct {
	Plan      string        `arg:"" type:"existingfile" help:"Load plan (JSON with comments)."`
	Layers    int           `default:"9" help:"Layers of the plan's model."`
	Control   string        `default:"127.0.0.1:21900" help:"Control address of the stand-in."`
	Kill      []string      `help:"Backend servers to kill, one after the other."`
	KillAfter time.Duration `default:"3s" help:"Time before each kill."`
	KillFor   time.Duration `default:"3s" help:"Time until a killed backend server starts again."`
	Calls     int           `default:"20" help:"Application calls, each sent twice."`
}

// Run drives a demonstration.
func (c *driveCommand) Run(ctx context.Context, stdout io.Writer, _ *slog.Logger) error {
	data, err := os.ReadFile(c.Plan)
	if err != nil {
		return err
	}
	plan, err := rocksettings.Decode[rockload.Plan](data)
	if err != nil {
		return fmt.Errorf("%s:\n%w", c.Plan, err)
	}
	d := &Demo{
		Plan: plan, Layers: c.Layers, Control: c.Control,
		Kill: c.Kill, KillAfter: c.KillAfter, KillFor: c.KillFor, Calls: c.Calls,
	}
	return d.Run(ctx, stdout)
}

// Main runs the command sassafrasrock-standin and returns its exit code. args excludes the program name.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser, err := kong.New(&commandLine{}, kong.Name("sassafrasrock-standin"),
		kong.Description("Plays the outside systems of sassafrasrock, on loopback."), kong.Writers(stdout, stderr))
	if err != nil {
		fmt.Fprintln(stderr, "sassafrasrock-standin:", err)
		return ExitUsage
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(stderr, "sassafrasrock-standin:", err)
		return ExitUsage
	}
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.BindTo(stdout, (*io.Writer)(nil))
	if err := parsed.Run(slog.New(slog.NewTextHandler(stderr, nil))); err != nil {
		fmt.Fprintln(stderr, "sassafrasrock-standin:", err)
		return ExitFailed
	}
	return ExitOK
}
