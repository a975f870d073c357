package rockload

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The histograms hold values from 10 µs to 10 min, in microseconds. A value outside of this range is
	// recorded as the nearest bound.
	minMicros         = 10
	maxMicros         = 10 * 60 * 1000 * 1000
	significantDigits = 3
	// maxErrorTexts bounds the distinct error texts of a report. Further errors are counted as "other".
	maxErrorTexts = 20
)

// Report holds the counts and latencies of a run, by rank and caller.
type Report struct {
	Elapsed    time.Duration
	Rows       []*Row         // in the order of Plan.Mix, merged by rank and caller
	Refused    map[string]int // number of refusals by code
	Errors     map[string]int // number of failures and failed checks by error text
	rowIndexes []int          // index in Rows for each share
}

// Row counts the requests of one caller in one rank.
type Row struct {
	Rank         string
	Caller       string
	Sent         int                     // scheduled requests: the sum of Answered, Refused, Failed, Wrong and Dropped
	Answered     int                     // complete answers that passed Generator.Check
	WithinTarget int                     // of Answered: within the rank's target, as reported by the answer
	Refused      int                     // refused without being run
	Failed       int                     // neither answered completely nor refused
	Wrong        int                     // complete answers that failed Generator.Check
	Dropped      int                     // not sent because Plan.MaxInFlight requests were in flight
	Tokens       int                     // tokens of the answers counted in Answered
	FirstToken   *hdrhistogram.Histogram // time from the scheduled send to the first token, in µs
	Gap          *hdrhistogram.Histogram // time between successive tokens, in µs
}

func newRow(rank, caller string) *Row {
	return &Row{
		Rank:       rank,
		Caller:     caller,
		FirstToken: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		Gap:        hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
}

func newReport(plan Plan) *Report {
	r := &Report{Refused: make(map[string]int), Errors: make(map[string]int)}
	type key struct{ rank, caller string }
	index := make(map[key]int)
	for _, s := range plan.Mix {
		k := key{s.Rank, s.Caller}
		if _, ok := index[k]; !ok {
			index[k] = len(r.Rows)
			r.Rows = append(r.Rows, newRow(s.Rank, s.Caller))
		}
		r.rowIndexes = append(r.rowIndexes, index[k])
	}
	return r
}

func (r *Report) row(share int) *Row { return r.Rows[r.rowIndexes[share]] }

func (r *Report) add(result Result) {
	row := r.row(result.Share)
	switch {
	case result.RefusalCode != "":
		row.Refused++
		r.Refused[result.RefusalCode]++
		return
	case result.Err != nil:
		row.Failed++
		r.addError(result.Err)
		return
	case result.CheckErr != nil:
		row.Wrong++
		r.addError(result.CheckErr)
		return
	}
	row.Answered++
	row.Tokens += result.Tokens
	if result.WithinTarget {
		row.WithinTarget++
	}
	if result.Tokens > 0 {
		record(row.FirstToken, result.FirstTokenDelay)
	}
	for _, gap := range result.Gaps {
		record(row.Gap, gap)
	}
}

func (r *Report) addError(err error) {
	text := err.Error()
	if _, known := r.Errors[text]; !known && len(r.Errors) >= maxErrorTexts {
		text = "other"
	}
	r.Errors[text]++
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for a value out of range, and the value is clamped.
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// total returns the sums of the counts of all rows, without histograms.
func (r *Report) total() Row {
	var t Row
	for _, row := range r.Rows {
		t.Sent += row.Sent
		t.Answered += row.Answered
		t.WithinTarget += row.WithinTarget
		t.Refused += row.Refused
		t.Failed += row.Failed
		t.Wrong += row.Wrong
		t.Dropped += row.Dropped
		t.Tokens += row.Tokens
	}
	return t
}

// Total returns the sums of the counts of all rows, with their histograms merged.
func (r *Report) Total() Row {
	t := r.total()
	sum := newRow("all", "all")
	for _, row := range r.Rows {
		sum.FirstToken.Merge(row.FirstToken)
		sum.Gap.Merge(row.Gap)
	}
	t.Rank, t.Caller, t.FirstToken, t.Gap = sum.Rank, sum.Caller, sum.FirstToken, sum.Gap
	return t
}

// WriteTable writes the report as a table, with latencies in milliseconds.
func (r *Report) WriteTable(w io.Writer) error {
	total := r.Total()
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "rank\tcaller\tsent\tanswered\tkept\trefused\tfailed\twrong\tdropped\ttokens\tfirst p50\tp95\tp99\tgap p50\tp95\tp99\t")
	for _, row := range append(slices.Clone(r.Rows), &total) {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", row.Rank, row.Caller,
			row.Sent, row.Answered, row.WithinTarget, row.Refused, row.Failed, row.Wrong, row.Dropped, row.Tokens)
		for _, h := range []*hdrhistogram.Histogram{row.FirstToken, row.Gap} {
			q := quantilesOf(h)
			fmt.Fprintf(t, "%.1f\t%.1f\t%.1f\t", q.P50, q.P95, q.P99)
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "%.1f s, %.1f answers/s, %.1f tokens/s; latencies in ms\n", r.Elapsed.Seconds(), r.perSecond(total.Answered), r.perSecond(total.Tokens))
	writeCounts(w, "refused", r.Refused)
	writeCounts(w, "error", r.Errors)
	return nil
}

func writeCounts(w io.Writer, what string, counts map[string]int) {
	for _, text := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "%s: %d × %s\n", what, counts[text], text)
	}
}

func (r *Report) perSecond(n int) float64 {
	if r.Elapsed <= 0 {
		return 0
	}
	return float64(n) / r.Elapsed.Seconds()
}

// Quantiles holds the number of latencies in a histogram and their quantiles in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P95   float64 `json:"p95Ms"`
	P99   float64 `json:"p99Ms"`
	Max   float64 `json:"maxMs"`
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	if h.TotalCount() == 0 {
		// Max of an empty histogram does not return 0.
		return Quantiles{}
	}
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return Quantiles{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtQuantile(50)),
		P95:   ms(h.ValueAtQuantile(95)),
		P99:   ms(h.ValueAtQuantile(99)),
		Max:   ms(h.Max()),
	}
}

type rowJSON struct {
	Rank       string    `json:"rank"`
	Caller     string    `json:"caller"`
	Sent       int       `json:"sent"`
	Answered   int       `json:"answered"`
	Kept       int       `json:"kept"`
	Refused    int       `json:"refused"`
	Failed     int       `json:"failed"`
	Wrong      int       `json:"wrong"`
	Dropped    int       `json:"dropped"`
	Tokens     int       `json:"tokens"`
	FirstToken Quantiles `json:"firstToken"`
	Gap        Quantiles `json:"gap"`
}

func newRowJSON(row *Row) rowJSON {
	return rowJSON{
		Rank: row.Rank, Caller: row.Caller, Sent: row.Sent, Answered: row.Answered, Kept: row.WithinTarget,
		Refused: row.Refused, Failed: row.Failed, Wrong: row.Wrong, Dropped: row.Dropped, Tokens: row.Tokens,
		FirstToken: quantilesOf(row.FirstToken), Gap: quantilesOf(row.Gap),
	}
}

// MarshalJSON encodes the report with quantiles in place of the histograms.
func (r *Report) MarshalJSON() ([]byte, error) {
	total := r.Total()
	rows := make([]rowJSON, len(r.Rows))
	for i, row := range r.Rows {
		rows[i] = newRowJSON(row)
	}
	return json.Marshal(struct {
		ElapsedMs int64          `json:"elapsedMs"`
		Total     rowJSON        `json:"total"`
		Rows      []rowJSON      `json:"rows"`
		Refused   map[string]int `json:"refusedByCode"`
		Errors    map[string]int `json:"errors"`
	}{r.Elapsed.Milliseconds(), newRowJSON(&total), rows, r.Refused, r.Errors})
}
