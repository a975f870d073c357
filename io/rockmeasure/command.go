package rockmeasure

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"sassafrasrock/io/rockexperiment"
)

// The exit codes of Main.
const (
	ExitOK     = 0 // every experiment ran, whether or not its targets were met
	ExitFailed = 1 // an experiment did not complete, or the records could not be written
	ExitUsage  = 2 // invalid arguments
)

// commandLine defines the arguments; kong makes flags and help from it.
type commandLine struct {
	Names []string `arg:"" optional:"" name:"experiment" help:"Experiments to run; all if none is named."`
	Seed  []uint64 `default:"1" help:"Seed of arrivals and random choices; may be given several times."`
	JSON  string   `name:"json" placeholder:"FILE" help:"Write the list of records to a file."`
	List  bool     `help:"List the experiments and end."`
}

// Main runs the command with the given arguments and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return run(All, args, stdout, stderr)
}

func run(all []rockexperiment.Experiment, args []string, stdout, stderr io.Writer) int {
	var g commandLine
	parser, err := kong.New(&g, kong.Name("sassafrasrock-measure"),
		kong.Description("Measures the decision code in virtual time."), kong.Writers(stdout, stderr))
	if err == nil {
		_, err = parser.Parse(args)
	}
	var selected []rockexperiment.Experiment
	if err == nil {
		selected, err = selectExperiments(all, g.Names)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if g.List {
		for _, e := range selected {
			fmt.Fprintf(stdout, "%s: %s\n\n", e.Name, e.Description)
		}
		return ExitOK
	}
	records, failed := runAll(selected, g.Seed, stderr)
	writeTable(stdout, records)
	if g.JSON != "" {
		if err := writeJSON(g.JSON, records); err != nil {
			fmt.Fprintln(stderr, err)
			return ExitFailed
		}
	}
	if failed {
		return ExitFailed
	}
	return ExitOK
}

// selectExperiments returns the experiments with the given names, or all if no name is given.
func selectExperiments(all []rockexperiment.Experiment, names []string) ([]rockexperiment.Experiment, error) {
	if len(names) == 0 {
		return all, nil
	}
	var selected []rockexperiment.Experiment
	for _, name := range names {
		i := slices.IndexFunc(all, func(e rockexperiment.Experiment) bool { return e.Name == name })
		if i < 0 {
			return nil, eris.Errorf("no experiment is called %q; --list shows all", name)
		}
		selected = append(selected, all[i])
	}
	return selected, nil
}

// runAll runs each experiment with each seed in turn. It returns the records and reports whether a run
// failed.
func runAll(selected []rockexperiment.Experiment, seeds []uint64, stderr io.Writer) ([]rockexperiment.Record, bool) {
	records := []rockexperiment.Record{}
	failed := false
	for _, e := range selected {
		for _, seed := range seeds {
			got, err := e.Run(seed)
			if err != nil {
				failed = true
				fmt.Fprintf(stderr, "%s, seed %d: %v\n", e.Name, seed, err)
			}
			records = append(records, got...)
		}
	}
	return records, failed
}

func writeTable(out io.Writer, records []rockexperiment.Record) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "experiment\tseed\tmeasure\tpolicy\tbaseline\ttarget\tmet")
	for _, r := range records {
		baseline := strings.TrimSpace(r.Baseline)
		if baseline != "" {
			baseline += " " + formatValue(r.BaselineValue)
		}
		target, met := "", ""
		switch r.Relation {
		case rockexperiment.AtLeast:
			target = "≥ " + formatValue(r.Target)
		case rockexperiment.AtMost:
			target = "≤ " + formatValue(r.Target)
		}
		if target != "" {
			met = map[bool]string{true: "yes", false: "missed"}[r.Met]
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%s\n", r.Experiment, r.Seed, measureLabel(r), formatValue(r.PolicyValue), baseline, target, met)
	}
	t.Flush()
}

func measureLabel(r rockexperiment.Record) string {
	if r.Unit == "" {
		return r.Measure
	}
	return r.Measure + " (" + r.Unit + ")"
}

func formatValue(v float64) string {
	if v >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3f", v)
}

func writeJSON(name string, records []rockexperiment.Record) error {
	data, err := json.MarshalIndent(records, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode records")
	}
	return eris.Wrap(os.WriteFile(name, append(data, '\n'), 0o644), "write records")
}
