package rockcommand

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/io/rockload"
	"sassafrasrock/io/rocksettings"
)

type loadCommand struct {
	Plan     string        `arg:"" help:"Load plan: JSON with comments (targets, model, ratePerSecond, count, durationMs, seed, mix)."`
	Target   []string      `placeholder:"ADDRESS" help:"Callers' address in place of the plan's; may be given several times."`
	Rate     float64       `help:"Requests per second in place of the plan's."`
	Count    int           `help:"Number of requests in place of the plan's."`
	Duration time.Duration `help:"Duration of the arrivals in place of the plan's."`
	Seed     uint64        `help:"Seed in place of the plan's."`
	JSON     bool          `name:"json" help:"The same as --output json."`
}

// Run sends the load that the plan and flags describe, and prints the report.
func (c *loadCommand) Run(inv *invocation) error {
	if c.JSON {
		inv.flags.Output = "json"
	}
	data, err := inv.ReadFile(c.Plan)
	if err != nil {
		return eris.Wrap(err, "read load plan")
	}
	plan, err := rocksettings.Decode[rockload.Plan](data)
	if err != nil {
		return inv.reportProblems(c.Plan, loadKind.Name, err)
	}
	c.overridePlan(&plan)
	generator := &rockload.Generator{Plan: plan}
	if inv.IsTerminal(inv.stderr) {
		generator.Progress = inv.stderr
	}
	report, err := inv.RunLoad(inv.ctx, generator)
	if errors.Is(err, rockload.ErrPlan) {
		return &exitError{code: ExitInvalid, err: err}
	}
	if err != nil {
		return err
	}
	if inv.isJSON() {
		return writeJSON(inv.stdout, report)
	}
	return report.WriteTable(inv.stdout)
}

// overridePlan replaces values of the plan by the flags that are given.
func (c *loadCommand) overridePlan(plan *rockload.Plan) {
	if len(c.Target) > 0 {
		plan.Targets = c.Target
	}
	if c.Rate != 0 {
		plan.RatePerSecond = c.Rate
	}
	if c.Count != 0 {
		plan.Count = c.Count
	}
	if c.Duration != 0 {
		plan.DurationMs = int(c.Duration.Milliseconds())
	}
	if c.Seed != 0 {
		plan.Seed = c.Seed
	}
}
