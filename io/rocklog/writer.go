package rocklog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLines is the number of lines that wait for a slow reader.
	queueLines = 2048
	// linesPerSecond and burstLines bound the volume: a request has a few lines, and writing them costs processor time.
	linesPerSecond = 400
	burstLines     = 2000
	// noteEvery is the time between lines that tell how many were left out.
	noteEvery = time.Second
	// closeTimeout bounds the wait for a slow reader at the end.
	closeTimeout = 500 * time.Millisecond
)

// Writer is an io.Writer for one log line at a time, safe for concurrent use.
type Writer struct {
	out     io.Writer
	now     func() time.Time
	limit   *rate.Limiter
	lines   chan []byte
	omitted atomic.Int64
	stop    chan struct{}
	once    sync.Once
	done    chan struct{}
}

// Option changes a Writer while it is made.
type Option func(*Writer)

// WithClock replaces the system's clock.
func WithClock(now func() time.Time) Option { return func(w *Writer) { w.now = now } }

// WithRate replaces the number of lines a second, and of lines at once, beyond which lines are left out.
func WithRate(perSecond float64, burst int) Option {
	return func(w *Writer) { w.limit = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// New returns a Writer that passes lines to out until Close.
func New(out io.Writer, options ...Option) *Writer {
	w := &Writer{
		out: out, now: time.Now, limit: rate.NewLimiter(linesPerSecond, burstLines),
		lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{}),
	}
	for _, option := range options {
		option(w)
	}
	go w.run()
	return w
}

// Write queues a line, or counts it as left out; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limit.AllowN(w.now(), 1) {
		w.omitted.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.omitted.Add(1)
	}
	return len(line), nil
}

// Omitted returns the number of lines that were left out since the last line that told of it.
func (w *Writer) Omitted() int64 { return w.omitted.Load() }

// Close writes the lines that wait, unless the reader does not take them in time.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(noteEvery)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-ticker.C:
			w.note()
		case <-w.stop:
			for len(w.lines) > 0 {
				w.write(<-w.lines)
			}
			w.note()
			return
		}
	}
}

// write passes a line on; a reader that is gone takes no more lines, and there is nobody to tell.
func (w *Writer) write(line []byte) { _, _ = w.out.Write(line) }

// note tells how many lines were left out, if any.
func (w *Writer) note() {
	if n := w.omitted.Swap(0); n > 0 {
		w.write(fmt.Appendf(nil, `{"time":%q,"level":"WARN","msg":"log lines left out","count":%d}`+"\n", w.now().UTC().Format(time.RFC3339Nano), n))
	}
}
