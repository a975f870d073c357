package rockdemo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/io/rockload"
	"sassafrasrock/io/rockresponse"
	"sassafrasrock/io/rockstandin"
)

const (
	callTimeout    = 10 * time.Second
	callAttempts   = 20
	callRetryDelay = 300 * time.Millisecond
	// maxResponseBytes is several times the counts of a long demonstration.
	maxResponseBytes = 4 << 20
)

// client sends the application calls and those to the stand-in.
var client = &http.Client{Transport: rockresponse.New(new(http.Transport), rockresponse.WithMaxBodyBytes(maxResponseBytes))}

// callSender sends application calls, each twice with the same idempotency key and to two hosts.
type callSender struct {
	plan     rockload.Plan
	control  string
	matching int // answers equal to the first answer for their key
	ranOnce  int // keys whose call was executed exactly once
}

func (c *callSender) run(ctx context.Context, n int) error {
	bodies := make([]string, n)
	for i := range n {
		for resend := range 2 {
			target := c.plan.Targets[(i+resend)%len(c.plan.Targets)]
			body, err := c.send(ctx, target, i)
			if err != nil {
				return err
			}
			if resend == 0 {
				bodies[i] = body
			}
			if body == bodies[i] {
				c.matching++
			}
		}
	}
	return c.countRuns(ctx, n)
}

func idempotencyKey(i int) string { return fmt.Sprintf("demo-%d", i) }

// send sends a call and returns the body of its answer. It retries while the call is refused as not
// executed (status 503 or 409), as a caller would.
func (c *callSender) send(ctx context.Context, target string, i int) (string, error) {
	var last string
	for range callAttempts {
		status, body, err := c.post(ctx, target, i)
		if err != nil {
			return "", err
		}
		if status < 300 {
			return body, nil
		}
		last = fmt.Sprintf("status %d: %.200s", status, body)
		if status != http.StatusServiceUnavailable && status != http.StatusConflict {
			break
		}
		select {
		case <-ctx.Done():
			return "", ctx.Err()
		case <-time.After(callRetryDelay):
		}
	}
	return "", eris.Wrapf(ErrIncorrect, "call %s: %s", idempotencyKey(i), last)
}

func (c *callSender) post(ctx context.Context, target string, i int) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body := fmt.Sprintf(`{"number":%d}`, i)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/v1/services/squares/squares", bytes.NewBufferString(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Authorization", "Bearer "+c.plan.Mix[0].Token)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Idempotency-Key", idempotencyKey(i))
	response, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, string(answer), err
}

// countRuns reads the stand-in's counters and counts the keys whose call was executed exactly once.
func (c *callSender) countRuns(ctx context.Context, n int) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.control+"/v1/counts", nil)
	if err != nil {
		return err
	}
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var counts rockstandin.Counts
	if err := json.NewDecoder(response.Body).Decode(&counts); err != nil {
		return err
	}
	for i := range n {
		if counts.Runs[idempotencyKey(i)] == 1 {
			c.ranOnce++
		}
	}
	return nil
}

func postJSON(ctx context.Context, url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= 300 {
		answer, _ := io.ReadAll(response.Body) // a part of the text is enough
		return eris.Errorf("status %d: %.200s", response.StatusCode, answer)
	}
	return nil
}
