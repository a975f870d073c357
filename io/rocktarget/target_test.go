package rocktarget_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"

	"sassafrasrock/io/rocktarget"
)

// Guards against a path that loses or gains bytes when it is split from the target, and against a target that servers
// could understand in different ways.
func TestSplit(t *testing.T) {
	for _, c := range []struct{ method, target, path, query string }{
		{"GET", "/a//b%2F?c?d=/e", "/a//b%2F", "?c?d=/e"},
		{"GET", "//a?", "//a", "?"},
		{"GET", "/\xff", "/\xff", ""},
		{"GET", "HTTP://a.example:80//b?c", "//b", "?c"},
		{"GET", "http://a.example?c", "/", "?c"},
		{"CONNECT", "a.example:80", "", ""},
		{"CONNECT", "/a", "", ""},
		{"OPTIONS", "*", "", ""},
		{"GET", "", "", ""},
		{"GET", "a", "", ""},
		{"GET", "https://a.example/", "", ""},
		{"GET", "http://", "", ""},
		{"GET", "http:///a", "", ""},
		{"GET", "http://a@b.example/", "", ""},
		{"GET", "/a b", "", ""},
		{"GET", "/a\r\nb", "", ""},
		{"GET", "/a?b\x7f", "", ""},
		{"GET", "/a#b", "", ""},
	} {
		path, query, err := rocktarget.Split(&http.Request{Method: c.method, RequestURI: c.target})
		if path != c.path || query != c.query || (err == nil) != (c.path != "") {
			t.Errorf("%s %q: got %q, %q, %v; want %q, %q", c.method, c.target, path, query, err, c.path, c.query)
		}
		if err != nil && !errors.Is(err, rocktarget.ErrInvalid) {
			t.Errorf("%s %q: got error %v, want one that wraps ErrInvalid", c.method, c.target, err)
		}
	}
}

// Guards against a target that is changed or sent in the place of another one, whatever the size of the writes in which
// the request line leaves.
func TestTargetIsSentUnchanged(t *testing.T) {
	for _, method := range []string{"GET", "POST", strings.Repeat("M", 4091), strings.Repeat("M", 4095), strings.Repeat("M", 9000)} {
		for _, target := range []string{"/", "//", "//a/b", "///a?//b", "/a//b", "//" + strings.Repeat("a", 9000), "//|\xff?", "http://b.example//c"} {
			client, server := net.Pipe()
			line := make(chan string, 1)
			go func() {
				defer server.Close()
				r := bufio.NewReader(server)
				first, _ := r.ReadString('\n')
				for next := first; len(next) > len("\r\n"); next, _ = r.ReadString('\n') {
				}
				line <- first
				_, _ = server.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
			}()
			transport := &http.Transport{DisableKeepAlives: true, DialContext: rocktarget.DialContext(func(context.Context, string, string) (net.Conn, error) { return client, nil })}
			req, err := http.NewRequestWithContext(t.Context(), method, "http://a.example", strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			if req, err = rocktarget.Set(req, target); err != nil {
				t.Fatal(err)
			}
			resp, err := transport.RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if got, want := <-line, method+" "+target+" HTTP/1.1\r\n"; got != want {
				t.Errorf("got request line %.100q of %d bytes, want %.100q of %d bytes", got, len(got), want, len(want))
			}
		}
	}
}

// Guards against a target that smuggles a header or a second request.
func TestSetRefusesAnInvalidTarget(t *testing.T) {
	for _, target := range []string{"", "*", "a", "/a b", "/ HTTP/1.1\r\nX: y", "//a\nb", "/a#b"} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://a.example", nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := rocktarget.Set(req, target); !errors.Is(err, rocktarget.ErrInvalid) {
			t.Errorf("target %q: got error %v, want ErrInvalid", target, err)
		}
	}
}
