package rockprocess

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"sassafrasrock/io/rockpeer"
	"sassafrasrock/io/rockstandin"
)

const (
	// hostMemoryMB is the memory of the hosts of a small deployment. Its platform kills processes that exceed it.
	hostMemoryMB = 284
	// toolMemoryMB is far more than a program beside the hosts needs.
	toolMemoryMB = 128
	// endlessFor is the time for which bytes without end come, and endlessBytes the most of them from one source, which
	// keeps a program without a limit from taking the memory of the machine.
	endlessFor   = 2 * time.Second
	endlessBytes = 512 << 20
	endlessPart  = 64 << 10
)

// endlessText is the beginning of a message and what follows it without end.
type endlessText struct{ begin, repeated string }

// The answers in HTTP/1.1 that never end.
var endlessAnswers = map[string]endlessText{
	"head":             {"HTTP/1.1 200 OK\r\n", "X-Fill: " + strings.Repeat("x", 1000) + "\r\n"},
	"head of one line": {"HTTP/1.1 200 OK\r\nX-Fill: ", "xxxxxxxx"},
	"interim answers":  {"HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 102 Processing\r\nX-Fill: 1\r\n\r\n"},
	"body":             {"HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n", "\x12\x01x"},
	"body in chunks":   {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n", "a\r\n          \r\n"},
	"failure":          {"HTTP/1.1 500 X\r\nContent-Type: application/json\r\n\r\n", `{"code":"x"}`},
	"chunk extension":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=", "xxxxxxxx"},
	"trailers":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X-Fill: " + strings.Repeat("x", 1000) + "\r\n"},
	"events":           {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "data: {\"choices\":[{\"delta\":{\"content\":\"" + strings.Repeat("x", 1000) + "\"}}]}\n\n"},
	"event":            {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "xxxxxxxx"},
}

// send writes the text to a connection until that fails or the source has sent endlessBytes.
func (e endlessText) send(conn io.Writer, sent *atomic.Int64) {
	part := []byte(strings.Repeat(e.repeated, 1+endlessPart/len(e.repeated)))
	for p := []byte(e.begin); sent.Load() < endlessBytes; p = part {
		n, err := conn.Write(p)
		sent.Add(int64(n))
		if err != nil {
			return
		}
	}
	time.Sleep(endlessFor / 4)
}

// serveEndless starts a server that answers each request with a text without end, until its caller closes the connection,
// but those that begin with sound as an application in order. It returns its address and the number of bytes that it could
// send.
func serveEndless(t *testing.T, text endlessText, sound string) (string, *atomic.Int64) {
	t.Helper()
	sent := new(atomic.Int64)
	l, err := rockstandin.ServeConns(func(conn net.Conn) {
		request := make([]byte, 4096)
		n, err := conn.Read(request)
		switch {
		case err != nil:
		case sound != "" && bytes.HasPrefix(request[:n], []byte(sound)):
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+`{"state":"live","incarnation":1}`)
		default:
			text.send(conn, sent)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), sent
}

// peakMB returns the largest resident memory of a process, or 0 if it has ended.
func (p *process) peakMB() int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range bytes.Lines(data) {
		if text, ok := bytes.CutPrefix(line, []byte("VmHWM:")); ok {
			kb, _ := strconv.Atoi(string(bytes.Fields(text)[0]))
			return kb >> 10
		}
	}
	return 0
}

// Guards against a host, or what answers in its place, that sends an operator's command, the load generator or the
// demonstration bytes without end, which they kept until the memory of the machine was full.
func TestEndlessAnswersTakeNoMemoryOfTools(t *testing.T) {
	plan := filepath.Join(t.TempDir(), "plan.json")
	for name, text := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			address, sent := serveEndless(t, text, "")
			content := fmt.Sprintf(`{"targets": [%q], "model": "m", "ratePerSecond": 10, "count": 4, "durationMs": 400, "seed": 1, "timeoutMs": %d,
				"mix": [{"caller": "a", "rank": "urgent", "token": "t", "weight": 1, "prompts": ["x"], "maxTokens": 8}]}`, address, endlessFor.Milliseconds())
			if err := os.WriteFile(plan, []byte(content), 0o600); err != nil {
				t.Fatal(err)
			}
			for _, args := range [][]string{
				{"sassafrasrock", "--timeout", endlessFor.String(), "--server", address, "status"},
				{"sassafrasrock", "load", plan},
				{"sassafrasrock-standin", "drive", plan, "--control", address, "--calls", "1"},
			} {
				p := startProcess(t, args[0], args[0], args[1:]...)
				peak := 0
				for p.isRunning() {
					peak = max(peak, p.peakMB())
					time.Sleep(5 * time.Millisecond)
				}
				t.Logf("%v: %d MB, exit code %d, %d MB sent: %.100s", args[:2], peak, p.waitForExit(), sent.Swap(0)>>20, p.log)
				if peak >= toolMemoryMB {
					t.Errorf("%v took %d MB, want less than %d", args, peak, toolMemoryMB)
				}
			}
		})
	}
}

// endlessPlan returns a plan with one host that may use hostMemoryMB.
func endlessPlan() *fleetPlan {
	p := newPlan(1)
	p.limits.MemoryMB = hostMemoryMB
	return p
}

// checkHost fails the test unless a host still runs, has taken less memory than it has, and serves a stream.
func (f *fleet) checkHost(h *host, serves bool) {
	f.t.Helper()
	if !h.isRunning() {
		f.t.Fatalf("the host has ended: %s", tail(h.log.String()))
	}
	peak := h.peakMB()
	f.t.Logf("the host took %d MB", peak)
	if peak == 0 || peak >= hostMemoryMB {
		f.t.Errorf("the host took %d MB, want less than %d", peak, hostMemoryMB)
	}
	if a := f.chat(h, "after the bytes", 4, nil); serves && !a.complete {
		f.t.Errorf("a stream after the bytes got %+v, want it whole", a)
	}
}

// Guards against what sends bytes without end to an open port of a host: in a head, a body, trailers or chunk extensions,
// also one byte now and then on many connections.
func TestEndlessRequestsTakeNoMemoryOfHosts(t *testing.T) {
	p := endlessPlan()
	p.metrics = freeAddress(t)
	f := p.start(t)
	h := f.hosts[0]
	chat := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + token + "\r\nContent-Type: application/json\r\n"
	rpc := "POST /sassafrasrock.v1.Operators/PutConfiguration HTTP/1.1\r\nHost: x\r\nContent-Type: application/proto\r\n"
	fill := "X-Fill: " + strings.Repeat("x", 1000) + "\r\n"
	texts := map[string]endlessText{
		"head":            {"GET / HTTP/1.1\r\nHost: x\r\n", fill},
		"request line":    {"GET /", "xxxxxxxx"},
		"chat body":       {chat + "Transfer-Encoding: chunked\r\n\r\n", "a\r\n          \r\n"},
		"long chat body":  {chat + "Content-Length: 4000000000\r\n\r\n", "        "},
		"chunk extension": {chat + "Transfer-Encoding: chunked\r\n\r\n1;x=", "xxxxxxxx"},
		"trailers":        {chat + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", fill},
		"message":         {rpc + "Transfer-Encoding: chunked\r\n\r\n", "3\r\n\x12\x01x\r\n"},
		"long message":    {rpc + "Content-Length: 4000000000\r\n\r\n", "\x12\x01x"},
		"requests":        {"", "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"},
		"row":             {"PUT /v1/tables/x/y HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", "a\r\n          \r\n"},
		"body of metrics": {"GET /metrics HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", "a\r\n          \r\n"},
	}
	ports := map[string]string{
		"callers": h.settings.CallersAddress, "operators": h.settings.OperatorsAddress, "metrics": h.settings.MetricsAddress,
		"the stand-in's control": f.control, "the stand-in's platform": f.platform,
	}
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			for port, address := range ports {
				t.Logf("to %s", port)
				sendEndless(t, address, text)
			}
			f.t = t
			f.checkHost(h, true)
			if peak := f.standin.peakMB(); peak == 0 || peak >= toolMemoryMB {
				t.Errorf("the stand-in took %d MB, want less than %d", peak, toolMemoryMB)
			}
		})
	}
}

// sendEndless sends a text without end on many connections to an address, on half of them slowly.
func sendEndless(t *testing.T, address string, text endlessText) {
	t.Helper()
	const connections = 40
	var wg sync.WaitGroup
	var sent atomic.Int64
	for i := range connections {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(endlessFor / 4))
		wg.Go(func() {
			defer conn.Close()
			if i%2 == 0 {
				text.send(conn, &sent)
				return
			}
			sendSlowly(conn, text)
		})
	}
	wg.Wait()
}

// freeAddress returns an address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// sendSlowly sends a text with one byte at a time of what has no end.
func sendSlowly(conn net.Conn, text endlessText) {
	_, err := io.WriteString(conn, text.begin)
	for i := 0; err == nil; i++ {
		time.Sleep(100 * time.Millisecond)
		_, err = conn.Write([]byte{text.repeated[i%len(text.repeated)]})
	}
}

// Guards against another host in trouble that sends bytes that are no message without end, or messages without end, on many
// connections.
func TestEndlessFramesTakeNoMemoryOfHosts(t *testing.T) {
	const connections, streams = 24, 16
	for name, frame := range map[string][]byte{
		"no frame":       bytes.Repeat([]byte{0xff}, endlessPart),
		"no message":     append(binary.BigEndian.AppendUint32(nil, rockpeer.MaxFrameBytes), make([]byte, rockpeer.MaxFrameBytes)...),
		"unended frame":  append(binary.BigEndian.AppendUint32(nil, rockpeer.MaxFrameBytes), make([]byte, rockpeer.MaxFrameBytes-1)...),
		"empty messages": append(binary.BigEndian.AppendUint32(nil, rockpeer.MaxFrameBytes), bytes.Repeat([]byte{0x3a, 0}, rockpeer.MaxFrameBytes/2)...),
	} {
		t.Run(name, func(t *testing.T) {
			f := endlessPlan().start(t)
			h := f.hosts[0]
			ctx, cancel := context.WithTimeout(t.Context(), endlessFor)
			defer cancel()
			var wg sync.WaitGroup
			for range connections {
				conn := f.dialPeer(h)
				for range streams {
					wg.Go(func() {
						for ctx.Err() == nil {
							sendOnStream(ctx, conn, frame, name == "unended frame")
						}
					})
				}
			}
			wg.Wait()
			f.checkHost(h, true)
		})
	}
}

// sendOnStream sends a frame on a stream of its own, which stays open if the frame is not ended.
func sendOnStream(ctx context.Context, conn *quic.Conn, frame []byte, unended bool) {
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		time.Sleep(10 * time.Millisecond) // the connection has ended
		return
	}
	_ = stream.SetWriteDeadline(time.Now().Add(endlessFor))
	_, err = stream.Write(frame)
	if err == nil && unended {
		<-ctx.Done()
	}
	_ = stream.Close()
}

// platformProxy passes requests on to the stand-in's platform until it is told to answer some of them without end, or to
// name other addresses of backend servers.
type platformProxy struct {
	target  string
	endless atomic.Pointer[endlessText] // answer to requests for a path that begins with prefix
	prefix  atomic.Value                // string
	rename  atomic.Pointer[strings.Replacer]
	sent    atomic.Int64
}

func (p *platformProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if text := p.endless.Load(); text != nil && strings.HasPrefix(r.URL.Path, p.prefix.Load().(string)) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			defer conn.Close()
			text.send(conn, &p.sent)
		}
		return
	}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, p.target+r.RequestURI, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(resp.StatusCode)
	if names := p.rename.Load(); names != nil {
		body = []byte(names.Replace(string(body)))
	}
	_, _ = w.Write(body)
}

// useProxy returns the proxy that the hosts of a plan use as their platform.
func (p *fleetPlan) useProxy(t *testing.T) *platformProxy {
	proxy := new(platformProxy)
	server := httptest.NewServer(proxy)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	p.platform = func(address string) string {
		proxy.target = "http://" + address
		return strings.TrimPrefix(server.URL, "http://")
	}
	return proxy
}

// Guards against a platform in trouble whose host list or rows have no end.
func TestEndlessAnswersOfThePlatformTakeNoMemoryOfHosts(t *testing.T) {
	for _, prefix := range []string{"/v1/hosts", "/v1/tables"} {
		for _, name := range []string{"body", "body in chunks", "head", "trailers", "chunk extension"} {
			t.Run(name+" of "+prefix, func(t *testing.T) {
				p := endlessPlan()
				proxy := p.useProxy(t)
				f := p.start(t)
				h := f.hosts[0]
				proxy.prefix.Store(prefix)
				text := endlessAnswers[name]
				proxy.endless.Store(&text)
				f.flood(&proxy.sent, func(i int) { f.callServiceWithin(h, endlessFor, fmt.Sprintf("endless-%d", i), i) }) // each needs a row
				f.checkHost(h, true)
			})
		}
	}
}

// Guards against an application in trouble whose health or answers have no end, before many calls at once.
func TestEndlessAnswersOfApplicationsTakeNoMemoryOfHosts(t *testing.T) {
	for what, names := range map[string][]string{"health": {"body", "head", "interim answers"}, "calls": {"body", "body in chunks", "failure", "trailers"}} {
		sound := map[string]string{"calls": "GET /healthz "}[what]
		for _, name := range names {
			t.Run(name+" of "+what, func(t *testing.T) {
				p := endlessPlan()
				proxy := p.useProxy(t)
				f := p.start(t)
				h := f.hosts[0]
				address, sent := serveEndless(t, endlessAnswers[name], sound)
				f.replaceServers(proxy, rockstandin.RoleApplication, address)
				f.flood(sent, func(i int) { f.callServiceWithin(h, endlessFor, fmt.Sprintf("endless-%d", i), i) })
				f.checkHost(h, true)
			})
		}
	}
}

// replaceServers has the hosts find another address for all backend servers of a role.
func (f *fleet) replaceServers(proxy *platformProxy, role, address string) {
	f.t.Helper()
	var list struct {
		Hosts []struct{ Role, Address string }
	}
	f.getJSON("http://"+proxy.target[len("http://"):]+"/v1/hosts", &list)
	var pairs []string
	for _, entry := range list.Hosts {
		if entry.Role == role {
			pairs = append(pairs, `"`+entry.Address+`"`, `"`+address+`"`)
		}
	}
	if len(pairs) == 0 {
		f.t.Fatalf("the platform lists no backend server with the role %s", role)
	}
	proxy.rename.Store(strings.NewReplacer(pairs...))
}

// flood sends requests from 60 callers for endlessFor, and on until a source without end has sent something.
func (f *fleet) flood(sent *atomic.Int64, send func(i int)) {
	f.t.Helper()
	f.floodFor(endlessFor, send)
	eventually(f.t, "the host has read something without end", func() bool {
		if sent.Load() == 0 {
			f.floodFor(endlessFor/4, send)
		}
		return sent.Load() > 0
	})
}

func (f *fleet) floodFor(d time.Duration, send func(i int)) {
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for caller := range 60 {
		wg.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				send(caller<<16 | i)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// endlessEngine is an engine over HTTP/2 that opens each session and answers its steps with lines without end.
type endlessEngine struct {
	where string // "status", "opening", "step", "head" or "trailers"
	sound http.Handler
	sent  atomic.Int64
}

// longField is a header field far beyond any limit. All answers share it: one of its own for each took this process more than
// the memory of the machine.
var longField = sync.OnceValue(func() string { return strings.Repeat("x", 16<<20) })

func (e *endlessEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	part := []byte(strings.Repeat("1,", endlessPart/2))
	write := func(p []byte) bool {
		n, err := w.Write(p)
		e.sent.Add(int64(n))
		return err == nil && http.NewResponseController(w).Flush() == nil && e.sent.Load() < endlessBytes
	}
	isSession := r.URL.Path == "/v1/sessions"
	switch {
	case e.where == "head":
		e.sent.Add(int64(len(longField())))
		w.Header().Set("X-Fill", longField())
	case isSession && e.where == "trailers":
		e.sent.Add(int64(len(longField())))
		w.Header().Set(http.TrailerPrefix+"X-Fill", longField())
	case isSession && e.where == "step":
		write([]byte(`{"accepted":true}` + "\n" + `{"activations":[`))
	case !isSession && e.where != "status":
		e.sound.ServeHTTP(w, r)
		return
	}
	if isSession && e.where == "opening" || isSession && e.where == "step" || !isSession && e.where == "status" {
		for write(part) {
		}
	}
}

// Guards against an engine in trouble whose status, heads, trailers or lines of sessions have no end, before many streams.
func TestEndlessAnswersOfEnginesTakeNoMemoryOfHosts(t *testing.T) {
	for _, where := range []string{"status", "opening", "step", "head", "trailers"} {
		t.Run(where, func(t *testing.T) {
			p := endlessPlan()
			proxy := p.useProxy(t)
			f := p.start(t)
			h := f.hosts[0]
			engine := &endlessEngine{where: where}
			engine.sound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				fmt.Fprintf(w, `{"name":"x","kind":"fast","model":%q,"version":"1","firstLayer":0,"lastLayer":%d,"layers":%d,"slots":1000,"incarnation":1,"state":"live"}`, model, layers-1, layers)
			})
			protocols := new(http.Protocols)
			protocols.SetUnencryptedHTTP2(true)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: engine, Protocols: protocols}
			go func() { _ = server.Serve(l) }()
			t.Cleanup(func() { _ = server.Close() })
			f.replaceServers(proxy, rockstandin.RoleModel, l.Addr().String())
			f.flood(&engine.sent, func(i int) { f.chat(h, fmt.Sprintf("endless %d", i), 4, nil) })
			f.checkHost(h, false)
		})
	}
}
