package rockresponse_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"sassafrasrock/io/rockresponse"
	"sassafrasrock/io/rockstandin"
)

// newRawClient returns a client whose server answers the requests on each connection with the texts, in order, and then
// closes the connection.
func newRawClient(t *testing.T, texts ...string) *http.Client {
	t.Helper()
	dial := func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			requests := bufio.NewReader(server)
			for _, text := range texts {
				if _, err := http.ReadRequest(requests); err != nil {
					return
				}
				_, _ = io.WriteString(server, text)
			}
		}()
		return client, nil
	}
	c := &http.Client{Transport: rockresponse.New(&http.Transport{DialContext: dial}), CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// request sends a request and returns the response and its body, or an error in either of them.
func request(t *testing.T, c *http.Client, method string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://server.example/", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// headAndBody returns a response with a first line and further lines of the head.
func headAndBody(first string, lines ...string) string {
	return first + "\r\n" + strings.Join(append(lines, "Content-Length: 2", "", "ok"), "\r\n")
}

// Guards against a head or trailer that is not valid HTTP and that is taken for that of an answer.
func TestMalformedResponses(t *testing.T) {
	for name, text := range rockstandin.MalformedAnswers("", "ok") {
		inTrailer := strings.HasPrefix(name, "trailer")
		for _, method := range []string{http.MethodGet, http.MethodHead} {
			if inTrailer && method == http.MethodHead {
				continue // without a body there is no trailer
			}
			resp, body, err := request(t, newRawClient(t, text), method)
			if !errors.Is(err, rockresponse.ErrMalformed) || (resp != nil) != inTrailer {
				t.Errorf("%s, %s: got body %q and error %v, want ErrMalformed, with a response only if its trailer is malformed", name, method, body, err)
			}
		}
	}
}

// Guards against a version of net/http that accepts other faults of a head, which this package leaves to it.
func TestHeadsThatNetHTTPRejects(t *testing.T) {
	for name, text := range map[string]string{
		"control byte in a name":       headAndBody("HTTP/1.1 200 OK", "X-\x01Y: 1"),
		"NUL in a name":                headAndBody("HTTP/1.1 200 OK", "X-\x00Y: 1"),
		"DEL in a name":                headAndBody("HTTP/1.1 200 OK", "X-Y\x7f: 1"),
		"tab in a name":                headAndBody("HTTP/1.1 200 OK", "X\tY: 1"),
		"tab after a length":           headAndBody("HTTP/1.1 200 OK", "Content-Length\t: 5"),
		"CR in a name":                 headAndBody("HTTP/1.1 200 OK", "X\rY: 1"),
		"byte of UTF-8 in a name":      headAndBody("HTTP/1.1 200 OK", "X-\xc3\xa9: 1"),
		"parenthesis in a name":        headAndBody("HTTP/1.1 200 OK", "X(Y): 1"),
		"no name":                      headAndBody("HTTP/1.1 200 OK", ": 1"),
		"no colon":                     headAndBody("HTTP/1.1 200 OK", "X-Y"),
		"space before the first name":  headAndBody("HTTP/1.1 200 OK", " X-Y: 1"),
		"control byte in a value":      headAndBody("HTTP/1.1 200 OK", "X-Y: \x07"),
		"NUL in a value":               headAndBody("HTTP/1.1 200 OK", "X-Y: a\x00b"),
		"DEL in a value":               headAndBody("HTTP/1.1 200 OK", "X-Y: \x7f"),
		"CR in a value":                headAndBody("HTTP/1.1 200 OK", "X-Y: a\rb"),
		"no status":                    headAndBody("HTTP/1.1"),
		"status of two digits":         headAndBody("HTTP/1.1 20 OK"),
		"status of four digits":        headAndBody("HTTP/1.1 2000 OK"),
		"negative status":              headAndBody("HTTP/1.1 -20 OK"),
		"status of letters":            headAndBody("HTTP/1.1 abc OK"),
		"name of another protocol":     headAndBody("HTTQ/1.1 200 OK"),
		"version of two digits":        headAndBody("HTTP/11.1 200 OK"),
		"version without a number":     headAndBody("HTTP/x.1 200 OK"),
		"two lengths":                  headAndBody("HTTP/1.1 200 OK", "Content-Length: 5"),
		"length with a sign":           "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
		"length of letters":            "HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\nok",
		"empty length":                 "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nok",
		"unknown transfer coding":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: zip\r\n\r\nok",
		"control byte in a trailer":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-\x01Y: 1\r\n\r\n",
		"trailer without a colon":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Y\r\n\r\n",
		"interim response, no colon":   "HTTP/1.1 103 Early Hints\r\nX-Y\r\n\r\n" + headAndBody("HTTP/1.1 200 OK"),
		"interim response, bad length": "HTTP/1.1 103 Early Hints\r\nContent-Length: +2\r\n\r\n" + headAndBody("HTTP/1.1 200 OK"),
	} {
		if _, body, err := request(t, newRawClient(t, text), http.MethodGet); err == nil {
			t.Errorf("%s: got body %q, want an error", name, body)
		}
	}
}

// Guards against an answer that is refused or changed although it is only unusual.
func TestUnusualResponsesStayUnchanged(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int
		fields http.Header
	}{
		"no reason":              {headAndBody("HTTP/1.1 200 "), 200, nil},
		"unknown status":         {headAndBody("HTTP/1.1 299 Odd"), 299, nil},
		"greatest status":        {headAndBody("HTTP/1.1 599 Odd"), 599, nil},
		"HTTP/1.0":               {headAndBody("HTTP/1.0 200 OK"), 200, nil},
		"HTTP/1.0, continued":    {headAndBody("HTTP/1.0 200 OK", "X-Y: 1", "  Transfer-Encoding: chunked"), 200, http.Header{"X-Y": {"1 Transfer-Encoding: chunked"}}},
		"HTTP/1.0, body":         {"HTTP/1.0 200 OK\r\n\r\nok", 200, nil},
		"higher minor version":   {headAndBody("HTTP/1.9 200 OK"), 200, nil},
		"all bytes of names":     {headAndBody("HTTP/1.1 200 OK", "!#$%&'*+-.^_`|~09azAZ: 1"), 200, http.Header{"!#$%&'*+-.^_`|~09azaz": {"1"}}},
		"long name":              {headAndBody("HTTP/1.1 200 OK", strings.Repeat("X", 4000)+": 1"), 200, http.Header{"X" + strings.Repeat("x", 3999): {"1"}}},
		"tab and obs-text":       {headAndBody("HTTP/1.1 200 OK", "X-Y: a\tb \xe9\xff"), 200, http.Header{"X-Y": {"a\tb \xe9\xff"}}},
		"empty values":           {headAndBody("HTTP/1.1 200 OK", "X-Y:", "X-Y:  "), 200, http.Header{"X-Y": {"", ""}}},
		"value like a name":      {headAndBody("HTTP/1.1 200 OK", "X-Y: Content-Length : 5"), 200, http.Header{"X-Y": {"Content-Length : 5"}}},
		"same length twice":      {headAndBody("HTTP/1.1 200 OK", "Content-Length: 2"), 200, nil},
		"chunks":                 {"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n2;x=\"y\"\r\nok\r\n0\r\n\r\n", 200, nil},
		"trailer":                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", 200, nil},
		"trailer, not announced": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", 200, nil},
		"trailer, not sent":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X Sum\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200, nil},
		"neither":                {"HTTP/1.1 200 OK\r\n\r\nok", 200, nil},
		"lines that end with LF": {"HTTP/1.1 200 OK\nContent-Length: 2\n\nok", 200, nil},
		"interim responses":      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 199 Odd\r\n\r\n" + headAndBody("HTTP/1.1 200 OK"), 200, nil},
	} {
		resp, body, err := request(t, newRawClient(t, c.text), http.MethodGet)
		if err != nil || resp.StatusCode != c.status || body != "ok" {
			t.Errorf("%s: got body %q and error %v, want status %d and \"ok\"", name, body, err, c.status)
			continue
		}
		for field, want := range c.fields {
			if got := resp.Header[field]; strings.Join(got, "|") != strings.Join(want, "|") || len(got) != len(want) {
				t.Errorf("%s: got %q with values %q, want %q", name, field, got, want)
			}
		}
	}
}

// Guards against a later response on a kept connection that is not checked, and against a connection that is used again after
// a response that was rejected: what follows on it may belong to that one.
func TestKeptConnections(t *testing.T) {
	const kept = "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n"
	c := newRawClient(t, kept+"\r\nok", kept+"Transfer-Encoding: chunked\r\n\r\nok")
	if _, body, err := request(t, c, http.MethodGet); err != nil || body != "ok" {
		t.Errorf("first request: got body %q and error %v, want \"ok\"", body, err)
	}
	if _, body, err := request(t, c, http.MethodGet); !errors.Is(err, rockresponse.ErrMalformed) {
		t.Errorf("second request: got body %q and error %v, want ErrMalformed", body, err)
	}
	c = newRawClient(t, "HTTP/1.1 204 No Content\r\nX Y: 1\r\n\r\n", headAndBody("HTTP/1.1 200 OK"))
	for range 3 {
		if _, body, err := request(t, c, http.MethodGet); !errors.Is(err, rockresponse.ErrMalformed) {
			t.Errorf("got body %q and error %v, want ErrMalformed on each connection", body, err)
		}
	}
}

// Guards against interim responses without end, for which net/http has no limit where they are checked, and against a limit
// for few of them.
func TestInterimResponsesAreLimited(t *testing.T) {
	const interim = "HTTP/1.1 102 Processing\r\n\r\n"
	for n, want := range map[int]error{500: nil, 2000: rockresponse.ErrTooLong} {
		text := strings.Repeat(interim, n) + headAndBody("HTTP/1.1 200 OK")
		if _, body, err := request(t, newRawClient(t, text), http.MethodGet); !errors.Is(err, want) || want == nil && body != "ok" {
			t.Errorf("%d interim responses: got body %q and error %v, want %v", n, body, err, want)
		}
	}
}

// Guards against an answer of HTTP/1.0 with a transfer coding that arrives before its request is sent, and whose head is
// then not looked at.
func TestEarlyAnswerIsChecked(t *testing.T) {
	const text = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	l, err := rockstandin.ServeConns(func(conn net.Conn) {
		_, _ = io.WriteString(conn, text)
		_, _ = http.ReadRequest(bufio.NewReader(conn))
	})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, l.Addr().String())
	}
	for range 2000 {
		c := &http.Client{Transport: rockresponse.New(&http.Transport{DialContext: dial, DisableKeepAlives: true})}
		if _, body, err := request(t, c, http.MethodGet); err == nil {
			t.Fatalf("got body %q, want an error", body)
		}
	}
}
