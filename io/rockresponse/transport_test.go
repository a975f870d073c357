package rockresponse

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a response that is cut at the limit and looks whole, and against one that is refused although it has just
// the length that is allowed.
func TestBodiesEndAtTheLimit(t *testing.T) {
	const limit = 1000
	for n, want := range map[int]error{0: nil, limit - 1: nil, limit: nil, limit + 1: ErrTooLong, 10 * limit: ErrTooLong} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, strings.Repeat("x", n))
		}))
		client := &http.Client{Transport: New(new(http.Transport), WithMaxBodyBytes(limit))}
		resp, err := client.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if !errors.Is(err, want) || want == nil && err != nil || len(body) != min(n, limit) {
			t.Errorf("body of %d bytes: got %d bytes and error %v, want %d and %v", n, len(body), err, min(n, limit), want)
		}
		resp.Body.Close()
		client.CloseIdleConnections()
		server.Close()
	}
}
