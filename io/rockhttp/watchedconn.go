package rockhttp

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/io/rockmemory"
)

// phase is what a connection is doing.
type phase int

const (
	phaseIdle phase = iota
	phaseHead
	phaseBody    // of a request that no backend server has
	phaseRequest // the request may be at a backend server, or is being answered
)

// watchedConn is a connection of a caller. Its timer closes it while it is idle or receives a head.
type watchedConn struct {
	net.Conn
	connections *Connections
	address     string              // source, without the port
	held        *rockmemory.Holding // of the connection
	head        *rockmemory.Holding // of the head, until the handler counts it; its caller is not known before

	isRefused atomic.Bool // its head was refused

	mu        sync.Mutex
	phase     phase
	isUsed    bool // a head has begun
	isEvicted bool // its memory is needed for others; cleared when the request is refused
	count     headCount
	tailLines int // in the last data that net/http has read, which may be the begin of the next head
	progress  progress
	body      *rockmemory.Holding // of the request whose body is being received
	period    int                 // number of the present time limit; a timer of an earlier one has no effect
	timer     *time.Timer         // nil while a request is handled
}

// Read counts the lines of a head before net/http parses them, and refuses a head that is too long or that there is no room
// for. After a refusal it fails each time, as bufio keeps the first error to itself when it has a part of a line.
func (w *watchedConn) Read(p []byte) (int, error) {
	if w.isRefused.Load() {
		return 0, errRefusedHead
	}
	n, err := w.Conn.Read(p)
	if n > 0 {
		if code := w.receive(p[:n], len(p) == 1); code != "" {
			w.refuseHead(code)
			return 0, errRefusedHead
		}
	}
	if err != nil && w.isEvictedIn(phaseHead) {
		w.refuseHead(rockreason.MemoryFull)
		return 0, errRefusedHead
	}
	return n, err
}

// SetReadDeadline has no effect on a connection whose reads have been ended to make room, or whose head was refused.
func (w *watchedConn) SetReadDeadline(t time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isEvicted || w.isRefused.Load() {
		return nil
	}
	return w.Conn.SetReadDeadline(t)
}

// Write drops what net/http answers to a head that was refused.
func (w *watchedConn) Write(p []byte) (int, error) {
	if w.isRefused.Load() {
		return 0, net.ErrClosed
	}
	return w.Conn.Write(p)
}

// Close closes the connection, which then no longer counts. A connection whose head was refused stays open until its caller
// has had time to read the answer.
func (w *watchedConn) Close() error {
	w.head.Close()
	if w.isRefused.Load() {
		return nil
	}
	return w.end()
}

// end closes the connection in any case.
func (w *watchedConn) end() error {
	w.connections.forget(w)
	w.held.Close()
	return w.Conn.Close()
}

// beginIdle begins the time between two requests. Lines that net/http has read with the request before may belong to the
// next head, which it then parses without another read.
func (w *watchedConn) beginIdle() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.head.Release()
	w.phase, w.count, w.body = phaseIdle, headCount{lines: w.tailLines}, nil
	w.progress = beginProgress(time.Now())
	if !w.head.Reserve(w.count.parsedBytes()) {
		_ = w.Conn.Close()
		return
	}
	w.limit(w.connections.idleTimeout)
}

// beginRequest ends the time limit of a head or of an idle connection. The head counts until the handler counts it.
func (w *watchedConn) beginRequest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.phase, w.isEvicted = phaseRequest, false
	w.stopTimer()
}

// takeHead reserves memory for a request, instead of that for its parsed head, which counts again if there is no room.
func (w *watchedConn) takeHead(held *rockmemory.Holding, n int64) bool {
	if w == nil {
		return held.Reserve(n)
	}
	parsed := w.head.Bytes()
	w.head.Release()
	if held.Reserve(n) || w.makeRoom(held, n) && held.Reserve(n) {
		return true
	}
	w.head.Add(parsed)
	return false
}

// dropHead gives up the header of a request that is refused.
func (w *watchedConn) dropHead(r *http.Request) {
	r.Header = nil
	if w != nil {
		w.head.Release()
	}
}

// beginBody makes the connection one that may be closed for others until endBody.
func (w *watchedConn) beginBody(held *rockmemory.Holding) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.phase, w.body, w.progress = phaseBody, held, beginProgress(time.Now())
}

// endBody reports whether the body was ended to make room for others.
func (w *watchedConn) endBody() (isEvicted bool) {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	isEvicted = w.isEvicted
	w.phase, w.body, w.isEvicted = phaseRequest, nil, false
	return isEvicted
}

// makeRoom is Connections.makeRoom for the request of this connection.
func (w *watchedConn) makeRoom(held *rockmemory.Holding, n int64) bool {
	return w != nil && w.connections.makeRoom(w, held, n)
}

func (w *watchedConn) isEvictedIn(p phase) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isEvicted && w.phase == p
}

// receive counts received data and returns a code if it is part of a head that is refused. Background tells that net/http
// reads a single byte while a request is handled, which it keeps with what it has read before.
func (w *watchedConn) receive(data []byte, background bool) rockreason.Code {
	missing, code := w.countData(data, background)
	if code != "" || missing <= 0 || w.head.Reserve(missing) || w.makeRoom(w.head, missing) && w.head.Reserve(missing) {
		return code
	}
	return rockreason.MemoryFull
}

// countData counts received data and returns the memory that the head needs beside what is reserved for it.
func (w *watchedConn) countData(data []byte, background bool) (missing int64, code rockreason.Code) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.phase == phaseIdle {
		w.phase, w.isUsed, w.progress = phaseHead, true, beginProgress(now)
		w.limit(w.connections.headTimeout)
	}
	w.progress.add(now, len(data))
	if w.phase == phaseHead && !w.count.ended {
		data, background = w.count.add(data), false
		if w.count.isTooLong(w.connections.maxHeadBytes()) {
			return 0, rockreason.HeadTooLong
		}
		missing = w.count.parsedBytes() - w.head.Bytes()
	}
	lines := bytes.Count(data, []byte{'\n'})
	if background {
		lines += w.tailLines
	}
	w.tailLines = lines
	return missing, ""
}

// refuseHead answers a request whose head is not complete, and reads on for a while: a caller that still sends when the
// connection closes may see only that. It does so in a goroutine, so that net/http gives up what it has parsed.
func (w *watchedConn) refuseHead(code rockreason.Code) {
	w.beginRequest()
	if w.connections.RefuseHead == nil {
		return
	}
	w.isRefused.Store(true)
	refusal := headRefusal{header: http.Header{"Connection": {"close"}}}
	w.connections.RefuseHead(&refusal, code)
	_ = w.Conn.SetDeadline(time.Now().Add(dropTimeout))
	go func() {
		defer w.end()
		if refusal.writeTo(w.Conn) == nil {
			_, _ = io.Copy(io.Discard, w.Conn)
		}
	}()
}

// limit closes the connection after the timeout unless another period begins before.
func (w *watchedConn) limit(timeout func() time.Duration) {
	w.stopTimer()
	begin, period := time.Now(), w.period
	w.timer = time.AfterFunc(timeout(), func() { w.closeAfter(period, begin, timeout) })
}

// closeAfter closes the connection if the period has not ended, or waits for the rest of a limit that has been raised.
func (w *watchedConn) closeAfter(period int, begin time.Time, timeout func() time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.period != period {
		return
	}
	if left := timeout() - time.Since(begin); left > 0 {
		w.timer.Reset(left)
		return
	}
	if w.phase == phaseHead {
		go w.connections.note(rockreason.RequestTooSlow) // not under the mutex
	}
	_ = w.Conn.Close()
}

// stopTimer ends the period.
func (w *watchedConn) stopTimer() {
	w.period++
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}
