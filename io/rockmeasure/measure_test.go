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

// small is a size at which every experiment runs within seconds; its values mean nothing.
var small = Size{Fleet: 0.05}

// Guards against experiments that end early, or whose records lack a value, a baseline's name or a target.
func TestRecordsAreComplete(t *testing.T) {
	for _, e := range Experiments(small) {
		t.Run(e.Name, func(t *testing.T) {
			t.Parallel()
			records, err := e.Run(1)
			if err != nil || len(records) == 0 {
				t.Fatalf("%d records, error %v", len(records), err)
			}
			for _, r := range records {
				if r.Experiment != e.Name || r.Seed != 1 || r.Measure == "" {
					t.Errorf("incomplete record %+v", r)
				}
				for _, v := range []float64{r.Policy, r.BaselineValue, r.Target} {
					if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
						t.Errorf("value %v in %+v", v, r)
					}
				}
				if r.Judge() != r {
					t.Errorf("record was not judged: %+v", r)
				}
			}
		})
	}
}

// Guards against a bound that counts a range twice or ignores the narrowest range.
func TestMaxFlow(t *testing.T) {
	edges := []flowEdge{{0, 3, 10}, {0, 6, 4}, {3, 6, 5}, {6, 9, 20}}
	if got := maxFlow(edges, 9); got != 9 {
		t.Errorf("flow %v, want 9", got)
	}
}

// Guards against a missed target that changes the exit code, and against one that leaves the table or the file.
func TestMissedTargetStaysInTable(t *testing.T) {
	missed := rockexperiment.Record{Experiment: "e", Seed: 4, Measure: "m", Policy: 0.5, Relation: rockexperiment.AtLeast, Target: 0.9}
	all := []rockexperiment.Experiment{{Name: "e", Run: func(uint64) ([]rockexperiment.Record, error) {
		return []rockexperiment.Record{missed}, nil
	}}}
	file := filepath.Join(t.TempDir(), "records.json")
	var out, errs bytes.Buffer
	if code := run(all, []string{"e", "--seed", "4", "--json", file}, &out, &errs); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, errs.String())
	}
	if !strings.Contains(out.String(), "missed") {
		t.Errorf("table without the missed target:\n%s", out.String())
	}
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var records []rockexperiment.Record
	if err := json.Unmarshal(data, &records); err != nil || len(records) != 1 || records[0] != missed {
		t.Errorf("file holds %s (%v)", data, err)
	}
	if code := run(all, []string{"f"}, &out, &errs); code != ExitUsage {
		t.Errorf("exit code %d for an unknown experiment, want %d", code, ExitUsage)
	}
}
