package rockcommand

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockoperator"
	"sassafrasrock/io/rockschema"
	"sassafrasrock/io/rocksettings"
	v1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

// pollInterval is the pause between two checks of whether a version is active on all live hosts.
const pollInterval = 500 * time.Millisecond

type applyCommand struct {
	File     string        `arg:"" help:"Configuration file: JSON with comments."`
	DryRun   bool          `help:"Show the changes and write nothing."`
	Wait     time.Duration `default:"30s" help:"How long to wait until all live hosts have the version; 0 to return at once."`
	ChangeID string        `placeholder:"ID" help:"Id of the change, to repeat an earlier one whose result is not known; new if not given."`
}

type applyResult struct {
	ChangeID        string          `json:"changeId,omitempty"`
	PreviousVersion uint64          `json:"previousVersion"`
	Version         uint64          `json:"version"`
	Applied         bool            `json:"applied"`
	Changes         []Difference    `json:"changes"`
	Reason          string          `json:"reason,omitempty"`
	Errors          []problemResult `json:"errors,omitempty"`
	HostsInForce    int             `json:"hostsInForce"`
	HostsLacking    []string        `json:"hostsLacking,omitempty"`
}

// Run prints the differences between the active configuration and the file. Unless it is a dry run, it
// then applies the file and waits until all live hosts have the new version.
func (c *applyCommand) Run(inv *invocation) error {
	data, err := inv.ReadFile(c.File)
	if err != nil {
		return eris.Wrap(err, "read configuration file")
	}
	after, err := rocksettings.Decode[rocktable.Configuration](data)
	if err != nil {
		return inv.reportProblems(c.File, configurationKind.Name, err)
	}
	current, err := callFirst(inv, func(ctx context.Context, client *rockoperator.Client) (*v1.GetConfigurationResponse, error) {
		return client.GetConfiguration(ctx)
	})
	if err != nil {
		return err
	}
	before := rockschema.ConfigurationFromProto(current.GetConfiguration())
	if after.Drained == nil {
		// A file without the field keeps the drained list. Otherwise applying a file would lift an
		// operator's drain by accident.
		after.Drained = before.Drained
	}
	result := applyResult{PreviousVersion: current.GetVersion(), Version: current.GetVersion()}
	if result.Changes, err = diffConfigurations(before, after); err != nil {
		return err
	}
	if !inv.isJSON() {
		writeDifferences(inv.stdout, result.Changes)
	}
	if c.DryRun || len(result.Changes) == 0 {
		return inv.print(result, func(w io.Writer) {
			fmt.Fprintf(w, "%d differences to version %d; nothing written\n", len(result.Changes), result.Version)
		})
	}
	result.ChangeID = cmp.Or(c.ChangeID, inv.NewChangeID())
	err = c.putConfiguration(inv, &result, after)
	if err == nil && c.Wait > 0 {
		err = c.waitForHosts(inv, &result)
	}
	if printErr := inv.print(result, result.writeText); printErr != nil {
		return printErr
	}
	return err
}

// putConfiguration sends the new configuration. The host accepts it only if the active version is
// still the one that the differences were computed from.
func (c *applyCommand) putConfiguration(inv *invocation, result *applyResult, cfg rocktable.Configuration) error {
	answer, err := callFirst(inv, func(ctx context.Context, client *rockoperator.Client) (*v1.PutConfigurationResponse, error) {
		return client.PutConfiguration(ctx, &v1.PutConfigurationRequest{
			Configuration:   rockschema.ConfigurationToProto(cfg),
			ExpectedVersion: result.PreviousVersion,
			ChangeId:        result.ChangeID,
		})
	})
	if err != nil && !errors.Is(err, errNoAnswer) && inv.ctx.Err() == nil {
		return err
	}
	if err != nil {
		return eris.Wrapf(err, "result of change %s unknown: retry it with --change-id", result.ChangeID)
	}
	result.Version, result.Applied, result.Reason = answer.GetVersion(), answer.GetAccepted(), answer.GetReason()
	for _, e := range answer.GetErrors() {
		result.Errors = append(result.Errors, problemResult{Field: e.GetField(), Value: e.GetValue(), Allowed: e.GetAllowed()})
	}
	if answer.GetAccepted() {
		return nil
	}
	return rejectionError(rockreason.Code(answer.GetReason()), answer.GetVersion())
}

// rejectionError returns the error for a change that a host rejected with a reason code; version is
// the active version.
func rejectionError(code rockreason.Code, version uint64) error {
	reason, _ := rockreason.Find(code)
	text := strings.TrimSpace(fmt.Sprintf("%s: %s %s", code, reason.Text, reason.OperatorAction))
	switch code {
	case rockreason.ConfigConflict:
		return exitWith(ExitConflict, "%s (version %d is in force)", text, version)
	case rockreason.ConfigInvalid:
		return exitWith(ExitInvalid, "%s", text)
	}
	return exitWith(ExitFailed, "%s", text)
}

// waitForHosts polls until every live host has the version. When the time is over, it returns an
// error that names the hosts that lack it.
func (c *applyCommand) waitForHosts(inv *invocation, result *applyResult) error {
	deadline := inv.Now().Add(c.Wait)
	for {
		status, err := callFirst(inv, func(ctx context.Context, client *rockoperator.Client) (*v1.GetStatusResponse, error) {
			return client.GetStatus(ctx)
		})
		if err == nil {
			result.HostsInForce, result.HostsLacking = hostsAtVersion(status, result.Version)
			if len(result.HostsLacking) == 0 {
				return nil
			}
		}
		if !inv.Now().Before(deadline) {
			if err != nil {
				return &exitError{code: ExitNotActive, err: err}
			}
			return exitWith(ExitNotActive, "version %d is not in force on: %s", result.Version, strings.Join(result.HostsLacking, ", "))
		}
		if err := inv.Sleep(inv.ctx, pollInterval); err != nil {
			return &exitError{code: ExitNotActive, err: eris.Wrap(err, "wait interrupted")}
		}
	}
}

// hostsAtVersion returns the number of live hosts that have at least the version, and the names of
// those that lack it. It counts the rows of the hosts, because the status's own totals refer to the
// version of the host that answered, which can be older.
func hostsAtVersion(status *v1.GetStatusResponse, version uint64) (atVersion int, lacking []string) {
	for _, h := range status.GetHosts() {
		switch {
		case h.GetState() != rocktable.StateLive.String():
		case h.GetConfigVersion() >= version:
			atVersion++
		default:
			lacking = append(lacking, h.GetName())
		}
	}
	slices.Sort(lacking)
	return atVersion, lacking
}

func (r applyResult) writeText(w io.Writer) {
	if !r.Applied {
		for _, p := range r.Errors {
			fmt.Fprintf(w, "%s: %s is not allowed; allowed: %s\n", p.Field, p.Value, p.Allowed)
		}
		fmt.Fprintln(w, "not applied")
		return
	}
	fmt.Fprintf(w, "version %d accepted (change %s)\n", r.Version, r.ChangeID)
	if r.HostsInForce > 0 {
		fmt.Fprintf(w, "in force on %d live hosts\n", r.HostsInForce)
	}
	for _, name := range r.HostsLacking {
		fmt.Fprintf(w, "not in force on %s\n", name)
	}
}
