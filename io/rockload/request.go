package rockload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxLine is the longest line of an event stream, in bytes.
	maxLine = 1 << 20
	// maxRefusal is the longest body of a refusal that is read, in bytes.
	maxRefusal = 64 << 10
)

// Result is how one request ended.
type Result struct {
	Share      int
	Refused    string // code of the refusal; empty if it was not refused
	Err        error  // neither a complete answer nor a refusal
	Wrong      error  // a complete answer that did not pass the check
	Kept       bool   // within the rank's target, as the answer says
	Answer     string
	Tokens     int
	FirstToken time.Duration // since the scheduled time
	Gaps       []time.Duration
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Rank      string        `json:"rank"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Outcome *struct {
		Kept bool `json:"kept"`
	} `json:"outcome"`
	Error *chatError `json:"error"`
}

type chatError struct {
	Code string `json:"code"`
	Ran  string `json:"ran"`
}

// request sends one request and reads its stream; scheduled is the time that latencies are measured from.
func (g *Generator) request(ctx context.Context, a Arrival, scheduled time.Time) Result {
	result := Result{Share: a.Share}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(g.Plan.TimeoutMs)*time.Millisecond)
	defer cancel()
	r, err := g.newRequest(ctx, a)
	if err != nil {
		result.Err = err
		return result
	}
	response, err := g.client.Do(r)
	if err != nil {
		result.Err = eris.Wrap(err, "send")
		return result
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		result.readRefusal(response)
		return result
	}
	result.Err = result.readStream(response.Body, scheduled, g.now)
	if result.Err == nil && g.Check != nil {
		result.Wrong = g.Check(g.Plan.Mix[a.Share], a.Prompt, result.Answer)
	}
	return result
}

func (g *Generator) newRequest(ctx context.Context, a Arrival) (*http.Request, error) {
	share := g.Plan.Mix[a.Share]
	body, err := json.Marshal(chatRequest{
		Model:     g.Plan.Model,
		Messages:  []chatMessage{{Role: "user", Content: a.Prompt}},
		MaxTokens: share.MaxTokens,
		Stream:    true,
		Rank:      share.Rank,
	})
	if err != nil {
		return nil, eris.Wrap(err, "encode")
	}
	target := strings.TrimSuffix(g.Plan.Targets[a.Target], "/")
	if !strings.Contains(target, "://") {
		target = "http://" + target
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "address")
	}
	r.Header.Set("Authorization", "Bearer "+share.Token)
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

// readRefusal takes the code of a response that says that the request did not run; every other error response is a failure.
func (r *Result) readRefusal(response *http.Response) {
	var body struct {
		Error chatError `json:"error"`
	}
	// A body that is no JSON leaves the code empty.
	_ = json.NewDecoder(io.LimitReader(response.Body, maxRefusal)).Decode(&body)
	if body.Error.Ran == "notRun" && body.Error.Code != "" {
		r.Refused = body.Error.Code
		return
	}
	r.Err = eris.Errorf("status %d, code %q", response.StatusCode, body.Error.Code)
}

// readStream reads server-sent events up to the end mark, without which an answer is not complete.
func (r *Result) readStream(body io.Reader, scheduled time.Time, now func() time.Time) error {
	var answer strings.Builder
	defer func() { r.Answer = answer.String() }()
	last := scheduled
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data:")
		if !isData {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			return nil
		}
		var event chatEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return eris.Wrap(err, "decode an event")
		}
		if event.Error != nil {
			return eris.Errorf("stream ended with code %q", event.Error.Code)
		}
		if event.Outcome != nil {
			r.Kept = event.Outcome.Kept
		}
		if len(event.Choices) > 0 && event.Choices[0].Delta.Content != "" {
			answer.WriteString(event.Choices[0].Delta.Content)
			last = r.addToken(last, now())
		}
	}
	if err := lines.Err(); err != nil {
		return eris.Wrap(err, "read the stream")
	}
	return eris.New("the stream ended before its end mark")
}

// addToken records the delay of a token since the last one, or of the first since the scheduled time.
func (r *Result) addToken(last, now time.Time) time.Time {
	delay := now.Sub(last)
	if r.Tokens == 0 {
		r.FirstToken = delay
	} else {
		r.Gaps = append(r.Gaps, delay)
	}
	r.Tokens++
	return now
}
