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

// buffer is a bytes.Buffer for several goroutines.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// Guards against requests that wait because nobody reads the log: a pipe that is full takes nothing.
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
		t.Fatal("logging blocks while nobody reads")
	}
	if w.Omitted() == 0 {
		t.Error("no line was left out")
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
		t.Error("no line tells how many were left out")
	}
}

// Guards against a volume of lines that grows with the load without a bound.
func TestRateIsBounded(t *testing.T) {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	w := New(io.Discard, WithClock(func() time.Time { return now }), WithRate(10, 20))
	defer w.Close()
	kept := func(n int) int {
		before := w.Omitted()
		for range n {
			if _, err := w.Write([]byte("x\n")); err != nil {
				t.Fatal(err)
			}
		}
		return n - int(w.Omitted()-before)
	}
	if n := kept(100); n != 20 {
		t.Errorf("%d lines of a burst, want 20", n)
	}
	now = now.Add(time.Second)
	if n := kept(100); n != 10 {
		t.Errorf("%d lines after a second, want 10", n)
	}
}

// Guards against lines that are lost at the end of the program.
func TestCloseWritesWhatWaits(t *testing.T) {
	var out buffer
	w := New(&out)
	for range 100 {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	w.Close()
	if n := strings.Count(out.String(), "line\n"); n != 100 {
		t.Errorf("%d lines, want 100", n)
	}
}
