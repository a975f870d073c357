package rockresponse_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"sassafrasrock/io/rockresponse"
	"sassafrasrock/io/rockstandin"
)

// BenchmarkEarlyAnswer reports the time to a whole answer without a length that arrives during its request, through net/http
// alone and through this package. The server reads no more of the request, or reads on.
func BenchmarkEarlyAnswer(b *testing.B) {
	answers := rockstandin.EarlyAnswers("", "an answer")
	transports := map[string]func() http.RoundTripper{
		"netHTTP":      func() http.RoundTripper { return new(http.Transport) },
		"rockresponse": func() http.RoundTripper { return rockresponse.New(new(http.Transport)) },
	}
	for _, name := range []string{"no length, closed in order", "no length, closed in order, read on"} {
		for transport, newTransport := range transports {
			b.Run(name+"/"+transport, func(b *testing.B) {
				server, err := rockstandin.ServeEarly(func(*http.Request) rockstandin.EarlyAnswer { return answers[name] })
				if err != nil {
					b.Fatal(err)
				}
				defer server.Close()
				body := strings.Repeat("x", rockstandin.EarlyUploadBytes)
				c := &http.Client{Transport: newTransport()}
				for b.Loop() {
					resp, err := c.Post("http://"+server.Addr().String(), "", strings.NewReader(body))
					if err != nil {
						b.Fatal(err)
					}
					text, err := io.ReadAll(resp.Body)
					resp.Body.Close()
					if err != nil || string(text) != "an answer" {
						b.Fatalf("got %q and error %v, want the whole answer", text, err)
					}
				}
			})
		}
	}
}
