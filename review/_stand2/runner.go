package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// runnerOptions say how a runner process behaves.
type runnerOptions struct {
	name, address string
	born          int64
	model         bool
	workMs        int  // time of a run before its answer
	parts         int  // parts of an answer of a plain service; events of a stream
	partMs        int  // pause after each part
	unframed      bool // answers have neither a length nor chunks and end with the channel
	leave         bool // at SIGTERM it closes its listener, ends what it serves, and exits
}

// runner is a stand-in for a runner. It serves one request on a channel and writes a line for each run to its output.
type runner struct {
	runnerOptions
	mu     sync.Mutex
	orders int
	layers map[string]any
	active atomic.Int64

	stalled map[string]string // address of the runner that a request waits for, by its id
}

func runRunner(args []string) error {
	r := &runner{stalled: make(map[string]string)}
	f := flag.NewFlagSet("runner", flag.ContinueOnError)
	f.StringVar(&r.name, "name", "", "")
	f.StringVar(&r.address, "address", "127.0.0.1:0", "")
	f.Int64Var(&r.born, "born", 0, "")
	f.BoolVar(&r.model, "model", false, "")
	f.IntVar(&r.workMs, "work", 30, "")
	f.IntVar(&r.parts, "parts", 1, "")
	f.IntVar(&r.partMs, "part-ms", 0, "")
	f.BoolVar(&r.unframed, "unframed", false, "")
	f.BoolVar(&r.leave, "leave", false, "")
	if err := f.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	fmt.Println("listening " + l.Addr().String())
	var leaving atomic.Bool
	if r.leave {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM)
		go func() {
			<-signals
			leaving.Store(true)
			_ = l.Close()
		}()
	}
	var serving sync.WaitGroup
	for {
		conn, err := l.Accept()
		if leaving.Load() {
			serving.Wait()
			fmt.Println("left")
			return nil
		}
		if err != nil {
			return err
		}
		serving.Go(func() { r.serve(conn) })
	}
}

func (r *runner) serve(conn net.Conn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	switch req.URL.Path {
	case "/-/report":
		r.reply(conn, http.StatusOK, "Content-Type: application/json\r\n", r.report())
		return
	case "/-/order":
		r.reply(conn, r.order(body), "", nil)
		return
	case "/-/hop": // of another runner, which holds the channel while a request passes through this one
		_, _ = io.Copy(io.Discard, conn)
		return
	case "/healthz":
		r.reply(conn, http.StatusOK, "X-Runner-Id: "+r.name+"\r\n", nil)
		return
	}
	id := req.Header.Get("X-Attempt-Id")
	if req.Header.Get("X-Expect-Runner") != r.name {
		r.reply(conn, http.StatusMisdirectedRequest, "X-Runner-Id: "+r.name+"\r\nX-Attempt-Id: "+id+"\r\n", nil)
		return
	}
	r.active.Add(1)
	defer r.active.Add(-1)
	fmt.Printf("run %s %s %s\n", id, req.Method, req.Host+req.RequestURI)
	time.Sleep(time.Duration(r.workMs) * time.Millisecond)
	if r.model {
		hops, failed := openHops(req.Header.Get("X-Router-Hops"))
		defer hops.close()
		if failed != "" {
			r.reply(conn, http.StatusServiceUnavailable, "X-Not-Executed: 1\r\nAt-Server: "+failed+"\r\nX-Attempt-Id: "+id+"\r\n", nil)
			return
		}
		r.sendStream(conn, id, req.Header.Get("Last-Event-Id"), hops)
		return
	}
	r.sendParts(conn, id)
}

func (r *runner) reply(conn net.Conn, status int, header string, body []byte) {
	fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

// partOf returns a part of the answer to a request.
func partOf(id string, n int) string { return fmt.Sprintf("answer to %s, part %03d;", id, n) }

// wholeAnswer returns the whole answer to a request.
func wholeAnswer(id string, parts int) string {
	var b strings.Builder
	for n := range parts {
		b.WriteString(partOf(id, n))
	}
	return b.String()
}

func (r *runner) sendParts(conn net.Conn, id string) {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Runner-Signature: " + r.name + "." + strconv.FormatInt(r.born, 16) + "\r\nContent-Type: text/plain\r\n"
	if r.unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Content-Length: " + strconv.Itoa(len(wholeAnswer(id, r.parts))) + "\r\nConnection: close\r\n\r\n"
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	for n := range r.parts {
		if _, err := io.WriteString(conn, partOf(id, n)); err != nil {
			return
		}
		time.Sleep(time.Duration(r.partMs) * time.Millisecond)
	}
}

// eventOf returns an event of the stream of a request.
func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// hops are the channels of a request to the other runners of its path.
type hops struct {
	conns []net.Conn
	dead  atomic.Value // address of the first runner that has ended
}

// openHops opens a channel to each runner of a path but the first one, or returns the address of one that is not there.
func openHops(path string) (h *hops, failed string) {
	h = &hops{}
	for i, part := range strings.Split(path, ",") {
		address, _, _ := strings.Cut(part, "=")
		if i == 0 {
			continue
		}
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return h, address
		}
		h.conns = append(h.conns, conn)
		fmt.Fprintf(conn, "GET /-/hop HTTP/1.1\r\nHost: %s\r\n\r\n", address)
		go func() {
			_, _ = conn.Read(make([]byte, 1)) // returns when the other process has ended
			h.dead.CompareAndSwap(nil, address)
		}()
	}
	return h, ""
}

func (h *hops) close() {
	for _, c := range h.conns {
		_ = c.Close()
	}
}

// stallTime is bounds.stall_ms.
const stallTime = 2 * time.Second

// sendStream sends the events of a stream. Work that depends on a runner that is dead stalls for stallTime and is cut off
// then, or refused if it has not begun.
func (r *runner) sendStream(conn net.Conn, id, last string, h *hops) {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Runner-Signature: " + r.name + "." + strconv.FormatInt(r.born, 16) + "\r\nContent-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n"
	var w io.Writer = conn
	if r.unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
		w = chunkWriter{conn}
	}
	first, _ := strconv.Atoi(last)
	for n := first + 1; n <= r.parts; n++ {
		if dead, ok := h.dead.Load().(string); ok {
			r.stall(id, dead)
			if n == first+1 {
				r.reply(conn, http.StatusServiceUnavailable, "X-Not-Executed: 1\r\nAt-Server: "+dead+"\r\nX-Attempt-Id: "+id+"\r\n", nil)
			}
			return
		}
		if n == first+1 {
			if _, err := io.WriteString(conn, head); err != nil {
				return
			}
		}
		if _, err := io.WriteString(w, eventOf(id, n)); err != nil {
			return
		}
		time.Sleep(time.Duration(r.partMs) * time.Millisecond)
	}
	if !r.unframed {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// stall lists a request as waiting for a runner until its work is cut off.
func (r *runner) stall(id, address string) {
	r.mu.Lock()
	r.stalled[id] = address
	r.mu.Unlock()
	time.Sleep(stallTime)
	r.mu.Lock()
	delete(r.stalled, id)
	r.mu.Unlock()
	fmt.Printf("cut %s\n", id)
}

type chunkWriter struct{ w io.Writer }

func (c chunkWriter) Write(p []byte) (int, error) {
	_, err := fmt.Fprintf(c.w, "%x\r\n%s\r\n", len(p), p)
	return len(p), err
}

func (r *runner) report() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := map[string]any{
		"stage": "prefill_decode", "models": []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}}, "kind": "a100",
		"busy": false, "sequence": r.orders, "queued": 0, "running": r.active.Load(), "kvUsed": 0, "kvTotal": 1000000, "kvHandles": 0, "born": r.born, "pace": 1.0,
	}
	stalled := []map[string]string{}
	for id, address := range r.stalled {
		stalled = append(stalled, map[string]string{"id": id, "addr": address})
	}
	report["stalled"] = stalled
	if r.layers != nil {
		report["layers"] = r.layers
	}
	data, _ := json.Marshal(report)
	return data
}

// order accepts an order to hold layers and tells the parent process, which writes the entry.
func (r *runner) order(body []byte) int {
	var o struct {
		Operation string `json:"operation"`
		From, To  int
		Expected  *int `json:"precondition"`
	}
	if err := json.Unmarshal(body, &o); err != nil || o.Operation != "place" {
		return http.StatusNotFound
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Expected != nil && *o.Expected != r.orders {
		return http.StatusConflict
	}
	r.orders++
	r.layers = map[string]any{"from": o.From, "to": o.To, "version": 1}
	fmt.Printf("layers %d %d %d\n", o.From, o.To, r.orders)
	return http.StatusAccepted
}

func init() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		if err := runRunner(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		os.Exit(0)
	}
}
