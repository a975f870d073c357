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
	// queueLines is the number of lines that are queued for a slow reader.
	queueLines = 2048
	// linesPerSecond and burstLines bound the volume of the log: each request logs a few lines, and writing
	// them costs processor time.
	linesPerSecond = 400
	burstLines     = 2000
	// omittedReportInterval is the time between lines that report the number of omitted lines.
	omittedReportInterval = time.Second
	// closeTimeout bounds the wait for a slow reader in Close.
	closeTimeout = 500 * time.Millisecond
)

// Writer is an io.Writer that takes one log line in each Write. It is safe for concurrent use.
type Writer struct {
	out      io.Writer
	now      func() time.Time
	limiter  *rate.Limiter
	queue    chan []byte
	omitted  atomic.Int64
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
}

// Option configures a Writer in New.
type Option func(*Writer)

// WithClock replaces the system clock.
func WithClock(now func() time.Time) Option { return func(w *Writer) { w.now = now } }

// WithRate sets the rate limit, in lines per second and lines in a burst, above which lines are omitted.
func WithRate(perSecond float64, burst int) Option {
	return func(w *Writer) { w.limiter = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// New returns a Writer that writes lines to out until Close.
func New(out io.Writer, options ...Option) *Writer {
	w := &Writer{
		out: out, now: time.Now, limiter: rate.NewLimiter(linesPerSecond, burstLines),
		queue: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{}),
	}
	for _, option := range options {
		option(w)
	}
	go w.run()
	return w
}

// Write queues the line, or counts it as omitted. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.AllowN(w.now(), 1) {
		w.omitted.Add(1)
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.omitted.Add(1)
	}
	return len(line), nil
}

// Omitted returns the number of lines omitted since the last line that reported such a number.
func (w *Writer) Omitted() int64 { return w.omitted.Load() }

// Close writes the queued lines. It returns after closeTimeout if the reader has not taken them by then.
func (w *Writer) Close() {
	w.stopOnce.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(omittedReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.queue:
			w.write(line)
		case <-ticker.C:
			w.reportOmitted()
		case <-w.stop:
			for len(w.queue) > 0 {
				w.write(<-w.queue)
			}
			w.reportOmitted()
			return
		}
	}
}

// write ignores errors: once the reader of the log is gone, there is nowhere left to report them.
func (w *Writer) write(line []byte) { _, _ = w.out.Write(line) }

// reportOmitted writes a line with the number of omitted lines, unless it is 0.
func (w *Writer) reportOmitted() {
	if n := w.omitted.Swap(0); n > 0 {
		w.write(fmt.Appendf(nil, `{"time":%q,"level":"WARN","msg":"log lines left out","count":%d}`+"\n", w.now().UTC().Format(time.RFC3339Nano), n))
	}
}
