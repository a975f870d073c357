package rockprocess

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/binary"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/io/rockpeer"
	v1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

// badRequest is an invalid request with the status and the reason code of its refusal.
type badRequest struct {
	path   string
	token  string
	body   string
	status int
	code   rockreason.Code
}

func badRequests() []badRequest {
	const chat, service = "/v1/chat/completions", "/v1/services/"
	message := `"messages":[{"role":"user","content":"x"}]`
	return []badRequest{
		{chat, token, string(bytes.Repeat([]byte(" "), 70_000)), http.StatusRequestEntityTooLarge, rockreason.BodyTooLong},
		{chat, token, `{"model":`, http.StatusBadRequest, rockreason.BadJSON},
		{chat, token, `{"model":"none",` + message + `}`, http.StatusNotFound, rockreason.UnknownModel},
		{chat, token, `{"model":"windsock-9","rank":"none",` + message + `}`, http.StatusBadRequest, rockreason.UnknownRank},
		{service + "none/x", token, `{}`, http.StatusNotFound, rockreason.UnknownService},
		{chat, "wrong", `{}`, http.StatusUnauthorized, rockreason.Unauthorized},
	}
}

// Guards against invalid input from callers and peers that gets the wrong status or code, raises
// the wrong counters, or disturbs the streams of other requests.
func TestBadInput(t *testing.T) {
	p := newPlan(2)
	p.bodyLimit = 64 << 10
	f := p.start(t)
	h := f.hosts[0]
	group := f.startStreams(f.hosts[:1], 2, 400, 20)
	for _, bad := range badRequests() {
		f.checkCountedOnce(h, bad.code, func() {
			status, a := f.sendBadRequest(h, bad)
			if status != bad.status || a.code != string(bad.code) || a.ran != "notRun" {
				t.Errorf("%s: got status %d, code %q, ran %q; want %d, %q and notRun", bad.path, status, a.code, a.ran, bad.status, bad.code)
			}
		})
	}
	conn := f.dialPeer(h)
	tooLarge := binary.BigEndian.AppendUint32(nil, rockpeer.MaxFrameBytes+1)
	unknown, err := proto.Marshal(&v1.PeerMessage{Protocol: 99, Sender: "test"})
	if err != nil {
		t.Fatal(err)
	}
	f.checkCountedOnce(h, rockreason.FrameTooLarge, func() { f.sendFrame(conn, tooLarge) })
	f.checkCountedOnce(h, rockreason.FrameVersion, func() {
		f.sendFrame(conn, append(binary.BigEndian.AppendUint32(nil, uint32(len(unknown))), unknown...))
	})
	if s, err := f.status(h); err != nil || s.GetRequests() < 2 {
		t.Errorf("got %d requests after the invalid input, error %v; want the 2 streams", s.GetRequests(), err)
	}
	group.Wait()
	f.checkInvariants()
}

// checkCountedOnce fails the test unless an action raises the counter of a code by one, and no
// other counter of bad input or refusals.
func (f *fleet) checkCountedOnce(h *host, code rockreason.Code, action func()) {
	f.t.Helper()
	before := f.counters(h)
	action()
	eventually(f.t, "counter "+string(code)+" rises", func() bool { return f.counters(h)[code] > before[code] })
	after := f.counters(h)
	for _, reason := range rockreason.All {
		rise := after[reason.Code] - before[reason.Code]
		switch {
		case reason.Code == code && rise != 1:
			f.t.Errorf("counter %s rose by %d, want 1", code, rise)
		case reason.Code != code && rise != 0 && (reason.Kind == rockreason.BadInput || reason.Kind == rockreason.Refusal):
			f.t.Errorf("counter %s rose by %d after input for %s, want 0", reason.Code, rise, code)
		}
	}
}

// sendBadRequest sends an invalid request and returns the status and the error of its answer.
func (f *fleet) sendBadRequest(h *host, bad badRequest) (int, answer) {
	f.t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+h.settings.CallersAddress+bad.path, bytes.NewReader([]byte(bad.body)))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+bad.token)
	r.Header.Set("Idempotency-Key", "bad")
	response, err := f.httpClient.Do(r)
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	var text bytes.Buffer
	if _, err := text.ReadFrom(response.Body); err != nil {
		f.t.Fatal(err)
	}
	var a answer
	a.addEvent(text.String())
	return response.StatusCode, a
}

// dialPeer connects to a host as a peer whose certificate the fleet's root has issued.
func (f *fleet) dialPeer(h *host) *quic.Conn {
	f.t.Helper()
	file := func(name string) string { return filepath.Join(f.dir, "trust", name) }
	trust, err := rockpeer.LoadTrust(file("test.crt"), file("test.key"), file(rockpeer.RootFileName))
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	conn, err := quic.DialAddr(ctx, h.settings.PeersAddress, &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{trust.Certificate}, RootCAs: trust.Roots,
		ServerName: rockpeer.CertificateName, NextProtos: []string{"sassafrasrock-peer"},
	}, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.CloseWithError(0, "") })
	return conn
}

func (f *fleet) sendFrame(conn *quic.Conn, frame []byte) {
	f.t.Helper()
	stream, err := conn.OpenUniStream()
	if err != nil {
		f.t.Fatal(err)
	}
	_ = stream.SetWriteDeadline(time.Now().Add(conditionTimeout))
	if _, err := stream.Write(frame); err != nil {
		f.t.Fatal(err)
	}
	_ = stream.Close() // fails if the host has already refused the stream
}
