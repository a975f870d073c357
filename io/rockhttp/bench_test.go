package rockhttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockhttp"
	"sassafrasrock/io/rockmemory"
)

// BenchmarkOrdinaryCall measures what a connection of a caller costs for each call with 20 header fields and 2 KB of body.
func BenchmarkOrdinaryCall(b *testing.B) {
	limits := rocktable.RequestLimits{MaxBodyBytes: 4 << 20}
	memory := rockmemory.New(64 << 20)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := memory.Open()
		defer held.Close()
		if _, code, err := rockhttp.ReadBody(w, r, limits, held, nil); code != "" || err != nil {
			b.Errorf("got code %q and error %v", code, err)
		}
	})}
	connections := &rockhttp.Connections{Limits: func() rocktable.RequestLimits { return limits }, Memory: memory}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(connections.Watch(server, l)) }()
	b.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	var request strings.Builder
	request.WriteString("POST /v1/x HTTP/1.1\r\nHost: h\r\n")
	for i := range 20 {
		fmt.Fprintf(&request, "X-Field-%d: %s\r\n", i, strings.Repeat("v", 30))
	}
	fmt.Fprintf(&request, "Content-Length: 2048\r\n\r\n%s", strings.Repeat("x", 2048))
	reader := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(conn, request.String()); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			b.Fatalf("got %+v and error %v", response, err)
		}
	}
}
