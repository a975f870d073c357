package rockprocess

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasrock/io/rockhttp"
	"sassafrasrock/io/rockstandin"
)

// answer is the answer that a caller received.
type answer struct {
	status   int // 0 if the connection failed before the response
	body     string
	text     string // text of the tokens
	tokens   int
	code     string // reason code of an error
	ran      string
	complete bool
	err      error // of the connection
}

// needsResend reports whether a caller would resend the request: it was refused, or its answer is
// incomplete.
func (a answer) needsResend() bool { return a.err != nil || a.code != "" || !a.complete }

// chatBody returns the body of a streamed request.
func chatBody(prompt string, maxTokens int) []byte {
	body, err := json.Marshal(map[string]any{
		"model": model, "rank": "urgent", "stream": true, "max_tokens": maxTokens,
		"messages": []rockhttp.ChatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		panic(err) // unreachable: JSON can encode all values of the body
	}
	return body
}

// chat sends one streamed request to a host. It calls onToken after each token with the number
// received so far.
func (f *fleet) chat(h *host, prompt string, maxTokens int, onToken func(n int)) (a answer) {
	response, err := f.post(h, conditionTimeout, "/v1/chat/completions", "", chatBody(prompt, maxTokens))
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		event := strings.TrimPrefix(lines.Text(), "data: ")
		if event == "[DONE]" {
			a.complete = true
		}
		if a.addEvent(event) && onToken != nil {
			onToken(a.tokens)
		}
	}
	a.err = lines.Err()
	return a
}

// addEvent adds one event of the stream and reports whether it carried a token.
func (a *answer) addEvent(event string) bool {
	var frame struct {
		Choices []struct {
			Delta rockhttp.ChatDelta `json:"delta"`
		} `json:"choices"`
		Error rockhttp.ErrorDetail `json:"error"`
	}
	if json.Unmarshal([]byte(event), &frame) != nil {
		return false
	}
	if frame.Error.Code != "" {
		a.code, a.ran = string(frame.Error.Code), string(frame.Error.Ran)
	}
	if len(frame.Choices) == 0 || frame.Choices[0].Delta.Content == "" {
		return false
	}
	a.text += frame.Choices[0].Delta.Content
	a.tokens++
	return true
}

// callService sends one application call to a host.
func (f *fleet) callService(h *host, key string, number int) answer {
	return f.callServiceWithin(h, conditionTimeout, key, number)
}

func (f *fleet) callServiceWithin(h *host, timeout time.Duration, key string, number int) (a answer) {
	response, err := f.post(h, timeout, "/v1/services/squares/squares", key, fmt.Appendf(nil, `{"number":%d}`, number))
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.status, a.body, a.err = response.StatusCode, string(body), err
	a.addEvent(a.body)
	a.complete = err == nil && a.status == http.StatusCreated
	return a
}

func (f *fleet) post(h *host, timeout time.Duration, path, key string, body []byte) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	f.t.Cleanup(cancel)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.settings.CallersAddress+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	// Only the test resends requests. Without this, net/http would retry a request with an
	// idempotency key by itself.
	r.GetBody, r.Close = nil, true
	return f.httpClient.Do(r)
}

// resendChat sends a request to one host after the other, beginning with host i, until an answer is
// complete. It also returns how many times the request was sent.
func (f *fleet) resendChat(i int, prompt string, maxTokens int, onToken func(n int)) (a answer, sent int) {
	for end := time.Now().Add(conditionTimeout); time.Now().Before(end); i++ {
		a = f.chat(f.hosts[i%len(f.hosts)], prompt, maxTokens, onToken)
		sent++
		if !a.needsResend() {
			return a, sent
		}
		time.Sleep(50 * time.Millisecond) // as a caller does that has to retry later
	}
	return a, sent
}

// check fails the test unless the answer is complete and equal to that of a run without faults, or
// ends with one of the reason codes.
func (f *fleet) check(a answer, prompt string, maxTokens int, codes ...string) {
	f.t.Helper()
	if !a.complete && slices.Contains(codes, a.code) {
		f.t.Logf("answer to %q: %d tokens, code %q", prompt, a.tokens, a.code)
		return
	}
	text := rockhttp.FormatPrompt([]rockhttp.ChatMessage{{Role: "user", Content: prompt}})
	want := strings.Join(rockstandin.ExpectedTexts(model, layers, text, maxTokens), "")
	if !a.complete || a.text != want {
		f.t.Errorf("answer to %q: got status %d, complete %t, code %q, error %v, %d bytes; want the %d bytes of a run without faults",
			prompt, a.status, a.complete, a.code, a.err, len(a.text), len(want))
	}
}

// startStreams sends n requests at once, spread over the hosts, and returns when each has received
// waitTokens tokens. The returned group is done when every answer has ended and was checked with
// the reason codes, as by check.
func (f *fleet) startStreams(hosts []*host, n, tokens, waitTokens int, codes ...string) *sync.WaitGroup {
	f.t.Helper()
	var group sync.WaitGroup
	var count atomic.Int32
	for i := range n {
		group.Go(func() {
			prompt := fmt.Sprintf("a long answer %d", i)
			a := f.chat(hosts[i%len(hosts)], prompt, tokens, func(got int) {
				if got == waitTokens {
					count.Add(1)
				}
			})
			f.check(a, prompt, tokens, codes...)
		})
	}
	eventually(f.t, "all streams have started", func() bool { return int(count.Load()) == n })
	return &group
}

// waitForRequests waits until the hosts have at least n requests and calls in total.
func (f *fleet) waitForRequests(n int) {
	f.t.Helper()
	eventually(f.t, fmt.Sprintf("hosts have %d requests", n), func() bool {
		requests := 0
		for _, h := range f.hosts {
			if s, err := f.status(h); err == nil {
				requests += int(s.GetRequests())
			}
		}
		return requests >= n
	})
}
