package rockhttp_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockhttp"
	"sassafrasrock/io/rocktraffic"
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

// Guards against limits of the configuration that are not obeyed, or only after a restart.
func TestConfiguredRequestLimits(t *testing.T) {
	f := newFixture()
	f.Call = func(context.Context, rocktraffic.CallRequest) (rocktable.Answer, error) {
		return rocktable.Answer{Recorded: &rocktable.ClaimRow{Status: 200}}, nil
	}
	server := f.start(t)
	snapshot := *f.Snapshot()
	f.Snapshot = func() *rocktable.Snapshot { return &snapshot }
	for _, c := range []struct {
		limits     rocktable.RequestLimits
		head, body int
		status     int
	}{
		{rocktable.RequestLimits{}, 10 << 10, 1000, 200},
		{rocktable.RequestLimits{}, 10, 1001, 413},
		{rocktable.RequestLimits{MaxHeadBytes: 8 << 10, MaxBodyBytes: 5000}, 7 << 10, 5000, 200},
		{rocktable.RequestLimits{MaxHeadBytes: 8 << 10, MaxBodyBytes: 5000}, 7 << 10, 5001, 413},
		{rocktable.RequestLimits{MaxHeadBytes: 8 << 10, MaxBodyBytes: 5000}, 8 << 10, 5000, 431},
		{rocktable.RequestLimits{MaxHeadBytes: 100 << 10}, 90 << 10, 0, 200},
	} {
		snapshot.Config.RequestLimits = c.limits
		response, _ := send(t, server, "POST", "/v1/services/squares/", "open", strings.Repeat("x", c.body), "X-Long", strings.Repeat("x", c.head))
		if response.StatusCode != c.status {
			t.Errorf("%+v: got status %d", c, response.StatusCode)
		}
	}
}
