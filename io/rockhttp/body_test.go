package rockhttp_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/io/rockhttp"
)

// Guards against invalid requests that net/http rejects by itself, which no counter shows to operators, and against an
// invalid body that is treated as a caller that left.
func TestBrokenRequests(t *testing.T) {
	f := newFixture()
	server := f.start(t)
	const head = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer open\r\n"
	for _, c := range []struct {
		name, request string
		code          rockreason.Code
	}{
		{"a head that is too long", head + "X-Long: " + strings.Repeat("x", 70<<10) + "\r\nContent-Length: 0\r\n\r\n", rockreason.HeadTooLong},
		{"a chunk whose length is not a number", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n0\r\n\r\n", rockreason.BrokenBody},
		{"a chunk longer than its length", head + "Transfer-Encoding: chunked\r\n\r\n1\r\n{}\r\n0\r\n\r\n", rockreason.BrokenBody},
	} {
		t.Run(c.name, func(t *testing.T) {
			f.counts = nil
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := fmt.Fprint(conn, c.request); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			reason, _ := rockreason.Find(c.code)
			var body rockhttp.ErrorBody
			if err := json.NewDecoder(response.Body).Decode(&body); err != nil || body.Error.Code != c.code || response.StatusCode != reason.Status {
				t.Errorf("got status %d, code %q, error %v; want %d and %q", response.StatusCode, body.Error.Code, err, reason.Status, c.code)
			}
			if diff := cmp.Diff([]rockreason.Code{c.code}, f.counts); diff != "" {
				t.Errorf("counts differ (-want +got):\n%s", diff)
			}
		})
	}
}
