package rockcommand

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"sassafrasrock/io/rockload"
	"sassafrasrock/io/rockoperator"
)

// Command is the command line. Its function fields are the seams through which it uses the network,
// files, the clock and the load generator; tests replace them.
type Command struct {
	Dial        func(address string, settings rockoperator.ClientSettings) *rockoperator.Client
	ReadFile    func(name string) ([]byte, error)
	Sleep       func(ctx context.Context, d time.Duration) error // returns early with the context's error if the context is done
	Now         func() time.Time
	NewChangeID func() string
	RunLoad     func(ctx context.Context, g *rockload.Generator) (*rockload.Report, error)
	IsTerminal  func(w io.Writer) bool
	FileKinds   []FileKind // kinds of file that the check command can check
}

// New returns a command line that uses the system's clock, files and network.
func New() *Command {
	return &Command{
		Dial:        rockoperator.NewClient,
		ReadFile:    os.ReadFile,
		Sleep:       sleep,
		Now:         time.Now,
		NewChangeID: rand.Text,
		RunLoad: func(ctx context.Context, g *rockload.Generator) (*rockload.Report, error) {
			return g.Run(ctx)
		},
		IsTerminal: isTerminal,
		FileKinds:  []FileKind{configurationKind, daemonKind, commandKind, loadKind},
	}
}

// Main runs one command until it finishes or the process receives SIGINT or SIGTERM, and returns the
// exit code. args exclude the program's name.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return New().Run(ctx, args, stdout, stderr)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// grammar declares the commands, flags and arguments. kong makes their names from the names of the
// fields.
type grammar struct {
	Server    []string      `short:"s" placeholder:"ADDRESS" help:"Operators' address of a host; may be given several times. The next one is used when one does not answer."`
	Output    string        `short:"o" enum:"text,json" default:"text" help:"Form of the output: text or json."`
	Settings  string        `placeholder:"FILE" env:"SASSAFRASROCK_SETTINGS" help:"File with the settings of the command line; flags go before it."`
	TokenFile string        `placeholder:"FILE" help:"File with the operators' token."`
	CAFile    string        `name:"ca-file" placeholder:"FILE" help:"Trust root of the servers' certificates (PEM); turns TLS on."`
	CertFile  string        `placeholder:"FILE" help:"Client certificate for mutual TLS (PEM)."`
	KeyFile   string        `placeholder:"FILE" help:"Key of the client certificate (PEM)."`
	Timeout   time.Duration `placeholder:"DURATION" help:"Limit of one call (default 35s)."`

	Apply    applyCommand    `cmd:"" help:"Show what a configuration file changes, put it in force, and wait until all live hosts have it."`
	Get      getCommand      `cmd:"" help:"Print the configuration in force."`
	Status   statusCommand   `cmd:"" help:"Print what a host knows of hosts, backend servers and pipelines (in JSON, 64-bit numbers are strings)."`
	Check    checkCommand    `cmd:"" help:"Check a settings or configuration file and list every error."`
	Drain    drainCommand    `cmd:"" help:"Stop new work to a backend server, or lift that."`
	Reset    resetCommand    `cmd:"" help:"Lift the quarantine of a request content."`
	Explain  explainCommand  `cmd:"" help:"Explain a code, or list all codes."`
	Outcomes outcomesCommand `cmd:"" help:"Add up the outcomes by caller and rank over all servers given."`
	Load     loadCommand     `cmd:"" help:"Send load to callers' addresses and measure the answers."`
	Trust    trustCommand    `cmd:"" help:"Write a throw-away trust root and certificates for hosts, for tests and demonstrations."`
}

// invocation is one run of the command line, with its parsed flags and output streams.
type invocation struct {
	*Command
	ctx            context.Context
	flags          *grammar
	stdout, stderr io.Writer
}

// Run parses the arguments, runs the command and returns the exit code.
func (c *Command) Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var flags grammar
	helpShown := false
	parser, err := kong.New(&flags,
		kong.Name("sassafrasrock"),
		kong.Description("Configures and inspects sassafrasrock hosts."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(int) { helpShown = true }),
		kong.Help(func(options kong.HelpOptions, ctx *kong.Context) error {
			if err := kong.DefaultHelpPrinter(options, ctx); err != nil {
				return err
			}
			writeExitCodes(stdout)
			return nil
		}),
	)
	if err != nil {
		fmt.Fprintf(stderr, "sassafrasrock: %v\n", err)
		return ExitFailed
	}
	parsed, err := parser.Parse(args)
	if helpShown {
		return ExitOK
	}
	inv := &invocation{Command: c, ctx: ctx, flags: &flags, stdout: stdout, stderr: stderr}
	if err != nil {
		inv.printError(exitWith(ExitUsage, "%v (--help lists the commands)", err))
		return ExitUsage
	}
	if err := parsed.Run(inv); err != nil {
		inv.printError(err)
		return exitCodeOf(err)
	}
	return ExitOK
}

func (inv *invocation) isJSON() bool { return inv.flags.Output == "json" }

// print writes a result as JSON if --output json is given, and otherwise calls text to write it.
func (inv *invocation) print(result any, text func(w io.Writer)) error {
	if !inv.isJSON() {
		text(inv.stdout)
		return nil
	}
	return writeJSON(inv.stdout, result)
}

func writeJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func (inv *invocation) printError(err error) {
	if !inv.isJSON() {
		fmt.Fprintf(inv.stderr, "sassafrasrock: %v\n", err)
		return
	}
	_ = writeJSON(inv.stderr, struct {
		Error string `json:"error"`
		Exit  int    `json:"exit"`
	}{err.Error(), exitCodeOf(err)})
}
