package rockdaemon

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockengine"
	"sassafrasrock/io/rockservice"
	"sassafrasrock/io/rockstandin"
)

// cuttingProxy passes on what a server sends until a number of bytes, and then closes the connection.
type cuttingProxy struct {
	address, server string
	limit           atomic.Int64
}

func newCuttingProxy(t *testing.T, server string) *cuttingProxy {
	t.Helper()
	p := &cuttingProxy{server: server}
	p.address = startServer(t, p.pass)
	return p
}

func (p *cuttingProxy) pass(conn net.Conn) {
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		return
	}
	defer server.Close()
	go func() { _, _ = io.Copy(server, conn) }()
	_, _ = io.CopyN(conn, server, p.limit.Load())
}

// Guards against an answer of a plain service that is cut at any byte of its head or body and taken for a whole one.
func TestCutAnswerOfAServiceIsLost(t *testing.T) {
	const body = "an answer"
	for name, answer := range map[string]func(w http.ResponseWriter){
		"length": func(w http.ResponseWriter) { _, _ = io.WriteString(w, body) },
		"chunks": func(w http.ResponseWriter) {
			_, _ = io.WriteString(w, body[:4])
			_ = http.NewResponseController(w).Flush()
			_, _ = io.WriteString(w, body[4:])
		},
		"no body": func(w http.ResponseWriter) { w.WriteHeader(http.StatusNoContent) },
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(w) }))
			defer server.Close()
			p := newCuttingProxy(t, server.Listener.Addr().String())
			client := rockservice.New()
			call := rockservice.Call{Method: http.MethodPost, Path: "/x"}
			for limit := int64(0); ; limit++ {
				p.limit.Store(limit)
				reply, err := client.Do(t.Context(), p.address, call)
				if err == nil {
					whole := string(reply.Body) == body || name == "no body" && reply.Status == http.StatusNoContent
					if !whole || limit < 50 {
						t.Errorf("cut after %d bytes: got status %d and body %q", limit, reply.Status, reply.Body)
					}
					return
				}
				if !errors.Is(err, rockservice.ErrLost) {
					t.Errorf("cut after %d bytes: got error %v, want one after which the call may have run", limit, err)
				}
			}
		})
	}
}

// Guards against a crash that ends an answer without a length or chunks as complete: a part of it would be recorded as the
// outcome of a call.
func TestCrashOfAServiceLosesTheAnswer(t *testing.T) {
	for name, crash := range map[string]bool{"runs on": false, "crashes": true} {
		t.Run(name, func(t *testing.T) {
			listening := make(chan net.Listener, 1)
			l, err := rockstandin.ServeConns(func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part")
				if crash {
					_ = (<-listening).Close()
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			listening <- l
			reply, err := rockservice.New().Do(t.Context(), l.Addr().String(), rockservice.Call{Method: http.MethodPost, Path: "/x"})
			if crash != errors.Is(err, rockservice.ErrLost) || !crash && string(reply.Body) != "a part" {
				t.Errorf("got body %q and error %v", reply.Body, err)
			}
		})
	}
}

// Guards against an answer of an engine whose connection is cut at any byte and that is taken for a whole one.
func TestCutAnswerOfAnEngineIsLost(t *testing.T) {
	want := rocktable.EngineStatus{Name: "r1", Model: "m", LastLayer: 3, Slots: 8, Incarnation: 17}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"name":"r1","model":"m","firstLayer":0,"lastLayer":3,"slots":8,"incarnation":17}`)
	}))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	p := newCuttingProxy(t, server.Listener.Addr().String())
	failed := 0
	for limit := int64(0); limit < 2000; limit++ {
		p.limit.Store(limit)
		client := rockengine.New()
		got, _, err := client.Status(t.Context(), p.address)
		client.Close()
		if err != nil {
			failed++
			continue
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("cut after %d bytes: status differs (-want +got):\n%s", limit, diff)
		}
		if failed < 100 {
			t.Errorf("status taken after %d bytes, of which a whole answer has more", limit)
		}
		return
	}
	t.Error("no status after 2,000 bytes")
}
