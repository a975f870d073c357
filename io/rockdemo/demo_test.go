package rockdemo

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"slices"
	"testing"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockload"
	"sassafrasrock/io/rocksettings"
	"sassafrasrock/io/rockstandin"
)

// load decodes an example file.
func load[T any](t *testing.T, name string) T {
	t.Helper()
	data, err := os.ReadFile("../../examples/" + name)
	if err != nil {
		t.Fatal(err)
	}
	v, err := rocksettings.Decode[T](data)
	if err != nil {
		t.Fatalf("%s:\n%v", name, err)
	}
	return v
}

// Guards against example files that do not match each other: the configuration or the stand-in's settings
// would lack tokens, ranks, models or backend servers that the load plan or the configuration names.
func TestExampleFilesMatch(t *testing.T) {
	cfg := load[rocktable.Configuration](t, "demo/configuration.json")
	plan := load[rockload.Plan](t, "demo/load.json")
	standin := load[rockstandin.Settings](t, "sassafrasrock-standin.json")
	for _, s := range plan.Mix {
		digest := sha256.Sum256([]byte(s.Token))
		known := func(c rocktable.CallerConfig) bool {
			return c.Name == s.Caller && c.TokenSHA256 == hex.EncodeToString(digest[:])
		}
		if !slices.ContainsFunc(cfg.Callers, known) {
			t.Errorf("the configuration lacks caller %s with the plan's token", s.Caller)
		}
		if !slices.ContainsFunc(cfg.Ranks, func(r rocktable.RankConfig) bool { return r.Name == s.Rank }) {
			t.Errorf("the configuration lacks rank %s", s.Rank)
		}
	}
	if cfg.Pipelines[0].Model != plan.Model || standin.Engines[0].Model != plan.Model {
		t.Errorf("model names differ: load plan %s, configuration %s, stand-in %s", plan.Model, cfg.Pipelines[0].Model, standin.Engines[0].Model)
	}
	for _, name := range cfg.Services[0].Servers {
		if !slices.ContainsFunc(standin.Applications, func(a rockstandin.ApplicationSettings) bool { return a.Name == name }) {
			t.Errorf("the stand-in lacks application server %s", name)
		}
	}
}
