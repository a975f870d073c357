package rockload_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sebdah/goldie/v2"

	"sassafrasrock/io/rockload"
)

func histogram(t *testing.T, millis ...int64) *hdrhistogram.Histogram {
	t.Helper()
	h := hdrhistogram.New(10, 600_000_000, 3)
	for _, ms := range millis {
		if err := h.RecordValue(ms * 1000); err != nil {
			t.Fatal(err)
		}
	}
	return h
}

// Guards against wrong sums and units in the table and in the JSON of a report.
func TestReport(t *testing.T) {
	report := &rockload.Report{
		Elapsed: 2 * time.Second,
		Rows: []*rockload.Row{
			{Rank: "urgent", Caller: "guild", Sent: 4, Answered: 3, WithinTarget: 2, Wrong: 1, Tokens: 9, FirstToken: histogram(t, 100, 200, 300), Gap: histogram(t, 20, 20, 30)},
			{Rank: "background", Caller: "archive", Sent: 3, Refused: 1, Failed: 1, Dropped: 1, FirstToken: histogram(t), Gap: histogram(t)},
		},
		Refused: map[string]int{"queueFull": 1},
		Errors:  map[string]int{"status 502, code \"stalled\"": 1},
	}
	var table bytes.Buffer
	if err := report.WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "table", table.Bytes())
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "report", data)
}
