package rockdaemon

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
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
	// patience is how long a test waits for a condition; a run that needs longer has failed.
	patience = 60 * time.Second
)

// fleet is a stand-in and daemons of one data centre in one process, joined over real connections.
type fleet struct {
	t       testing.TB
	standin *rockstandin.Standin
	daemons []*member
	rank    string // of the requests that chat sends
}

// member is a daemon with the functions that stop it.
type member struct {
	*Daemon
	stop func()        // graceful
	done chan struct{} // closed when Run has returned
}

// newFleet starts n daemons before two backend servers for each of three layer ranges, and waits until they serve; change changes the settings of the stand-in.
func newFleet(t testing.TB, n int, change ...func(*rockstandin.Settings)) *fleet {
	t.Helper()
	settings := rockstandin.Settings{
		Kinds:  []rockstandin.KindSettings{{Name: "fast", StepMs: 1}, {Name: "slow", StepMs: 2}},
		Engine: rockstandin.EngineTimes{RestartMs: 500},
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
	for _, set := range change {
		set(&settings)
	}
	standin, err := rockstandin.Start(context.Background(), settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(standin.Close)
	f := &fleet{t: t, standin: standin, rank: "urgent"}
	root, err := rockpeer.NewThrowAwayRoot(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	for i := range n {
		f.addDaemon(root, fmt.Sprintf("entry-%d", i+1))
	}
	f.configure()
	return f
}

func (f *fleet) addDaemon(root *rockpeer.Root, name string) *member {
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
	m := &member{Daemon: d, stop: stop, done: make(chan struct{})}
	now := make(chan struct{})
	go func() {
		defer close(m.done)
		if err := d.Run(ctx, now); err != nil {
			f.t.Errorf("%s: %v", name, err)
		}
	}()
	f.t.Cleanup(func() {
		stop()
		close(now)
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
		f.t.Fatalf("configuration refused: %s", end.Reason)
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

// apply hands a configuration to a daemon.
func (f *fleet) apply(m *member, expected uint64, cfg rocktable.Configuration) rocktable.ConfigEnd {
	f.t.Helper()
	end, err := m.control.Change(f.ctx(), rocktable.ConfigChange{ChangeID: newID(), ExpectedVersion: expected, Configuration: cfg})
	if err != nil {
		f.t.Fatal(err)
	}
	return end
}

func (f *fleet) ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	f.t.Cleanup(cancel)
	return ctx
}

func (f *fleet) status(m *member) *rocktable.Status {
	f.t.Helper()
	s, err := m.control.Status(f.ctx())
	if err != nil {
		f.t.Fatal(err)
	}
	return s
}

func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%s: not within %s", what, patience)
		}
	}
}

// busier returns the engine that started more sessions; a fault at one that got none strikes nothing.
func (f *fleet) busier(a, b string) string {
	counts := f.standin.Counts()
	if counts.Engines[b].Sessions > counts.Engines[a].Sessions {
		return b
	}
	return a
}

func (f *fleet) fault(fault rockstandin.Fault) {
	f.t.Helper()
	if err := f.standin.Fault(fault); err != nil {
		f.t.Fatal(err)
	}
}

// answer is what a caller got.
type answer struct {
	status int
	text   string
	code   string // of an error
	ran    string
	whole  bool
	tries  int   // attempts, by the outcome
	gap    int64 // largest between tokens, in ms, by the outcome
}

// chat sends one streamed request and reads its answer; each is called when a token arrives.
func (f *fleet) chat(m *member, prompt string, maxTokens int, each func(n int)) answer {
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
			a.whole = true
			continue
		}
		if a.take(event) {
			n++
			if each != nil {
				each(n)
			}
		}
	}
	return a
}

// take adds one event and reports whether it carried a token.
func (a *answer) take(event string) bool {
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
		a.tries, a.gap = frame.Outcome.Attempts, frame.Outcome.LargestGapMs
	}
	if len(frame.Choices) == 0 || frame.Choices[0].Delta.Content == "" {
		return false
	}
	a.text += frame.Choices[0].Delta.Content
	return true
}

// post sends a request and returns the response with its body to be read.
func (f *fleet) post(m *member, path, key string, body []byte) (*http.Response, io.Reader) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

// call sends one application call and returns its status, its body and the code of a refusal.
func (f *fleet) call(m *member, key string, number int) (int, string, string) {
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
	a.take(string(body))
	return response.StatusCode, string(body), a.code
}

// expected is the answer of an undisturbed run.
func expected(prompt string, maxTokens int) string {
	text := rockhttp.Prompt([]rockhttp.ChatMessage{{Role: "user", Content: prompt}})
	return strings.Join(rockstandin.Expected(model, layers, text, maxTokens), "")
}

// check fails the test unless the answer is whole and that of an undisturbed run.
func (f *fleet) check(a answer, prompt string, maxTokens int) {
	f.t.Helper()
	if !a.whole || a.text != expected(prompt, maxTokens) {
		f.t.Errorf("answer to %q: status %d, whole %t, code %q, %d bytes; want the %d bytes of an undisturbed run",
			prompt, a.status, a.whole, a.code, len(a.text), len(expected(prompt, maxTokens)))
	}
}

// chats runs n requests at once over all daemons and checks each answer.
func (f *fleet) chats(n, maxTokens int, each func(n int)) []answer {
	answers := make([]answer, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			prompt := fmt.Sprintf("request number %d", i)
			answers[i] = f.chat(f.daemons[i%len(f.daemons)], prompt, maxTokens, each)
			f.check(answers[i], prompt, maxTokens)
		})
	}
	wg.Wait()
	return answers
}

func lines(r io.Reader) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		var rest string
		buffer := make([]byte, 4096)
		for {
			n, err := r.Read(buffer)
			rest += string(buffer[:n])
			for {
				line, after, ok := strings.Cut(rest, "\n")
				if !ok {
					break
				}
				rest = after
				if !yield(line) {
					return
				}
			}
			if err != nil {
				yield(rest)
				return
			}
		}
	}
}
