package rockdemo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/io/rockhttp"
	"sassafrasrock/io/rockload"
	"sassafrasrock/io/rockstandin"
)

// ErrNotWhole says that a request or call was not answered whole and right, or ran more than once.
var ErrNotWhole = eris.New("not every answer was whole and right")

// Demo is one demonstration.
type Demo struct {
	Plan      rockload.Plan
	Layers    int           // of the plan's model
	Control   string        // the stand-in's control address
	Kill      []string      // backend servers that are killed, one after the other
	KillAfter time.Duration // after the start, and between two kills
	KillFor   time.Duration
	Calls     int // application calls, each sent twice with one key
}

// Run runs the demonstration, prints its outcomes and returns ErrNotWhole if an answer was missing or wrong.
func (d *Demo) Run(ctx context.Context, stdout io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var parts sync.WaitGroup
	var killErr, callErr error
	parts.Go(func() { killErr = d.killServers(ctx) })
	calls := &caller{plan: d.Plan, control: d.Control}
	parts.Go(func() { callErr = calls.run(ctx, d.Calls) })
	generator := &rockload.Generator{Plan: d.Plan, Check: d.check}
	report, err := generator.Run(ctx)
	parts.Wait()
	for _, err := range []error{err, killErr, callErr} {
		if err != nil {
			return err
		}
	}
	if err := report.WriteTable(stdout); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "\napplication calls: %d keys sent twice, %d answered whole, %d ran once\n", d.Calls, calls.whole, calls.once)
	total := report.Total()
	if total.Answered != total.Sent || calls.whole != 2*d.Calls || calls.once != d.Calls {
		return ErrNotWhole
	}
	return nil
}

// check compares an answer with that of an undisturbed run.
func (d *Demo) check(s rockload.Share, prompt, answer string) error {
	text := rockhttp.Prompt([]rockhttp.ChatMessage{{Role: "user", Content: prompt}})
	want := strings.Join(rockstandin.Expected(d.Plan.Model, d.Layers, text, s.MaxTokens), "")
	if answer != want {
		return eris.Errorf("the answer to %q differs: got %q, want %q", prompt, answer, want)
	}
	return nil
}

func (d *Demo) killServers(ctx context.Context) error {
	for _, name := range d.Kill {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(d.KillAfter):
		}
		fault := rockstandin.Fault{Target: name, Kind: rockstandin.FaultKill, ForMs: int(d.KillFor.Milliseconds())}
		if err := postJSON(ctx, "http://"+d.Control+"/v1/faults", fault); err != nil {
			return eris.Wrapf(err, "killing %s", name)
		}
	}
	return nil
}
