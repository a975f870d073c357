package rockdaemon

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"sassafrasrock/io/rockengine"
	"sassafrasrock/io/rockplatform"
	"sassafrasrock/io/rockresponse"
	"sassafrasrock/io/rockservice"
	"sassafrasrock/io/rockstandin"
)

// rawBody is a valid body of each answer that the tests of this file ask for.
const rawBody = `{"state":"live","incarnation":1,"hosts":[],"version":7}`

// malformedAnswers returns answers that are not valid HTTP, by what is wrong with them.
func malformedAnswers() map[string]string {
	answers := rockstandin.MalformedAnswers("", rawBody)
	answers["conflict"] = "HTTP/1.1 409 Conflict\r\nX Y: 1\r\n\r\n" + rawBody
	answers["refusal"] = "HTTP/1.1 503 Service Unavailable\r\nX Y: 1\r\n\r\n" + rawBody
	return answers
}

// Guards against an answer of an application that is not valid HTTP and that is recorded as the outcome of a call: its
// caller gets it, and each repeat with the same key.
func TestMalformedAnswerIsNoOutcome(t *testing.T) {
	f := newFleet(t, 1)
	for name, text := range malformedAnswers() {
		key := "k-" + strings.ReplaceAll(name, " ", "-")
		f.injectFault(rockstandin.Fault{Target: "yoff", Kind: rockstandin.FaultRawAnswer, Text: text})
		for _, when := range []string{"", ", sent again"} {
			status, body, code := f.callService(f.daemons[0], key, 7)
			if status != http.StatusBadGateway || code != "outcomeUnknown" {
				t.Errorf("%s%s: got status %d and body %q, want 502 and outcomeUnknown", name, when, status, body)
			}
		}
		if n := f.standin.Counts().Runs[key]; n != 1 {
			t.Errorf("%s: the call ran %d times, want 1", name, n)
		}
	}
	f.injectFault(rockstandin.Fault{Target: "yoff", Kind: rockstandin.FaultRawAnswer, Lift: true})
	if status, body, _ := f.callService(f.daemons[0], "k-sound", 7); status != http.StatusCreated {
		t.Errorf("the next call got status %d and body %q, want 201", status, body)
	}
}

// startRawServer starts a server that answers one request on each connection with a text.
func startRawServer(t *testing.T, text string) string {
	t.Helper()
	return startServer(t, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, text)
		}
	})
}

// Guards against an answer that is not valid HTTP and that a client of the product's own interface takes as one, or as the
// word of its server that a request did not run.
func TestClientsRejectMalformedAnswers(t *testing.T) {
	for name, text := range malformedAnswers() {
		address := startRawServer(t, text)
		service, platform := rockservice.New(), rockplatform.New("http://"+address)
		calls := map[string]struct {
			want error
			call func(ctx context.Context) error
		}{
			"call": {rockservice.ErrLost, func(ctx context.Context) error {
				_, err := service.Do(ctx, address, rockservice.Call{Method: http.MethodPost, Path: "/x"})
				return err
			}},
			"probe": {rockservice.ErrLost, func(ctx context.Context) error {
				_, err := service.Probe(ctx, address)
				return err
			}},
			"host list": {rockplatform.ErrUnavailable, func(ctx context.Context) error {
				_, err := platform.Hosts(ctx)
				return err
			}},
			"read of a row": {rockplatform.ErrUnavailable, func(ctx context.Context) error {
				_, err := platform.Get(ctx, "t", "k")
				return err
			}},
			"write of a row": {rockplatform.ErrOutcomeUnknown, func(ctx context.Context) error {
				_, err := platform.Put(ctx, "t", "k", rockplatform.PutRequest{Value: []byte("1")})
				return err
			}},
		}
		for kind, c := range calls {
			ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
			if err := c.call(ctx); !errors.Is(err, c.want) || !errors.Is(err, rockresponse.ErrMalformed) {
				t.Errorf("%s, %s: got error %v, want ErrMalformed and %v", name, kind, err, c.want)
			}
			cancel()
		}
	}
}

// startEngineServer starts a server that speaks HTTP/2 and answers each request with header fields and the body.
func startEngineServer(t *testing.T, fields []hpack.HeaderField, body string) string {
	t.Helper()
	return startServer(t, func(conn net.Conn) {
		if _, err := io.ReadFull(conn, make([]byte, len(http2.ClientPreface))); err != nil {
			return
		}
		framer := http2.NewFramer(conn, conn)
		_ = framer.WriteSettings()
		for {
			frame, err := framer.ReadFrame()
			if err != nil {
				return
			}
			switch frame := frame.(type) {
			case *http2.SettingsFrame:
				if !frame.IsAck() {
					_ = framer.WriteSettingsAck()
				}
			case *http2.HeadersFrame:
				var block strings.Builder
				encoder := hpack.NewEncoder(&block)
				for _, f := range fields {
					_ = encoder.WriteField(f)
				}
				_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: frame.StreamID, BlockFragment: []byte(block.String()), EndHeaders: true})
				_ = framer.WriteData(frame.StreamID, true, []byte(body))
			}
		}
	})
}

// Guards against an answer of an engine that is not valid HTTP and that counts as a refusal, after which nothing has run.
func TestMalformedAnswerOfAnEngineIsLost(t *testing.T) {
	const body = `{"accepted":true,"ok":true,"name":"r1","slots":8}` + "\n"
	for name, c := range map[string]struct {
		fields []hpack.HeaderField
		valid  bool
	}{
		"valid":                  {[]hpack.HeaderField{{Name: ":status", Value: "200"}, {Name: "x-y", Value: "1"}}, true},
		"status 000":             {[]hpack.HeaderField{{Name: ":status", Value: "000"}}, false},
		"status 99":              {[]hpack.HeaderField{{Name: ":status", Value: "99"}}, false},
		"status 600":             {[]hpack.HeaderField{{Name: ":status", Value: "600"}}, false},
		"status with a sign":     {[]hpack.HeaderField{{Name: ":status", Value: "+200"}}, false},
		"status of four digits":  {[]hpack.HeaderField{{Name: ":status", Value: "0200"}}, false},
		"no status":              {[]hpack.HeaderField{{Name: "x-y", Value: "1"}}, false},
		"space in a name":        {[]hpack.HeaderField{{Name: ":status", Value: "200"}, {Name: "x y", Value: "1"}}, false},
		"space after a name":     {[]hpack.HeaderField{{Name: ":status", Value: "200"}, {Name: "x-y ", Value: "1"}}, false},
		"capital in a name":      {[]hpack.HeaderField{{Name: ":status", Value: "200"}, {Name: "X-y", Value: "1"}}, false},
		"control byte in a name": {[]hpack.HeaderField{{Name: ":status", Value: "200"}, {Name: "x-\x01y", Value: "1"}}, false},
		"line break in a value":  {[]hpack.HeaderField{{Name: ":status", Value: "200"}, {Name: "x-y", Value: "1\r\nx-z: 1"}}, false},
	} {
		address := startEngineServer(t, c.fields, body)
		engine := rockengine.New()
		ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
		session, openErr := engine.Open(ctx, address, rockengine.OpenRequest{Request: "r"})
		if openErr == nil {
			session.Close()
		}
		_, _, statusErr := engine.Status(ctx, address)
		_, orderErr := engine.Order(ctx, address, rockengine.OrderRequest{})
		for kind, err := range map[string]error{"session": openErr, "status": statusErr, "order": orderErr} {
			switch {
			case c.valid && err != nil:
				t.Errorf("%s, %s: got error %v, want none", name, kind, err)
			case !c.valid && (!errors.Is(err, rockengine.ErrLost) || errors.Is(err, rockengine.ErrNotStarted)):
				t.Errorf("%s, %s: got error %v, want ErrLost", name, kind, err)
			}
		}
		engine.Close()
		cancel()
	}
}
