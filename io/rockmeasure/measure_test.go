package rockmeasure

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sassafrasrock/io/rockexperiment"
)

// small is a size at which every experiment runs within seconds. Its records are not meaningful as
// measurements.
var small = Size{DurationFactor: 0.05}

// Guards against experiments that fail, return no records, or return records with missing or invalid
// values.
func TestRecordsAreComplete(t *testing.T) {
	for _, e := range Experiments(small) {
		t.Run(e.Name, func(t *testing.T) {
			t.Parallel()
			records, err := e.Run(1)
			if err != nil || len(records) == 0 {
				t.Fatalf("got %d records and error %v, want records and no error", len(records), err)
			}
			for _, r := range records {
				if r.Experiment != e.Name || r.Seed != 1 || r.Measure == "" {
					t.Errorf("record with a wrong experiment or seed, or without a measure: %+v", r)
				}
				for _, v := range []float64{r.PolicyValue, r.BaselineValue, r.Target} {
					if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
						t.Errorf("got value %v in %+v, want a finite value of at least 0", v, r)
					}
				}
				if r.Evaluate() != r {
					t.Errorf("Met is not set as Evaluate sets it: %+v", r)
				}
			}
		})
	}
}

// Guards against a bound that counts a layer range twice or ignores the range with the least capacity.
func TestMaxFlow(t *testing.T) {
	edges := []flowEdge{{0, 3, 10}, {0, 6, 4}, {3, 6, 5}, {6, 9, 20}}
	if got := maxFlow(edges, 9); got != 9 {
		t.Errorf("got flow %v, want 9", got)
	}
}

// Guards against a missed target that changes the exit code, or that is left out of the table or the
// file.
func TestMissedTargetStaysInTable(t *testing.T) {
	missed := rockexperiment.Record{Experiment: "e", Seed: 4, Measure: "m", PolicyValue: 0.5, Relation: rockexperiment.AtLeast, Target: 0.9}
	all := []rockexperiment.Experiment{{Name: "e", Run: func(uint64) ([]rockexperiment.Record, error) {
		return []rockexperiment.Record{missed}, nil
	}}}
	file := filepath.Join(t.TempDir(), "records.json")
	var out, errs bytes.Buffer
	if code := run(all, []string{"e", "--seed", "4", "--json", file}, &out, &errs); code != ExitOK {
		t.Fatalf("got exit code %d, want 0: %s", code, errs.String())
	}
	if !strings.Contains(out.String(), "missed") {
		t.Errorf("table does not show the missed target:\n%s", out.String())
	}
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var records []rockexperiment.Record
	if err := json.Unmarshal(data, &records); err != nil || len(records) != 1 || records[0] != missed {
		t.Errorf("got file %s and error %v, want the one record that missed its target", data, err)
	}
	if code := run(all, []string{"f"}, &out, &errs); code != ExitUsage {
		t.Errorf("got exit code %d for an unknown experiment, want %d", code, ExitUsage)
	}
}
