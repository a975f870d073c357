package rockrelay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// lines is a log of JSON lines, for several goroutines.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// of returns the lines of a request, each as its message followed by its reason.
func (l *lines) of(t *testing.T, request string) []string {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for line := range strings.Lines(l.b.String()) {
		var fields struct{ Msg, Request, Reason string }
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		if fields.Request == request {
			found = append(found, strings.TrimSpace(fields.Msg+" "+fields.Reason))
		}
	}
	return found
}

// Guards against a failed request that nobody can explain afterwards: each kind must lead from its id to its cause.
func TestLogExplainsAFailure(t *testing.T) {
	for name, c := range map[string]struct {
		run  func(t *testing.T, b *bench)
		want []string
	}{
		"refused": {func(t *testing.T, b *bench) {
			b.answer(rocktable.Answer{Reason: rockreason.Shed})
		}, []string{"request ended shed"}},
		"cut": {func(t *testing.T, b *bench) {
			b.answers <- ok(broken(event(1), errors.New("reset")))
			b.start(1)
			until(t, b, endings)
			b.answer(rocktable.Answer{Reason: rockreason.RetryBudget})
		}, []string{"attempt started", "attempt failed stageDied", "request ended retryBudget"}},
		"late": {func(t *testing.T, b *bench) {
			b.Waiting = func(context.Context, string) (map[string]string, error) { return map[string]string{"a": "r2:80"}, nil }
			r, w := io.Pipe()
			b.answers <- ok(r)
			b.start(1)
			if _, err := io.WriteString(w, event(1)); err != nil {
				t.Error(err)
			}
			stall := until(t, b, func(in rocktable.Inbox) []rocktable.Stall { return in.Stalls })
			b.Carry(rocktable.Outbox{Repaths: []rocktable.Repath{{Request: 1, Attempt: stall.Attempt, Path: []rocktable.Stage{{Server: 1, Name: "r1", LastLayer: 3}}}}})
			if _, err := io.WriteString(w, event(2)); err != nil {
				t.Error(err)
			}
			_ = w.Close()
			until(t, b, endings)
			b.answer(rocktable.Answer{})
		}, []string{"attempt started", "attempt stalled", "attempt moved", "request ended"}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, streaming)
			log := &lines{}
			b.Log = slog.New(slog.NewJSONHandler(log, nil))
			who := b.ask(t.Context(), Request{ID: "a"})
			until(t, b, arrivals)
			c.run(t, b)
			<-who.done
			missing := func() []string {
				var left []string
				got := log.of(t, "a")
				for _, want := range c.want {
					if !slices.Contains(got, want) {
						left = append(left, want)
					}
				}
				return left
			}
			for end := time.Now().Add(20 * time.Second); len(missing()) > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("no line %q among %q", missing(), log.of(t, "a"))
				}
			}
		})
	}
}
