package rockcommand_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/sebdah/goldie/v2"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockcommand"
	"sassafrasrock/io/rockload"
	"sassafrasrock/io/rockoperator"
	"sassafrasrock/io/rockschema"
	v1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

const (
	newConfiguration = `{
  // captions gets two more layers
  "pipelines": [{"name": "captions", "model": "m", "version": "2", "layers": 11}],
  "ranks": [
    {"name": "urgent", "firstTokenMs": 730, "gapMs": 28, "worth": 10, "floor": 0.1},
    {"name": "ordinary", "firstTokenMs": 4000, "gapMs": 100, "worth": 3, "floor": 0.1}
  ],
  "callers": [{"name": "guild", "tokenSha256": "` + hash + `"}],
  "services": []
}`
	invalidConfiguration = `{
  "pipelines": [],
  "ranks": [
    {"name": "urgent", "firstTokenMs": 730, "gapMs": 28, "worth": 10, "floor": 0.1},
    {"name": "ordinary", "firstTokenMs": 4000,
     "gapMs": 0, "worth": 3, "floor": 0.9}
  ],
  "callers": [{"name": "guild", "tokenSha256": "ab"}],
  "services": []
}`
	plan = `{
  "targets": ["a"], "model": "m", "ratePerSecond": 5, "count": 4,
  "mix": [{"caller": "guild", "token": "t", "rank": "urgent", "maxTokens": 5, "prompts": ["x"]}]
}`
	hash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
)

// fakeHosts simulates three hosts that share one configuration. A change is accepted by compare-and-set
// on the version. It reaches the first host at once, and one more host with each status request.
type fakeHosts struct {
	version          uint64
	cfg              rocktable.Configuration
	lagging          int  // number of hosts that lack the latest version
	concurrentChange bool // another change is accepted before each put
	lagPersists      bool // lagging hosts never receive the version
	now              time.Time
	files            map[string]string
}

func newFakeHosts() *fakeHosts {
	return &fakeHosts{
		version: 7,
		cfg: rocktable.Configuration{
			Pipelines: []rocktable.PipelineConfig{{Name: "captions", Model: "m", Version: "1", Layers: 9}},
			Ranks:     []rocktable.RankConfig{{Name: "urgent", FirstTokenMs: 730, GapMs: 28, Worth: 10, Floor: 0.1}},
			Drained:   []string{"runner-2"},
		},
		now:   time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		files: map[string]string{"new.json": newConfiguration, "bad.json": invalidConfiguration},
	}
}

func (f *fakeHosts) putConfiguration(_ context.Context, r *v1.PutConfigurationRequest) (*v1.PutConfigurationResponse, error) {
	if f.concurrentChange {
		f.version++
	}
	if r.GetExpectedVersion() != f.version {
		return &v1.PutConfigurationResponse{Version: f.version, Reason: "configConflict"}, nil
	}
	f.version++
	f.cfg = rockschema.ConfigurationFromProto(r.GetConfiguration())
	f.lagging = 2
	return &v1.PutConfigurationResponse{Accepted: true, Version: f.version}, nil
}

func (f *fakeHosts) getStatus(context.Context) (*v1.GetStatusResponse, error) {
	s := &rocktable.Status{
		Host: "entry-0", Ready: true, ConfigVersion: f.version, Config: f.cfg,
		DataCentres: map[rocktable.DataCentreID]rocktable.DataCentre{1: {Name: "ga-west-a"}},
		Servers: []rocktable.BackendServer{{
			Name: "runner-1", DataCentre: 1, State: rocktable.StateLive, InFlight: 2, ConcurrencyLimit: 3,
			Status: rocktable.EngineStatus{Kind: "k", Model: "m", Version: "1", LastLayer: 3, Slots: 4},
		}},
		Suspects: []rocktable.Suspect{{Fingerprint: 0xab, Crashes: []uint64{1, 2}, Quarantined: true, ExpiresAt: f.now.Add(time.Minute)}},
		Counters: map[rockreason.Code]uint64{"queueFull": 3},
	}
	for i := range 3 {
		version := f.version
		if i > 2-f.lagging {
			version--
		}
		s.Hosts = append(s.Hosts, rocktable.Host{
			Name: fmt.Sprintf("entry-%d", i), State: rocktable.StateLive, Self: i == 0, DataCentre: 1, HeartbeatAt: f.now, ConfigVersion: version,
		})
	}
	if f.lagging > 0 && !f.lagPersists {
		f.lagging--
	}
	return rockschema.StatusToProto(f.now, s), nil
}

func (f *fakeHosts) drainBackendServer(_ context.Context, r *v1.DrainBackendServerRequest) (*v1.DrainBackendServerResponse, error) {
	if r.GetName() != "runner-1" {
		return nil, connect.NewError(connect.CodeNotFound, eris.New("no such backend server"))
	}
	return &v1.DrainBackendServerResponse{Recorded: !r.GetLift(), Version: 8}, nil
}

func (f *fakeHosts) dial(address string, _ rockoperator.ClientSettings) *rockoperator.Client {
	client := &rockoperator.Client{
		Address: address,
		GetConfiguration: func(context.Context) (*v1.GetConfigurationResponse, error) {
			return &v1.GetConfigurationResponse{Version: f.version, Configuration: rockschema.ConfigurationToProto(f.cfg)}, nil
		},
		PutConfiguration:   f.putConfiguration,
		GetStatus:          f.getStatus,
		DrainBackendServer: f.drainBackendServer,
		ResetQuarantine: func(_ context.Context, r *v1.ResetQuarantineRequest) (*v1.ResetQuarantineResponse, error) {
			return &v1.ResetQuarantineResponse{Found: r.GetFingerprint() == "ab"}, nil
		},
		GetOutcomes: func(context.Context) (*v1.GetOutcomesResponse, error) {
			// The addresses a and same-as-a belong to one host.
			return &v1.GetOutcomesResponse{Host: strings.TrimPrefix(address, "same-as-"), Totals: []*v1.Total{
				{Caller: "guild", Rank: "urgent", Answered: 5, Kept: 4, Tokens: 50}, {Caller: "archive", Rank: "background", Refused: 1},
			}}, nil
		},
	}
	if address == "down" {
		client.GetConfiguration = func(context.Context) (*v1.GetConfigurationResponse, error) { return nil, errDown }
		client.GetStatus = func(context.Context) (*v1.GetStatusResponse, error) { return nil, errDown }
		client.PutConfiguration = func(context.Context, *v1.PutConfigurationRequest) (*v1.PutConfigurationResponse, error) {
			return nil, errDown
		}
		client.GetOutcomes = func(context.Context) (*v1.GetOutcomesResponse, error) { return nil, errDown }
	}
	return client
}

var errDown = connect.NewError(connect.CodeUnavailable, eris.New("connection refused"))

func (f *fakeHosts) newCommand() *rockcommand.Command {
	c := rockcommand.New()
	c.Dial = f.dial
	c.ReadFile = func(name string) ([]byte, error) {
		if text, ok := f.files[name]; ok {
			return []byte(text), nil
		}
		return nil, os.ErrNotExist
	}
	c.Now = func() time.Time { return f.now }
	c.Sleep = func(_ context.Context, d time.Duration) error {
		f.now = f.now.Add(d)
		return nil
	}
	c.NewChangeID = func() string { return "change-1" }
	c.RunLoad = func(_ context.Context, g *rockload.Generator) (*rockload.Report, error) {
		return &rockload.Report{Refused: map[string]int{"queueFull": g.Plan.Count}}, nil
	}
	return c
}

// Guards against unintended changes of exit codes, on which scripts depend, and of the output.
func TestCommands(t *testing.T) {
	t.Setenv("COLUMNS", "80")
	for _, c := range []struct {
		golden string
		args   string
		exit   int
		setup  func(f *fakeHosts)
	}{
		{"help", "--help", rockcommand.ExitOK, nil},
		{"misspelt", "statsu", rockcommand.ExitUsage, nil},
		{"noServer", "get", rockcommand.ExitUsage, nil},
		{"apply", "apply new.json -s down -s a", rockcommand.ExitOK, nil},
		{"applyJSON", "apply new.json -s a -o json", rockcommand.ExitOK, nil},
		{"applyDryRun", "apply new.json -s a --dry-run", rockcommand.ExitOK, nil},
		{"applyConflict", "apply new.json -s a", rockcommand.ExitConflict, func(f *fakeHosts) { f.concurrentChange = true }},
		{"applyNotInForce", "apply new.json -s a --wait 3s", rockcommand.ExitNotActive, func(f *fakeHosts) { f.lagPersists = true }},
		{"applyInvalid", "apply bad.json -s a", rockcommand.ExitInvalid, nil},
		{"applyDown", "apply new.json -s down", rockcommand.ExitFailed, nil},
		{"get", "get -s a", rockcommand.ExitOK, nil},
		{"status", "status -s down -s a", rockcommand.ExitOK, nil},
		{"statusJSON", "status -s a -o json", rockcommand.ExitOK, nil},
		{"check", "check new.json", rockcommand.ExitOK, nil},
		{"checkBad", "check bad.json", rockcommand.ExitInvalid, nil},
		{"checkBadJSON", "check bad.json -o json", rockcommand.ExitInvalid, nil},
		{"checkKind", "check new.json --kind comand", rockcommand.ExitUsage, nil},
		{"checkDaemon", "check daemon.json", rockcommand.ExitInvalid, func(f *fakeHosts) {
			f.files["daemon.json"] = "{\n  \"callersAddress\": \"x\",\n  \"logLevel\": \"loud\",\n  \"hots\": 1\n}"
		}},
		{"checkSyntax", "check new.json", rockcommand.ExitInvalid, func(f *fakeHosts) { f.files["new.json"] = "{\n\"ranks\": [}" }},
		{"settings", "get --settings command.json", rockcommand.ExitOK, func(f *fakeHosts) {
			f.files["command.json"] = `{"operators": ["127.0.0.1:1"], "token": "secret"}`
		}},
		{"settingsBad", "get --settings command.json", rockcommand.ExitInvalid, func(f *fakeHosts) {
			f.files["command.json"] = `{"operators": ["127.0.0.1:1"], "certFile": "x"}`
		}},
		{"plainToken", "get -s 192.0.2.1:1 --token-file token", rockcommand.ExitUsage, func(f *fakeHosts) { f.files["token"] = "secret" }},
		{"drain", "drain runner-1 -s a", rockcommand.ExitOK, nil},
		{"drainLiftUnrecorded", "drain runner-1 --lift -s a", rockcommand.ExitFailed, nil},
		{"drainUnknown", "drain runner-9 -s a", rockcommand.ExitNotFound, nil},
		{"reset", "reset ab -s a", rockcommand.ExitOK, nil},
		{"resetUnknown", "reset ac -s a -o json", rockcommand.ExitNotFound, nil},
		{"explain", "explain queueFull", rockcommand.ExitOK, nil},
		{"explainAll", "explain", rockcommand.ExitOK, nil},
		{"explainMisspelt", "explain queuFul", rockcommand.ExitNotFound, nil},
		{"outcomes", "outcomes -s a -s same-as-a,b", rockcommand.ExitOK, nil},
		{"outcomesPartial", "outcomes -s a -s down", rockcommand.ExitFailed, nil},
		{"load", "load plan.json --count 9", rockcommand.ExitOK, func(f *fakeHosts) { f.files["plan.json"] = plan }},
		{"loadJSON", "load plan.json --json", rockcommand.ExitOK, func(f *fakeHosts) { f.files["plan.json"] = plan }},
	} {
		t.Run(c.golden, func(t *testing.T) {
			f := newFakeHosts()
			if c.setup != nil {
				c.setup(f)
			}
			var stdout, stderr bytes.Buffer
			exit := f.newCommand().Run(t.Context(), strings.Fields(c.args), &stdout, &stderr)
			if exit != c.exit {
				t.Errorf("got exit code %d, want %d", exit, c.exit)
			}
			goldie.New(t).Assert(t, c.golden, fmt.Appendf(nil, "$ sassafrasrock %s\n%s--- stderr, exit %d\n%s", c.args, &stdout, exit, &stderr))
		})
	}
}

// Guards against get printing a configuration that apply rejects, or that differs from the active one.
func TestGetRoundTrip(t *testing.T) {
	f := newFakeHosts()
	var file, diff bytes.Buffer
	c := f.newCommand()
	c.Run(t.Context(), []string{"get", "-s", "a"}, &file, &file)
	f.files["got.json"] = file.String()
	exit := c.Run(t.Context(), []string{"apply", "got.json", "-s", "a"}, &diff, &diff)
	if exit != rockcommand.ExitOK || f.version != 7 || !strings.HasPrefix(diff.String(), "0 differences") {
		t.Errorf("got exit code %d, version %d, output %q; want exit code 0, version 7, no differences", exit, f.version, &diff)
	}
}
