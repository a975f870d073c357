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

// answer is what a caller got.
type answer struct {
	status int // 0 if the connection broke before
	body   string
	text   string // of the tokens
	tokens int
	code   string // of an error
	ran    string
	whole  bool
	err    error // of the connection
}

// refusedOrBroken reports whether a caller would resend the request.
func (a answer) refusedOrBroken() bool { return a.err != nil || a.code != "" || !a.whole }

// chatBody returns the body of a streamed request.
func chatBody(prompt string, maxTokens int) []byte {
	body, err := json.Marshal(map[string]any{
		"model": model, "rank": "urgent", "stream": true, "max_tokens": maxTokens,
		"messages": []rockhttp.ChatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		panic(err) // the body has no value that JSON can't hold
	}
	return body
}

// chat sends one streamed request to a host; each is called when a token arrives.
func (f *fleet) chat(h *host, prompt string, maxTokens int, each func(n int)) (a answer) {
	response, err := f.post(h, patience, "/v1/chat/completions", "", chatBody(prompt, maxTokens))
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		event := strings.TrimPrefix(lines.Text(), "data: ")
		if event == "[DONE]" {
			a.whole = true
		}
		if a.take(event) && each != nil {
			each(a.tokens)
		}
	}
	a.err = lines.Err()
	return a
}

// take adds one event and reports whether it carried a token.
func (a *answer) take(event string) bool {
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

// call sends one application call to a host.
func (f *fleet) call(h *host, key string, number int) answer {
	return f.callWithin(h, patience, key, number)
}

func (f *fleet) callWithin(h *host, limit time.Duration, key string, number int) (a answer) {
	response, err := f.post(h, limit, "/v1/services/squares/squares", key, fmt.Appendf(nil, `{"number":%d}`, number))
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.status, a.body, a.err = response.StatusCode, string(body), err
	a.take(a.body)
	a.whole = err == nil && a.status == http.StatusCreated
	return a
}

func (f *fleet) post(h *host, limit time.Duration, path, key string, body []byte) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
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
	// The test decides on resends; net/http would repeat a request with a key by itself.
	r.GetBody, r.Close = nil, true
	return f.client.Do(r)
}

// resendChat sends a request to one host after the other, beginning with the i-th, until its answer is whole.
func (f *fleet) resendChat(i int, prompt string, maxTokens int, each func(n int)) (a answer, sent int) {
	for end := time.Now().Add(patience); time.Now().Before(end); i++ {
		a = f.chat(f.hosts[i%len(f.hosts)], prompt, maxTokens, each)
		sent++
		if !a.refusedOrBroken() {
			return a, sent
		}
		time.Sleep(50 * time.Millisecond) // as a caller that is told to try again later
	}
	return a, sent
}

// check fails the test unless the answer is whole and that of an undisturbed run, or ends with one of the codes.
func (f *fleet) check(a answer, prompt string, maxTokens int, codes ...string) {
	f.t.Helper()
	if !a.whole && slices.Contains(codes, a.code) {
		f.t.Logf("answer to %q: %d tokens, code %q", prompt, a.tokens, a.code)
		return
	}
	text := rockhttp.Prompt([]rockhttp.ChatMessage{{Role: "user", Content: prompt}})
	want := strings.Join(rockstandin.Expected(model, layers, text, maxTokens), "")
	if !a.whole || a.text != want {
		f.t.Errorf("answer to %q: status %d, whole %t, code %q, error %v, %d bytes; want the %d bytes of an undisturbed run",
			prompt, a.status, a.whole, a.code, a.err, len(a.text), len(want))
	}
}

// streams sends n requests at once over some hosts, returns when each of them has got the given number of tokens, and checks in the background that every answer is whole or ends with one of the codes.
func (f *fleet) streams(hosts []*host, n, tokens, begun int, codes ...string) *sync.WaitGroup {
	f.t.Helper()
	var group sync.WaitGroup
	var count atomic.Int32
	for i := range n {
		group.Go(func() {
			prompt := fmt.Sprintf("a long answer %d", i)
			a := f.chat(hosts[i%len(hosts)], prompt, tokens, func(got int) {
				if got == begun {
					count.Add(1)
				}
			})
			f.check(a, prompt, tokens, codes...)
		})
	}
	eventually(f.t, "the streams have begun", func() bool { return int(count.Load()) == n })
	return &group
}

// holding waits until the hosts hold at least n requests and calls together.
func (f *fleet) holding(n int) {
	f.t.Helper()
	eventually(f.t, fmt.Sprintf("the hosts hold %d requests", n), func() bool {
		held := 0
		for _, h := range f.hosts {
			if s, err := f.status(h); err == nil {
				held += int(s.GetRequests())
			}
		}
		return held >= n
	})
}
