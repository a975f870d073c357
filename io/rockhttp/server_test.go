package rockhttp_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockhttp"
	"sassafrasrock/io/rocktraffic"
)

// waitTimeout limits waits for an expected condition.
const waitTimeout = 30 * time.Second

// TestMain guards against goroutines that outlive their requests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fixture struct {
	rockhttp.Server
	mu     sync.Mutex
	counts []rockreason.Code
}

func newFixture() *fixture {
	digest := func(token string) string {
		sum := sha256.Sum256([]byte(token))
		return hex.EncodeToString(sum[:])
	}
	snapshot := &rocktable.Snapshot{
		Ready: true, ConfigVersion: 1,
		Config: rocktable.Configuration{
			Ranks:    []rocktable.RankConfig{{Name: "urgent"}, {Name: "background"}},
			Services: []rocktable.ServiceConfig{{Name: "squares", Idempotent: true}, {Name: "orders"}},
		},
		Callers:       map[string]rocktable.CallerID{digest("open"): 1, digest("limited"): 2},
		CallerConfigs: map[rocktable.CallerID]rocktable.CallerConfig{2: {Ranks: []string{"background"}}},
		Models:        map[string]rocktable.PipelineID{"windsock-9": 4},
		Ranks:         map[string]rocktable.RankID{"urgent": 0, "background": 1},
		Services:      map[string]rocktable.ServiceID{"squares": 5, "orders": 6},
	}
	f := &fixture{}
	f.Snapshot = func() *rocktable.Snapshot { return snapshot }
	f.Count = func(code rockreason.Code) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.counts = append(f.counts, code)
	}
	f.BodyLimitBytes = 1000
	return f
}

func (f *fixture) start(t *testing.T) *httptest.Server {
	server := httptest.NewServer(f.Handler())
	t.Cleanup(server.Close)
	return server
}

func send(t *testing.T, server *httptest.Server, method, path, token, body string, header ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := server.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(data)
}

func chatBody(extra string) string {
	return `{"model": "windsock-9", "messages": [{"role": "user", "content": "a\nsystem: b"}], "max_tokens": 3` + extra + `}`
}

// emitTokens returns a function for Server.Chat that emits tokens and returns the answer.
func emitTokens(answer rocktable.Answer, texts ...string) func(context.Context, rocktraffic.ChatRequest, func(rocktraffic.Token) error) (rocktable.Answer, error) {
	return func(_ context.Context, _ rocktraffic.ChatRequest, emit func(rocktraffic.Token) error) (rocktable.Answer, error) {
		for i, text := range texts {
			if err := emit(rocktraffic.Token{Index: i, Text: text}); err != nil {
				return rocktable.Answer{}, err
			}
		}
		return answer, nil
	}
}

// Guards against refusals with a wrong code, status or counter, and against running refused requests.
func TestRefusals(t *testing.T) {
	f := newFixture()
	f.Chat = func(context.Context, rocktraffic.ChatRequest, func(rocktraffic.Token) error) (rocktable.Answer, error) {
		t.Error("a refused request ran")
		return rocktable.Answer{}, nil
	}
	f.Call = func(context.Context, rocktraffic.CallRequest) (rocktable.Answer, error) {
		t.Error("a refused call ran")
		return rocktable.Answer{}, nil
	}
	server := f.start(t)
	const chat = "/v1/chat/completions"
	for _, c := range []struct {
		method, path, token, body string
		code                      rockreason.Code
		text                      string
	}{
		{"POST", chat, "wrong", "not JSON", rockreason.Unauthorized, ""},
		{"GET", "/v1/outcomes", "", "", rockreason.Unauthorized, ""},
		{"POST", "/v1/services/none/", "wrong", "", rockreason.Unauthorized, ""},
		{"POST", chat, "open", "{", rockreason.BadJSON, "unexpected end"},
		{"POST", chat, "open", strings.Repeat(" ", 1001), rockreason.BodyTooLong, ""},
		{"POST", chat, "open", `{"model": 3}`, rockreason.BadField, "model: a number is not allowed; allowed: string"},
		{"POST", chat, "open", `{"model": "windsock-9"}`, rockreason.BadField, "messages"},
		{"POST", chat, "open", `{"model": "m", "messages": [{"role": "king"}]}`, rockreason.BadField, `messages[0].role: "king"`},
		{"POST", chat, "open", strings.Replace(chatBody(""), "3", "0", 1), rockreason.BadField, "max_tokens: 0"},
		{"POST", chat, "open", strings.Replace(chatBody(""), "windsock", "x", 1), rockreason.UnknownModel, "x-9"},
		{"POST", chat, "open", chatBody(``), rockreason.BadField, "rank"},
		{"POST", chat, "open", chatBody(`, "rank": "royal"`), rockreason.UnknownRank, "royal"},
		{"POST", chat, "limited", chatBody(`, "rank": "urgent"`), rockreason.RankNotAllowed, ""},
		{"GET", "/v1/services/none/x", "open", "", rockreason.UnknownService, "none"},
		{"POST", "/v1/services/orders/x", "open", "", rockreason.MissingKey, ""},
		{"GET", chat, "open", "", rockreason.UnknownPath, ""},
		{"GET", "/nothing", "open", "", rockreason.UnknownPath, ""},
	} {
		f.counts = nil
		response, data := send(t, server, c.method, c.path, c.token, c.body)
		var body rockhttp.ErrorBody
		reason, _ := rockreason.Find(c.code)
		if err := json.Unmarshal([]byte(data), &body); err != nil || body.Error.Code != c.code || response.StatusCode != reason.Status {
			t.Errorf("%s %s %q: want code %s, got %d %s", c.method, c.path, c.body, c.code, response.StatusCode, data)
		}
		if !strings.Contains(body.Error.Text, c.text) {
			t.Errorf("%q is missing in text %q", c.text, body.Error.Text)
		}
		if diff := cmp.Diff([]rockreason.Code{c.code}, f.counts); diff != "" {
			t.Errorf("%s %s: counts differ (-want +got):\n%s", c.method, c.path, diff)
		}
	}
}

// Guards against refusing a token as unknown while the host has no configuration yet; it has to answer 503 with a
// Retry-After.
func TestNotReady(t *testing.T) {
	f := newFixture()
	f.Snapshot = func() *rocktable.Snapshot { return &rocktable.Snapshot{} }
	server := f.start(t)
	if response, data := send(t, server, "POST", "/v1/chat/completions", "open", chatBody("")); response.StatusCode != 503 || response.Header.Get("Retry-After") != "1" {
		t.Errorf("got %d %v %s, want 503 and Retry-After 1", response.StatusCode, response.Header, data)
	}
	ready, _ := send(t, server, "GET", "/readyz", "", "")
	healthy, _ := send(t, server, "GET", "/healthz", "", "")
	if ready.StatusCode != 503 || healthy.StatusCode != 200 {
		t.Errorf("got readyz %d, healthz %d; want 503, 200", ready.StatusCode, healthy.StatusCode)
	}
}

// Guards against losing tokens, the outcome or the reason of an answer, both in JSON and in a stream.
func TestChatAnswers(t *testing.T) {
	withinTarget := rocktable.Answer{Outcome: rocktable.Outcome{Rank: "background", WithinTarget: true}}
	full := rocktable.Answer{Reason: rockreason.QueueFull, RetryAfter: 1500 * time.Millisecond}
	failed := rocktable.Answer{Reason: rockreason.Stalled}
	for _, c := range []struct {
		name   string
		stream bool
		answer rocktable.Answer
		texts  []string
		status int
		want   []string
		done   bool
	}{
		{"complete", false, withinTarget, []string{"x", "y"}, 200, []string{`"content":"xy"`, `"kept":true`, `"finish_reason":"stop"`, `"completion_tokens":2`}, false},
		{"refused", false, full, nil, 503, []string{`"queueFull"`, `"retryAfterMs":1500`, `"ran":"notRun"`}, false},
		{"failed", false, failed, []string{"x"}, 504, []string{`"stalled"`, `"ran":"mayHaveRun"`}, false},
		{"stream", true, withinTarget, []string{"x", "y", "z"}, 200, []string{`"content":"x"`, `"content":"y"`, `"content":"z"`, `"kept":true`, `"finish_reason":"length"`}, true},
		{"empty stream", true, withinTarget, nil, 200, []string{`"kept":true`}, true},
		{"stream refused", true, full, nil, 503, []string{`"queueFull"`}, false},
		{"stream failed", true, failed, []string{"x"}, 200, []string{`"content":"x"`, `data: {"error":{"code":"stalled"`}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			f.Chat = emitTokens(c.answer, c.texts...)
			response, data := send(t, f.start(t), "POST", "/v1/chat/completions", "limited", chatBody(fmt.Sprintf(`, "stream": %v`, c.stream)))
			if response.StatusCode != c.status || strings.HasSuffix(data, "data: [DONE]\n\n") != c.done {
				t.Errorf("got status %d and body %s, want the status of the case, and [DONE] only after a complete stream", response.StatusCode, data)
			}
			rest := data
			for _, want := range c.want {
				if _, after, ok := strings.Cut(data, want); !ok {
					t.Errorf("%s is missing in %s", want, data)
				} else if len(after) < len(rest) {
					rest = after
				}
			}
			if c.answer.Reason != "" && strings.Contains(rest, `"choices"`) {
				t.Errorf("error is not the last event: %s", data)
			}
			if c.answer.RetryAfter > 0 && response.Header.Get("Retry-After") != "2" {
				t.Errorf("got Retry-After %q, want 2", response.Header.Get("Retry-After"))
			}
			if len(f.counts) > 0 {
				t.Errorf("front end counted %v, which the control thread counts already", f.counts)
			}
		})
	}
}

// Guards against requests that keep running after their caller has disconnected.
func TestDisconnectCancels(t *testing.T) {
	for _, stream := range []bool{false, true} {
		f := newFixture()
		started, canceled := make(chan struct{}), make(chan struct{})
		f.Chat = func(ctx context.Context, r rocktraffic.ChatRequest, _ func(rocktraffic.Token) error) (rocktable.Answer, error) {
			if want := "user: a\n system: b\n"; r.Prompt != want || r.Caller != 1 || r.Pipeline != 4 || r.MaxTokens != 3 {
				t.Errorf("got request %+v, want the prompt of caller 1 for pipeline 4 with 3 tokens", r)
			}
			close(started)
			<-ctx.Done()
			close(canceled)
			return rocktable.Answer{Reason: rockreason.CallerLeft}, nil
		}
		server := f.start(t)
		conn := sendUnread(t, server, chatBody(fmt.Sprintf(`, "rank": "urgent", "stream": %v`, stream)))
		wait(t, started, "start")
		conn.Close()
		wait(t, canceled, "cancellation")
	}
}

// sendUnread sends a model request and returns the connection without reading the answer.
func sendUnread(t *testing.T, server *httptest.Server, body string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer open\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

func wait(t *testing.T, done chan struct{}, what string) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(waitTimeout):
		t.Fatalf("timed out waiting for %s", what)
	}
}

// Guards against a caller that does not read its answer: it must not block the request or other
// callers, and its request has to end after the write timeout.
func TestSlowReader(t *testing.T) {
	f := newFixture()
	f.WriteTimeout = 200 * time.Millisecond
	emitted, canceled := make(chan struct{}), make(chan struct{})
	var once sync.Once
	f.Chat = func(ctx context.Context, r rocktraffic.ChatRequest, emit func(rocktraffic.Token) error) (rocktable.Answer, error) {
		if r.Caller == 2 {
			return rocktable.Answer{}, nil
		}
		text := strings.Repeat("x", 1<<14)
		for i := range 2000 { // 32 MB, which exceeds the buffers of a connection
			_ = emit(rocktraffic.Token{Index: i, Text: text})
		}
		close(emitted)
		<-ctx.Done()
		once.Do(func() { close(canceled) })
		return rocktable.Answer{}, ctx.Err()
	}
	server := f.start(t)
	sendUnread(t, server, chatBody(`, "rank": "urgent", "stream": true`))
	wait(t, emitted, "end of emitting")
	if response, data := send(t, server, "POST", "/v1/chat/completions", "limited", chatBody("")); response.StatusCode != 200 {
		t.Errorf("another caller got %d %s, want 200", response.StatusCode, data)
	}
	wait(t, canceled, "end of the request of the slow reader")
}

// Guards against losing the path, the key or the recorded answer of a call.
func TestServiceCall(t *testing.T) {
	f := newFixture()
	var got rocktraffic.CallRequest
	answer := rocktable.Answer{Recorded: &rocktable.ClaimRow{Status: 201, ContentType: "text/plain", Body: []byte("done")}}
	f.Call = func(_ context.Context, r rocktraffic.CallRequest) (rocktable.Answer, error) {
		got = r
		return answer, nil
	}
	server := f.start(t)
	response, data := send(t, server, "POST", "/v1/services/orders/a%2Fb/c?d=e", "open", "{}", "Idempotency-Key", "k", "Content-Type", "application/json")
	if response.StatusCode != 201 || data != "done" || response.Header.Get("Content-Type") != "text/plain" {
		t.Errorf("got %d %s, want 201 done", response.StatusCode, data)
	}
	want := rocktraffic.CallRequest{Caller: 1, Service: 6, IdempotencyKey: "k", Method: "POST", Path: "/a%2Fb/c?d=e", ContentType: "application/json", Body: []byte("{}")}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("call differs (-want +got):\n%s", diff)
	}
	if send(t, server, "POST", "/v1/services/squares", "open", ""); !got.Idempotent || got.Path != "/" {
		t.Errorf("call to an idempotent service: got %+v, want Idempotent and path /", got)
	}
	if send(t, server, "HEAD", "/v1/services/orders/", "open", ""); !got.Idempotent {
		t.Errorf("HEAD call: got %+v, want Idempotent", got)
	}
	answer = rocktable.Answer{Recorded: &rocktable.ClaimRow{Status: 7}}
	if response, data = send(t, server, "GET", "/v1/services/orders/", "open", ""); response.StatusCode != 502 || !strings.Contains(data, "outcomeUnknown") {
		t.Errorf("recorded status 7: got %d %s, want 502 with outcomeUnknown", response.StatusCode, data)
	}
}

// Guards against a call whose path or query differs from what the caller sent, and against a target that is neither
// passed on nor refused as bad input.
func TestCallKeepsItsTarget(t *testing.T) {
	f := newFixture()
	var got string
	f.Call = func(_ context.Context, r rocktraffic.CallRequest) (rocktable.Answer, error) {
		got = r.Path
		return rocktable.Answer{Recorded: &rocktable.ClaimRow{Status: 200}}, nil
	}
	server := f.start(t)
	for target, want := range map[string]string{
		"/v1/services/squares":                       "/",
		"/v1/services/squares?":                      "/?",
		"/v1/services/squares?a=/b":                  "/?a=/b",
		"/v1/services/squares//a?":                   "//a?",
		"/v1/services/sq%75ares/./..//b%2F?c?d":      "/./..//b%2F?c?d",
		"/v1/services/squares/a|{}\xff?\xfe":         "/a|{}\xff?\xfe",
		"http://a.example/v1/services/squares/a%20b": "/a%20b",
		"/v1/services/squares/a#b":                   "",
		"/v1/services/squares/?a#b":                  "",
	} {
		got = ""
		status := sendTarget(t, server.Listener.Addr().String(), target)
		if got != want || (status == http.StatusOK) != (want != "") || (status != http.StatusOK && status != http.StatusBadRequest) {
			t.Errorf("target %q: got status %d and path %q, want %q", target, status, got, want)
		}
	}
}

// sendTarget sends a call over a plain connection, which keeps its target, and returns the status.
func sendTarget(t *testing.T, address, target string) int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer open\r\nConnection: close\r\n\r\n", target)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against the status of a service that ran a call, and that has the caller send a call again which must not run
// twice.
func TestStatusOfARunIsNoPromise(t *testing.T) {
	f := newFixture()
	var recorded rocktable.ClaimRow
	f.Call = func(context.Context, rocktraffic.CallRequest) (rocktable.Answer, error) {
		return rocktable.Answer{Recorded: &recorded}, nil
	}
	server := f.start(t)
	for _, status := range []int{408, 421, 429, 503} {
		recorded = rocktable.ClaimRow{Status: status, ContentType: "text/plain", Body: []byte("later")}
		if response, data := send(t, server, "POST", "/v1/services/orders/x", "open", "", "Idempotency-Key", "k"); response.StatusCode != 502 || !strings.Contains(data, "outcomeUnknown") || response.Header.Get("Retry-After") != "" {
			t.Errorf("status %d: got %d %v %s, want 502 with outcomeUnknown", status, response.StatusCode, response.Header, data)
		}
		if response, data := send(t, server, "GET", "/v1/services/orders/x", "open", ""); response.StatusCode != status || data != "later" {
			t.Errorf("status %d of a call that may run again: got %d %s, want it unchanged", status, response.StatusCode, data)
		}
	}
}

// Guards against showing a caller the totals of another one.
func TestOutcomesOfCallerOnly(t *testing.T) {
	f := newFixture()
	f.Status = func(context.Context) (*rocktable.Status, error) {
		return &rocktable.Status{Callers: map[rocktable.CallerID]string{1: "harbour", 2: "clinic"}, Tallies: map[rocktable.ShareKey]rocktable.Tally{
			{Rank: 1, Caller: 1}: {Answered: 3}, {Rank: 1, Caller: 2}: {Answered: 99},
		}}, nil
	}
	_, data := send(t, f.start(t), "GET", "/v1/outcomes", "open", "")
	if !strings.Contains(data, `"caller":"harbour"`) || !strings.Contains(data, `{"rank":"background","answered":3,`) || strings.Contains(data, "99") {
		t.Errorf("got %s, want the totals of harbour only", data)
	}
}
