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
	// maxLineBytes is the longest line of an event stream that is accepted.
	maxLineBytes = 1 << 20
	// maxAnswerBytes is the longest text of an answer that is kept.
	maxAnswerBytes = 1 << 20
	// maxRefusalBytes bounds the bytes that are read of the body of an error response.
	maxRefusalBytes = 64 << 10
)

// Result is the outcome of one request.
type Result struct {
	Share           int    // index in Plan.Mix
	RefusalCode     string // reason code of a refusal; empty if the request was not refused
	Err             error  // the request was neither answered completely nor refused
	CheckErr        error  // the complete answer failed Generator.Check
	WithinTarget    bool   // the answer reports that it met the rank's target
	Answer          string
	Tokens          int
	FirstTokenDelay time.Duration // from the scheduled time to the first token
	Gaps            []time.Duration
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

// request sends one request and reads its stream. The latency of the first token is measured from the
// scheduled time.
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
		result.CheckErr = g.Check(g.Plan.Mix[a.Share], a.Prompt, result.Answer)
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

// readRefusal sets RefusalCode if the error response states that the request did not run, and Err for
// every other error response.
func (r *Result) readRefusal(response *http.Response) {
	var body struct {
		Error chatError `json:"error"`
	}
	// A body that is not JSON leaves the code empty.
	_ = json.NewDecoder(io.LimitReader(response.Body, maxRefusalBytes)).Decode(&body)
	if body.Error.Ran == "notRun" && body.Error.Code != "" {
		r.RefusalCode = body.Error.Code
		return
	}
	r.Err = eris.Errorf("status %d, code %q", response.StatusCode, body.Error.Code)
}

// readStream reads server-sent events up to the [DONE] event. An answer without this event is incomplete.
func (r *Result) readStream(body io.Reader, scheduled time.Time, now func() time.Time) error {
	var answer strings.Builder
	defer func() { r.Answer = answer.String() }()
	last := scheduled
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data:")
		if !found {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			return nil
		}
		var event chatEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return eris.Wrap(err, "decode event")
		}
		if event.Error != nil {
			return eris.Errorf("stream ended with error code %q", event.Error.Code)
		}
		if event.Outcome != nil {
			r.WithinTarget = event.Outcome.Kept
		}
		if len(event.Choices) > 0 && event.Choices[0].Delta.Content != "" {
			if answer.Len() > maxAnswerBytes {
				return eris.Errorf("answer longer than %d bytes", maxAnswerBytes)
			}
			answer.WriteString(event.Choices[0].Delta.Content)
			last = r.recordToken(last, now())
		}
	}
	if err := lines.Err(); err != nil {
		return eris.Wrap(err, "read stream")
	}
	return eris.New("stream ended without a [DONE] event")
}

// recordToken records the time from the last token to this one, and for the first token the time from
// the scheduled time. It returns now, which is the value of last for the next token.
func (r *Result) recordToken(last, now time.Time) time.Time {
	delay := now.Sub(last)
	if r.Tokens == 0 {
		r.FirstTokenDelay = delay
	} else {
		r.Gaps = append(r.Gaps, delay)
	}
	r.Tokens++
	return now
}
