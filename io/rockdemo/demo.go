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

// ErrIncorrect is returned if a request or call has no complete and correct answer, or if a call was not
// executed exactly once.
var ErrIncorrect = eris.New("some answers are missing or incorrect, or some calls were not executed exactly once")

// Demo is one demonstration.
type Demo struct {
	Plan      rockload.Plan
	Layers    int           // number of layers of the plan's model
	Control   string        // control address of the stand-in
	Kill      []string      // backend servers to kill, one after the other
	KillAfter time.Duration // time before each kill, since the start or the previous kill
	KillFor   time.Duration // time until a killed backend server restarts
	Calls     int           // application calls, each sent twice with the same idempotency key
}

// Run runs the demonstration and prints its outcomes. It returns ErrIncorrect if an answer was missing or
// wrong, or if a call was not executed exactly once.
func (d *Demo) Run(ctx context.Context, stdout io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	var killErr, callErr error
	group.Go(func() { killErr = d.killServers(ctx) })
	sender := &callSender{plan: d.Plan, control: d.Control}
	group.Go(func() { callErr = sender.run(ctx, d.Calls) })
	generator := &rockload.Generator{Plan: d.Plan, Check: d.check}
	report, err := generator.Run(ctx)
	group.Wait()
	for _, err := range []error{err, killErr, callErr} {
		if err != nil {
			return err
		}
	}
	if err := report.WriteTable(stdout); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "\napplication calls: %d keys sent twice, %d answered whole, %d ran once\n", d.Calls, sender.matching, sender.ranOnce)
	total := report.Total()
	if total.Answered != total.Sent || sender.matching != 2*d.Calls || sender.ranOnce != d.Calls {
		return ErrIncorrect
	}
	return nil
}

// check compares an answer with that of a run without faults.
func (d *Demo) check(s rockload.Share, prompt, answer string) error {
	text := rockhttp.FormatPrompt([]rockhttp.ChatMessage{{Role: "user", Content: prompt}})
	want := strings.Join(rockstandin.ExpectedTexts(d.Plan.Model, d.Layers, text, s.MaxTokens), "")
	if answer != want {
		return eris.Errorf("incorrect answer to %q: got %q, want %q", prompt, answer, want)
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
			return eris.Wrapf(err, "kill backend server %s", name)
		}
	}
	return nil
}
