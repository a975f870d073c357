package rockload_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sassafrasrock/io/rockload"
	"sassafrasrock/io/rockstandin"
)

// serveChat stands in for a callers' address. The prompt selects the outcome of the request.
func serveChat(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var request struct {
		Messages []struct{ Content string }
	}
	if json.Unmarshal(body, &request) != nil || r.Header.Get("Authorization") != "Bearer t" {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	prompt := request.Messages[0].Content
	if prompt == "refuse" {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error": {"code": "queueFull", "ran": "notRun"}}`)
		return
	}
	for _, word := range strings.Fields(prompt) {
		fmt.Fprintf(w, "data: {\"choices\": [{\"delta\": {\"content\": %q}}]}\n\n", word)
	}
	if prompt == "cut off" {
		return
	}
	fmt.Fprint(w, "data: {\"choices\": [], \"outcome\": {\"kept\": true}}\n\ndata: [DONE]\n\n")
}

// Guards against an incomplete, refused or wrong answer that is counted as answered, and against a
// target that gets no requests.
func TestRunCountsEachOutcome(t *testing.T) {
	var received [2]atomic.Int64
	plan := rockload.Plan{RatePerSecond: 2000, Count: 200, Seed: 1, Mix: []rockload.Share{
		{Caller: "guild", Rank: "urgent", Token: "t", Prompts: []string{"three small words"}},
		{Caller: "other", Rank: "urgent", Token: "t", Prompts: []string{"refuse", "cut off", "wrong"}},
	}}
	for i := range received {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			received[i].Add(1)
			serveChat(w, r)
		}))
		defer s.Close()
		plan.Targets = append(plan.Targets, s.URL)
	}
	generator := &rockload.Generator{Plan: plan, Check: func(_ rockload.Share, prompt, answer string) error {
		if answer == "wrong" || answer != strings.ReplaceAll(prompt, " ", "") {
			return errors.New("not the prompt")
		}
		return nil
	}}
	report, err := generator.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	guild, other, total := report.Rows[0], report.Rows[1], report.Total()
	if guild.Sent == 0 || guild.Answered != guild.Sent || guild.WithinTarget != guild.Sent || guild.Tokens != 3*guild.Sent || guild.Gap.TotalCount() != int64(2*guild.Sent) {
		t.Errorf("guild = %+v, want all answered with three tokens", *guild)
	}
	if other.Answered != 0 || other.Refused == 0 || other.Failed == 0 || other.Wrong == 0 || other.Refused+other.Failed+other.Wrong != other.Sent {
		t.Errorf("other = %+v, want refused, failed and wrong answers only", *other)
	}
	if total.Sent != 200 || received[0].Load() != 100 || received[1].Load() != 100 || report.Refused["queueFull"] != other.Refused {
		t.Errorf("sent %d, want 200; targets received %d and %d, want 100 each; refusals %v", total.Sent, received[0].Load(), received[1].Load(), report.Refused)
	}
}

// Guards against an answer that is not valid HTTP and that is counted as answered or refused.
func TestMalformedAnswersCountAsFailed(t *testing.T) {
	answers := rockstandin.MalformedAnswers("", "data: {\"choices\": [{\"delta\": {\"content\": \"word\"}}]}\n\ndata: [DONE]\n\n")
	answers["refusal"] = "HTTP/1.1 503 Service Unavailable\r\nX Y: 1\r\n\r\n{\"error\": {\"code\": \"queueFull\", \"ran\": \"notRun\"}}"
	for name, text := range answers {
		if strings.HasPrefix(name, "trailer") {
			continue // the answer is whole with its last event
		}
		l, err := rockstandin.ServeConns(func(conn net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, text)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		plan := rockload.Plan{RatePerSecond: 2000, Count: 1, Seed: 1, Targets: []string{l.Addr().String()}, Mix: []rockload.Share{
			{Caller: "guild", Rank: "urgent", Token: "t", Prompts: []string{"word"}},
		}}
		report, err := (&rockload.Generator{Plan: plan}).Run(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if total := report.Total(); total.Sent != 1 || total.Failed != 1 {
			t.Errorf("%s: got %+v, want one that failed", name, total)
		}
		_ = l.Close()
	}
}

// Guards against a schedule that differs between runs of the same plan, or whose rate or mix differs
// from the plan.
func TestArrivals(t *testing.T) {
	plan := rockload.Plan{
		Targets: []string{"a", "b", "c"}, RatePerSecond: 100, Count: 20000, DurationMs: 100_000, Seed: 7,
		Mix: []rockload.Share{{Weight: 3, Prompts: []string{"x"}}, {Prompts: []string{"y"}}},
	}
	first := slices.Collect(plan.Arrivals())
	if !slices.Equal(first, slices.Collect(plan.Arrivals())) {
		t.Error("two schedules of the same plan differ")
	}
	// 100 s at 100/s; the standard deviation of the count is 100.
	if n := float64(len(first)); math.Abs(n-10000) > 400 {
		t.Errorf("got %v arrivals, want about 10000", n)
	}
	heavy := 0
	for _, a := range first {
		if a.Share == 0 {
			heavy++
		}
	}
	if got := float64(heavy) / float64(len(first)); math.Abs(got-0.75) > 0.02 {
		t.Errorf("fraction of arrivals for weight 3 of 4 = %v, want about 0.75", got)
	}
	if last := first[len(first)-1].At; last > 100*time.Second {
		t.Errorf("last arrival at %v, want at most 100 s", last)
	}
}

// Guards against a generator that waits for answers, or accumulates requests without a bound, when a
// target stops answering.
func TestRunDropsBeyondMaxInFlight(t *testing.T) {
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		serveChat(w, r)
	}))
	defer s.Close()
	plan := rockload.Plan{Targets: []string{s.URL}, RatePerSecond: 5000, Count: 50, MaxInFlight: 3, Mix: []rockload.Share{{Token: "t", Prompts: []string{"x"}}}}
	time.AfterFunc(300*time.Millisecond, func() { close(release) })
	report, err := (&rockload.Generator{Plan: plan}).Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if row := report.Rows[0]; row.Sent != 50 || row.Answered < 3 || row.Answered+row.Dropped != 50 {
		t.Errorf("row = %+v, want 50 sent, at least 3 answered and the others dropped", *row)
	}
	if _, err := (&rockload.Generator{}).Run(t.Context()); !errors.Is(err, rockload.ErrPlan) {
		t.Errorf("empty plan: error = %v, want ErrPlan", err)
	}
}
