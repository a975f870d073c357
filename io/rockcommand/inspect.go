package rockcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockoperator"
	"sassafrasrock/io/rockschema"
	v1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

type getCommand struct{}

type getResult struct {
	Version       uint64                  `json:"version"`
	Configuration rocktable.Configuration `json:"configuration"`
}

// Run prints the active configuration. Its text form is a file that the apply command accepts.
func (c *getCommand) Run(inv *invocation) error {
	answer, err := callFirst(inv, func(ctx context.Context, client *rockoperator.Client) (*v1.GetConfigurationResponse, error) {
		return client.GetConfiguration(ctx)
	})
	if err != nil {
		return err
	}
	result := getResult{Version: answer.GetVersion(), Configuration: withEmptyLists(rockschema.ConfigurationFromProto(answer.GetConfiguration()))}
	return inv.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "// version %d\n", result.Version)
		_ = writeJSON(w, result.Configuration)
	})
}

// withEmptyLists replaces nil lists by empty ones, which are encoded as [] instead of null.
func withEmptyLists(cfg rocktable.Configuration) rocktable.Configuration {
	cfg.Pipelines = append([]rocktable.PipelineConfig{}, cfg.Pipelines...)
	cfg.Ranks = append([]rocktable.RankConfig{}, cfg.Ranks...)
	cfg.Callers = append([]rocktable.CallerConfig{}, cfg.Callers...)
	cfg.Services = append([]rocktable.ServiceConfig{}, cfg.Services...)
	return cfg
}

type statusCommand struct{}

// Run prints the status of the first host that can be reached.
func (c *statusCommand) Run(inv *invocation) error {
	status, err := callFirst(inv, func(ctx context.Context, client *rockoperator.Client) (*v1.GetStatusResponse, error) {
		return client.GetStatus(ctx)
	})
	if err != nil {
		return err
	}
	if !inv.isJSON() {
		return writeStatus(inv.stdout, status)
	}
	data, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(status)
	if err != nil {
		return eris.Wrap(err, "encode status")
	}
	// protojson varies its spacing on purpose, so that nobody relies on it. Indent makes it stable.
	var indented bytes.Buffer
	if err := json.Indent(&indented, data, "", "  "); err != nil {
		return eris.Wrap(err, "encode status")
	}
	_, err = fmt.Fprintln(inv.stdout, indented.String())
	return err
}

func writeStatus(w io.Writer, s *v1.GetStatusResponse) error {
	fmt.Fprintf(w, "host %s: ready %v, draining %v, lease held %v, %d requests\n", s.GetHost(), s.GetReady(), s.GetDraining(), s.GetLeaseHeld(), s.GetRequests())
	fmt.Fprintf(w, "configuration version %d: in force on %d live hosts", s.GetConfigVersion(), s.GetHostsInForce())
	for i, name := range s.GetHostsLacking() {
		if i == 0 {
			fmt.Fprint(w, ", not on")
		}
		fmt.Fprint(w, " ", name)
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nHOST\tADDRESS\tDATA CENTRE\tSTATE\tVERSION\tSILENT")
	for _, h := range s.GetHosts() {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\n", h.GetName(), h.GetAddress(), h.GetDataCentre(), h.GetState(), h.GetConfigVersion(), formatSilence(h.GetSilentMs()))
	}
	fmt.Fprintln(t, "\nBACKEND SERVER\tADDRESS\tDATA CENTRE\tROLE\tKIND\tSTATE\tMODEL\tLAYERS\tIN FLIGHT\tSLOTS\tLIMIT")
	for _, b := range s.GetBackendServers() {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s %s\t%s\t%d\t%d\t%.1f\n", b.GetName(), b.GetAddress(), b.GetDataCentre(), b.GetRole(), b.GetKind(), b.GetState(),
			b.GetModel(), b.GetVersion(), layerRange(b), b.GetInFlight(), b.GetSlots(), b.GetLimit())
	}
	fmt.Fprintln(t, "\nPIPELINE\tMODEL\tLAYERS COVERED")
	for _, p := range s.GetPipelines() {
		fmt.Fprintf(t, "%s\t%s\t%d of %d\n", p.GetName(), p.GetModel(), p.GetLayersCovered(), p.GetLayers())
	}
	fmt.Fprintln(t, "\nSUSPECT\tCRASHES\tQUARANTINED\tEXPIRES IN")
	for _, row := range s.GetSuspects() {
		fmt.Fprintf(t, "%s\t%d\t%v\t%d s\n", row.GetFingerprint(), row.GetCrashes(), row.GetQuarantined(), row.GetExpiresMs()/1000)
	}
	fmt.Fprintln(t, "\nCOUNTER\tCOUNT")
	for _, c := range s.GetCounters() {
		fmt.Fprintf(t, "%s\t%d\n", c.GetCode(), c.GetCount())
	}
	return t.Flush()
}

// formatSilence formats the time since the last message from a host.
func formatSilence(ms int64) string {
	if ms == rockschema.NoHeartbeat {
		return "never heard"
	}
	return fmt.Sprintf("%d ms", ms)
}

// layerRange returns the layers that a backend server holds as "first-last", or an empty string if it
// holds none.
func layerRange(b *v1.BackendServerStatus) string {
	if b.GetLastLayer() < b.GetFirstLayer() || b.GetModel() == "" {
		return ""
	}
	return fmt.Sprintf("%d-%d", b.GetFirstLayer(), b.GetLastLayer())
}
