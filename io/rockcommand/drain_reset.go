package rockcommand

import (
	"context"
	"fmt"
	"io"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"sassafrasrock/io/rockoperator"
	"sassafrasrock/io/rockschema"
	v1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

type drainCommand struct {
	Name string `arg:"" help:"Name of the backend server."`
	Lift bool   `help:"Let it get new work again."`
}

type drainResult struct {
	Name     string `json:"name"`
	Drained  bool   `json:"drained"`
	Recorded bool   `json:"recorded"`
	Version  uint64 `json:"version"`
}

// Run drains a backend server, or lifts its drain.
func (c *drainCommand) Run(inv *invocation) error {
	answer, err := callFirst(inv, func(ctx context.Context, client *rockoperator.Client) (*v1.DrainBackendServerResponse, error) {
		return client.DrainBackendServer(ctx, &v1.DrainBackendServerRequest{Name: c.Name, Lift: c.Lift})
	})
	if connect.CodeOf(err) == connect.CodeNotFound {
		return &exitError{code: ExitNotFound, err: err}
	}
	if err != nil {
		return err
	}
	result := drainResult{Name: c.Name, Drained: !c.Lift, Recorded: answer.GetRecorded(), Version: answer.GetVersion()}
	if err := inv.print(result, result.writeText); err != nil {
		return err
	}
	if !result.Recorded {
		return exitWith(ExitFailed, "in force, but not recorded in the configuration: it is lost when hosts restart; repeat the command")
	}
	return nil
}

func (r drainResult) writeText(w io.Writer) {
	change := "drained"
	if !r.Drained {
		change = "drain lifted"
	}
	if r.Recorded {
		fmt.Fprintf(w, "%s: %s, recorded in version %d\n", r.Name, change, r.Version)
		return
	}
	fmt.Fprintf(w, "%s: %s, not recorded\n", r.Name, change)
}

type resetCommand struct {
	Fingerprint string `arg:"" help:"Fingerprint of the request content, in hexadecimal."`
}

type resetResult struct {
	Fingerprint string   `json:"fingerprint"`
	Found       []string `json:"found"` // addresses of the hosts that had a suspect with the fingerprint
}

// Run lifts the quarantine at every host given. A host that has not yet received the suspect by gossip
// has nothing to reset, and so can't gossip the reset to the others.
func (c *resetCommand) Run(inv *invocation) error {
	if _, err := rockschema.ParseFingerprint(c.Fingerprint); err != nil {
		return exitWith(ExitUsage, "fingerprint: %q is not allowed; allowed: 1 to 16 hexadecimal digits", c.Fingerprint)
	}
	clients, err := inv.clients()
	if err != nil {
		return err
	}
	result := resetResult{Fingerprint: c.Fingerprint, Found: []string{}}
	var failed error
	for _, client := range clients {
		answer, err := client.ResetQuarantine(inv.ctx, &v1.ResetQuarantineRequest{Fingerprint: c.Fingerprint})
		if err != nil {
			failed = eris.Wrap(err, client.Address)
			continue
		}
		if answer.GetFound() {
			result.Found = append(result.Found, client.Address)
		}
	}
	if err := inv.print(result, result.writeText); err != nil {
		return err
	}
	if failed == nil && len(result.Found) == 0 {
		return exitWith(ExitNotFound, "no server has a suspect with fingerprint %s", c.Fingerprint)
	}
	return failed
}

func (r resetResult) writeText(w io.Writer) {
	for _, address := range r.Found {
		fmt.Fprintf(w, "%s: reset at %s\n", r.Fingerprint, address)
	}
}
