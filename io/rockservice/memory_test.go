package rockservice_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"sassafrasrock/io/rockmemory"
	"sassafrasrock/io/rockservice"
)

// Guards against answers of services that are read without being counted, and against a short answer that is lost although
// its call has run.
func TestAnswersAreCounted(t *testing.T) {
	const longBytes = 1 << 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			w.Header().Set("Content-Length", fmt.Sprint(longBytes))
		}
		n := 10
		if r.URL.Path != "/short" {
			n = longBytes
		}
		_, _ = w.Write([]byte(strings.Repeat("x", n)))
	}))
	t.Cleanup(server.Close)
	client := rockservice.New()
	account := rockmemory.New(longBytes / 2)
	for _, c := range []struct {
		method, path string
		want         error
		length       int
	}{
		{http.MethodGet, "/short", nil, 10},
		{http.MethodGet, "/long", rockmemory.ErrNoRoom, 0},
		{http.MethodHead, "/long", nil, 0},
		{http.MethodGet, "/chunked", rockmemory.ErrNoRoom, 0},
	} {
		held := account.Open()
		if c.path == "/short" {
			account.SetLimit(1)
		}
		reply, err := client.Do(t.Context(), strings.TrimPrefix(server.URL, "http://"), rockservice.Call{Method: c.method, Path: c.path, Held: held, Prepaid: 4 << 10})
		account.SetLimit(longBytes / 2)
		if !errors.Is(err, c.want) || c.want != nil && !errors.Is(err, rockservice.ErrLost) || len(reply.Body) != c.length {
			t.Errorf("%s %s: got %d bytes and error %v, want %d and %v", c.method, c.path, len(reply.Body), err, c.length, c.want)
		}
		held.Close()
	}
	if account.Used() != 0 {
		t.Errorf("%d bytes are still held", account.Used())
	}
}
