package rocklog

import (
	"bytes"
	"io"
	"log/slog"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// Guards against requests that block because nobody reads the log: a write to a full pipe blocks.
func TestFullPipeDoesNotBlock(t *testing.T) {
	r, p, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	defer p.Close()
	w := New(p, WithRate(1e9, 1e9))
	log := slog.New(slog.NewJSONHandler(w, nil))
	const lines = 3 * queueLines
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range lines {
			log.Info("request ended", "number", i, "text", strings.Repeat("x", 200))
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("logging blocked for 20 s while nobody read the pipe")
	}
	if w.Omitted() == 0 {
		t.Error("Omitted() = 0, want more than 0")
	}
	read := make(chan string)
	go func() {
		var text strings.Builder
		buf := make([]byte, 1<<16)
		for !strings.Contains(text.String(), "log lines left out") {
			n, err := r.Read(buf)
			if err != nil {
				break
			}
			text.Write(buf[:n])
		}
		read <- text.String()
	}()
	select {
	case <-read:
	case <-time.After(20 * time.Second):
		t.Error("no line reported the number of omitted lines within 20 s")
	}
}

// Guards against a log volume that grows with the load without a bound.
func TestRateIsBounded(t *testing.T) {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	w := New(io.Discard, WithClock(func() time.Time { return now }), WithRate(10, 20))
	defer w.Close()
	accepted := func(n int) int {
		before := w.Omitted()
		for range n {
			if _, err := w.Write([]byte("x\n")); err != nil {
				t.Fatal(err)
			}
		}
		return n - int(w.Omitted()-before)
	}
	if n := accepted(100); n != 20 {
		t.Errorf("accepted %d lines of a burst, want 20", n)
	}
	now = now.Add(time.Second)
	if n := accepted(100); n != 10 {
		t.Errorf("accepted %d lines after a second, want 10", n)
	}
}

// Guards against queued lines that are lost when the program ends.
func TestCloseWritesQueuedLines(t *testing.T) {
	var out syncBuffer
	w := New(&out)
	for range 100 {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	w.Close()
	if n := strings.Count(out.String(), "line\n"); n != 100 {
		t.Errorf("Close wrote %d lines, want 100", n)
	}
}
