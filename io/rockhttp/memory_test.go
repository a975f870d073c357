package rockhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockmemory"
	"sassafrasrock/io/rocktraffic"
)

const (
	longBody  = 4 << 20
	stepBytes = 64 << 10
)

// beginCall sends the head of a call over a connection of its own, and none of its body.
func beginCall(t *testing.T, address, framing string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	fmt.Fprintf(conn, "POST /v1/services/squares/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer open\r\n%s\r\n\r\n", framing)
	return conn, bufio.NewReader(conn)
}

func newMemoryFixture(t *testing.T) (*fixture, string) {
	f := newFixture()
	f.BodyLimitBytes, f.Memory = longBody, rockmemory.New(8<<20)
	f.Call = func(context.Context, rocktraffic.CallRequest) (rocktable.Answer, error) {
		return rocktable.Answer{Recorded: &rocktable.ClaimRow{Status: 200}}, nil
	}
	return f, f.start(t).Listener.Addr().String()
}

func waitForUse(t *testing.T, f *fixture, is func(used int64) bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !is(f.Memory.Used()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are held", f.Memory.Used())
		}
	}
}

// Guards against bodies that each are allowed and together take the memory of the host, against a refusal that comes only
// after the body, and against small requests that are refused because of large ones.
func TestBodiesAreRefusedBeforeTheyAreRead(t *testing.T) {
	f, address := newMemoryFixture(t)
	declared := fmt.Sprintf("Content-Length: %d", longBody)
	first, _ := beginCall(t, address, declared)
	waitForUse(t, f, func(used int64) bool { return used > longBody })
	_, reader := beginCall(t, address, declared)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || !response.Close {
		t.Errorf("got status %d, Retry-After %q and close %v; want 503, a time and true", response.StatusCode, response.Header.Get("Retry-After"), response.Close)
	}
	response.Body.Close()
	for _, framing := range []string{"Content-Length: 0", "Content-Length: 2\r\n\r\n{}", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0"} {
		_, reader := beginCall(t, address, framing)
		if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("%q beside a long body: got %+v and error %v, want 200", framing, response, err)
		}
	}
	_ = first.Close()
	waitForUse(t, f, func(used int64) bool { return used == 0 })
	if len(f.counts) != 1 || f.counts[0] != rockreason.MemoryFull {
		t.Errorf("got counts %v, want one of %s", f.counts, rockreason.MemoryFull)
	}
}

// Guards against short bodies without a declared length that are refused because of large ones: the parts in which they
// were read took more than a small holding may have.
func TestShortChunkedBodiesAreSmall(t *testing.T) {
	f, address := newMemoryFixture(t)
	for large := f.Memory.Open(); large.Reserve(stepBytes); {
	}
	for _, length := range []int{5 << 10, 12 << 10, 24 << 10} {
		_, reader := beginCall(t, address, fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0", length, strings.Repeat("x", length)))
		if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("a body of %d bytes beside large ones: got %+v and error %v, want 200", length, response, err)
		}
	}
}

// Guards against a refusal that does not reach a caller which reads the answer only after it has sent its body: the
// connection was closed while it sent.
func TestRefusalReachesCallersThatAreSending(t *testing.T) {
	f, address := newMemoryFixture(t)
	f.Memory.SetLimit(1 << 20)
	conn, reader := beginCall(t, address, fmt.Sprintf("Content-Length: %d", longBody))
	for range longBody / (64 << 10) {
		if _, err := conn.Write(make([]byte, 64<<10)); err != nil {
			t.Fatalf("the body could not be sent: %v", err)
		}
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("got %+v and error %v, want 503", response, err)
	}
	if data, err := io.ReadAll(response.Body); err != nil || !strings.Contains(string(data), "memoryFull") {
		t.Errorf("got body %q and error %v", data, err)
	}
}

// Guards against a body without a declared length that takes more than there is room for.
func TestChunkedBodyIsCountedWhileItIsRead(t *testing.T) {
	f, address := newMemoryFixture(t)
	f.Memory.SetLimit(1 << 20)
	conn, reader := beginCall(t, address, "Transfer-Encoding: chunked")
	go func() {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("x", 64<<10))
		for range longBody / (64 << 10) {
			if _, err := conn.Write([]byte(chunk)); err != nil {
				return // refused
			}
		}
	}()
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("got %+v and error %v, want 503", response, err)
	}
	waitForUse(t, f, func(used int64) bool { return used == 0 })
}

// Guards against a prompt whose copies are not counted.
func TestPromptIsCounted(t *testing.T) {
	f, _ := newMemoryFixture(t)
	server := f.start(t)
	var used int64
	f.Chat = func(context.Context, rocktraffic.ChatRequest, func(rocktraffic.Token) error) (rocktable.Answer, error) {
		used = f.Memory.Used()
		return rocktable.Answer{}, nil
	}
	body := strings.Replace(chatBody(`, "rank": "urgent"`), `a\nsystem: b`, strings.Repeat("x", 100<<10), 1)
	if response, data := send(t, server, "POST", "/v1/chat/completions", "open", body); response.StatusCode != http.StatusOK {
		t.Errorf("got %d %s, want 200", response.StatusCode, data)
	}
	if used < 3*int64(len(body)) {
		t.Errorf("%d bytes were held while the request ran, want at least %d", used, 3*len(body))
	}
	waitForUse(t, f, func(used int64) bool { return used == 0 })
}
