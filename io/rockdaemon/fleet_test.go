package rockdaemon

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockhttp"
	"sassafrasrock/io/rockpeer"
	"sassafrasrock/io/rocksettings"
	"sassafrasrock/io/rockstandin"
)

const (
	model  = "windsock-9"
	layers = 9
	token  = "fleet-token"
	// conditionTimeout is how long a test waits for a condition before it fails.
	conditionTimeout = 60 * time.Second
)

// fleet is a stand-in of the platform and the backend servers, and the daemons of one data centre.
// All run in the test process and use real connections.
type fleet struct {
	t       testing.TB
	standin *rockstandin.Standin
	daemons []*testDaemon
	rank    string // rank of the requests that chat sends
}

// testDaemon is a running daemon with the function that stops it.
type testDaemon struct {
	*Daemon
	stop func()        // starts the graceful shutdown
	done chan struct{} // closed when Run has returned
}

// newFleet starts n daemons and two backend servers for each of three layer ranges, and waits until
// the daemons serve. The configure functions change the settings of the stand-in.
func newFleet(t testing.TB, n int, configure ...func(*rockstandin.Settings)) *fleet {
	t.Helper()
	settings := rockstandin.Settings{
		Kinds:  []rockstandin.KindSettings{{Name: "fast", StepMs: 1}, {Name: "slow", StepMs: 2}},
		Engine: rockstandin.EngineTiming{RestartMs: 500},
		Applications: []rockstandin.ApplicationSettings{
			{Name: "app-1", DataCentre: "yoff", Region: "dakar"}, {Name: "app-2", DataCentre: "yoff", Region: "dakar"},
		},
	}
	for i := range 6 {
		settings.Engines = append(settings.Engines, rockstandin.EngineSettings{
			Name: fmt.Sprintf("runner-%d", i+1), DataCentre: "yoff", Region: "dakar", Kind: []string{"fast", "slow"}[i/3],
			Model: model, Version: "1", FirstLayer: i % 3 * 3, LastLayer: i%3*3 + 2, Layers: layers, Slots: 32, ChecksFencing: true,
		})
	}
	for _, set := range configure {
		set(&settings)
	}
	standin, err := rockstandin.Start(context.Background(), settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(standin.Close)
	f := &fleet{t: t, standin: standin, rank: "urgent"}
	root, err := rockpeer.NewEphemeralRoot(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	for i := range n {
		f.addDaemon(root, fmt.Sprintf("entry-%d", i+1))
	}
	f.configure()
	return f
}

func (f *fleet) addDaemon(root *rockpeer.Root, name string) *testDaemon {
	f.t.Helper()
	trust, err := root.Issue(name)
	if err != nil {
		f.t.Fatal(err)
	}
	settings := rocksettings.Daemon{
		Host: name, DataCentre: "yoff", Region: "dakar", PlatformURL: f.standin.PlatformURL(),
		CallersAddress: "127.0.0.1:0", OperatorsAddress: "127.0.0.1:0", PeersAddress: "127.0.0.1:0",
		Limits: rocksettings.Limits{HostListEveryMs: 200, ConfigEveryMs: 500, ProbeEveryMs: 100, GossipEveryMs: 200},
	}
	for _, m := range f.daemons {
		settings.SeedPeers = append(settings.SeedPeers, m.PeersAddress)
	}
	d, err := NewWithTrust(settings, trust)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &testDaemon{Daemon: d, stop: stop, done: make(chan struct{})}
	stopNow := make(chan struct{})
	go func() {
		defer close(m.done)
		if err := d.Run(ctx, stopNow); err != nil {
			f.t.Errorf("%s: %v", name, err)
		}
	}()
	f.t.Cleanup(func() {
		stop()
		close(stopNow)
		<-m.done
	})
	f.daemons = append(f.daemons, m)
	return m
}

func (f *fleet) configure() {
	f.t.Helper()
	digest := sha256.Sum256([]byte(token))
	end := f.apply(f.daemons[0], 0, rocktable.Configuration{
		Pipelines: []rocktable.PipelineConfig{{Name: "captions", Model: model, Version: "1", Layers: layers}},
		Ranks: []rocktable.RankConfig{
			{Name: "urgent", FirstTokenMs: 5000, GapMs: 2000, Worth: 10, Floor: 0.2},
			{Name: "brisk", FirstTokenMs: 5000, GapMs: 100, Worth: 5, Floor: 0.1},
			{Name: "background", FirstTokenMs: 60000, GapMs: 10000, Worth: 1, Floor: 0.1},
		},
		Callers:  []rocktable.CallerConfig{{Name: "guild", TokenSHA256: hex.EncodeToString(digest[:])}},
		Services: []rocktable.ServiceConfig{{Name: "squares", Servers: []string{"app-1", "app-2"}, TimeoutMs: 5000}},
	})
	if end.Reason != "" {
		f.t.Fatalf("configuration refused with reason %s", end.Reason)
	}
	f.eventually("every daemon serves", func() bool {
		for _, m := range f.daemons {
			s := f.status(m)
			live := 0
			for _, server := range s.Servers {
				if server.State == rocktable.StateLive {
					live++
				}
			}
			if !s.Ready || s.ConfigVersion == 0 || live < 8 || len(s.Hosts) < len(f.daemons) {
				return false
			}
		}
		return true
	})
}

// apply submits a configuration change to a daemon and returns its result.
func (f *fleet) apply(m *testDaemon, expected uint64, cfg rocktable.Configuration) rocktable.ConfigEnd {
	f.t.Helper()
	end, err := m.control.Change(f.ctx(), rocktable.ConfigChange{ChangeID: newID(), ExpectedVersion: expected, Configuration: cfg})
	if err != nil {
		f.t.Fatal(err)
	}
	return end
}

func (f *fleet) ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	f.t.Cleanup(cancel)
	return ctx
}

func (f *fleet) status(m *testDaemon) *rocktable.Status {
	f.t.Helper()
	s, err := m.control.Status(f.ctx())
	if err != nil {
		f.t.Fatal(err)
	}
	return s
}

func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(conditionTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("condition %q not met within %s", what, conditionTimeout)
		}
	}
}

// busierEngine returns the engine that started more sessions. A fault at an engine without sessions
// would test nothing.
func (f *fleet) busierEngine(a, b string) string {
	counts := f.standin.Counts()
	if counts.Engines[b].Sessions > counts.Engines[a].Sessions {
		return b
	}
	return a
}

func (f *fleet) injectFault(fault rockstandin.Fault) {
	f.t.Helper()
	if err := f.standin.Fault(fault); err != nil {
		f.t.Fatal(err)
	}
}

// answer is the answer that a caller received.
type answer struct {
	status       int
	text         string
	code         string // reason code of an error
	ran          string
	complete     bool
	attempts     int   // from the outcome
	largestGapMs int64 // largest gap between tokens, from the outcome
}

// chat sends one streamed request and reads its answer. It calls onToken after each token with the
// number received so far.
func (f *fleet) chat(m *testDaemon, prompt string, maxTokens int, onToken func(n int)) answer {
	body, err := json.Marshal(map[string]any{
		"model": model, "rank": f.rank, "stream": true, "max_tokens": maxTokens,
		"messages": []rockhttp.ChatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		f.t.Error(err)
	}
	response, data := f.post(m, "/v1/chat/completions", "", body)
	if response == nil {
		return answer{}
	}
	defer response.Body.Close()
	a := answer{status: response.StatusCode}
	n := 0
	for line := range lines(data) {
		event, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			event = line
		}
		if event == "[DONE]" {
			a.complete = true
			continue
		}
		if a.addEvent(event) {
			n++
			if onToken != nil {
				onToken(n)
			}
		}
	}
	return a
}

// addEvent adds one event of the stream and reports whether it carried a token.
func (a *answer) addEvent(event string) bool {
	var frame struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Outcome *rocktable.Outcome `json:"outcome"`
		Error   struct {
			Code string `json:"code"`
			Ran  string `json:"ran"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(event), &frame) != nil {
		return false
	}
	if frame.Error.Code != "" {
		a.code, a.ran = frame.Error.Code, frame.Error.Ran
	}
	if frame.Outcome != nil {
		a.attempts, a.largestGapMs = frame.Outcome.Attempts, frame.Outcome.LargestGapMs
	}
	if len(frame.Choices) == 0 || frame.Choices[0].Delta.Content == "" {
		return false
	}
	a.text += frame.Choices[0].Delta.Content
	return true
}

// post sends a request and returns the response and its unread body, or nil after a failure.
func (f *fleet) post(m *testDaemon, path, key string, body []byte) (*http.Response, io.Reader) {
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	f.t.Cleanup(cancel)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.CallersAddress+path, bytes.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return nil, nil
	}
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		f.t.Errorf("POST %s: %v", path, err)
		return nil, nil
	}
	return response, response.Body
}

// callService sends one application call and returns the status, the body and the reason code of a
// refusal.
func (f *fleet) callService(m *testDaemon, key string, number int) (int, string, string) {
	response, data := f.post(m, "/v1/services/squares/squares", key, fmt.Appendf(nil, `{"number":%d}`, number))
	if response == nil {
		return 0, "", ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(data)
	if err != nil {
		f.t.Error(err)
	}
	var a answer
	a.addEvent(string(body))
	return response.StatusCode, string(body), a.code
}

// expected returns the answer of a run without faults.
func expected(prompt string, maxTokens int) string {
	text := rockhttp.FormatPrompt([]rockhttp.ChatMessage{{Role: "user", Content: prompt}})
	return strings.Join(rockstandin.ExpectedTexts(model, layers, text, maxTokens), "")
}

// check fails the test unless the answer is complete and equal to that of a run without faults.
func (f *fleet) check(a answer, prompt string, maxTokens int) {
	f.t.Helper()
	if !a.complete || a.text != expected(prompt, maxTokens) {
		f.t.Errorf("answer to %q: got status %d, complete %t, code %q, %d bytes; want the %d bytes of a run without faults",
			prompt, a.status, a.complete, a.code, len(a.text), len(expected(prompt, maxTokens)))
	}
}

// checkChats sends n requests at once, spread over all daemons, and checks each answer.
func (f *fleet) checkChats(n, maxTokens int, onToken func(n int)) []answer {
	answers := make([]answer, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			prompt := fmt.Sprintf("request number %d", i)
			answers[i] = f.chat(f.daemons[i%len(f.daemons)], prompt, maxTokens, onToken)
			f.check(answers[i], prompt, maxTokens)
		})
	}
	wg.Wait()
	return answers
}

func lines(r io.Reader) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		var partial string
		buffer := make([]byte, 4096)
		for {
			n, err := r.Read(buffer)
			partial += string(buffer[:n])
			for {
				line, after, ok := strings.Cut(partial, "\n")
				if !ok {
					break
				}
				partial = after
				if !yield(line) {
					return
				}
			}
			if err != nil {
				yield(partial)
				return
			}
		}
	}
}

// startServer starts a server that handles each connection with a function, until the end of the test.
func startServer(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	l, err := rockstandin.ServeConns(handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}
