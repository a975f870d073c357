package rockoperator_test

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockcontrol"
	"sassafrasrock/io/rockoperator"
	"sassafrasrock/io/rockschema"
	v1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

// fakeControl is a stand-in for the control thread that accepts changes by compare-and-set.
type fakeControl struct {
	mu           sync.Mutex
	version      uint64
	cfg          rocktable.Configuration
	rivalChanges int // changes by other operators, each of which makes one change conflict
	drains       []rocktable.Drain
	resets       []rocktable.Reset
	counts       []rockreason.Code
	rejectReason rockreason.Code
}

func newFakeControl() *fakeControl {
	return &fakeControl{version: 1, cfg: rocktable.Configuration{
		Ranks: []rocktable.RankConfig{{Name: "urgent", FirstTokenMs: 1000, GapMs: 100, Worth: 10}},
	}}
}

func (f *fakeControl) change(_ context.Context, c rocktable.ConfigChange) (rocktable.ConfigEnd, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rivalChanges > 0 {
		f.rivalChanges--
		f.version++
	}
	switch {
	case f.rejectReason != "":
		return rocktable.ConfigEnd{Reason: f.rejectReason, Version: f.version}, nil
	case c.ExpectedVersion != f.version:
		return rocktable.ConfigEnd{Reason: rockreason.ConfigConflict, Version: f.version}, nil
	}
	f.version++
	f.cfg = c.Configuration
	return rocktable.ConfigEnd{Version: f.version}, nil
}

func (f *fakeControl) server(access rockoperator.Access) *rockoperator.Server {
	return &rockoperator.Server{
		Access: access,
		Snapshot: func() *rocktable.Snapshot {
			f.mu.Lock()
			defer f.mu.Unlock()
			return &rocktable.Snapshot{ConfigVersion: f.version, Config: f.cfg}
		},
		Status: func(context.Context) (*rocktable.Status, error) {
			return &rocktable.Status{
				Servers:  []rocktable.BackendServer{{Name: "runner-1"}},
				Suspects: []rocktable.Suspect{{Fingerprint: 0xab}},
			}, nil
		},
		Change:      f.change,
		Drain:       func(d rocktable.Drain) { f.drains = append(f.drains, d) },
		Reset:       func(r rocktable.Reset) { f.resets = append(f.resets, r) },
		Count:       func(code rockreason.Code) { f.counts = append(f.counts, code) },
		Now:         time.Now,
		NewChangeID: func() string { return "1" },
	}
}

func startServer(t *testing.T, server *rockoperator.Server, token string) *rockoperator.Client {
	t.Helper()
	s := httptest.NewServer(server.Handler())
	t.Cleanup(s.Close)
	return rockoperator.NewClient(s.URL, rockoperator.ClientSettings{Token: token, Timeout: time.Minute})
}

// Guards against access without the token, and against a server without authentication on an address
// that is not on loopback.
func TestAccess(t *testing.T) {
	sum := sha256.Sum256([]byte("secret"))
	access := rockoperator.Access{TokenSHA256: hex.EncodeToString(sum[:])}
	f := newFakeControl()
	for token, want := range map[string]connect.Code{"": connect.CodeUnauthenticated, "wrong": connect.CodeUnauthenticated, "secret": 0} {
		_, err := startServer(t, f.server(access), token).GetConfiguration(t.Context())
		if err == nil != (want == 0) || (err != nil && connect.CodeOf(err) != want) {
			t.Errorf("token %q: got error %v, want code %v", token, err, want)
		}
	}
	if len(f.counts) != 2 {
		t.Errorf("counted %d rejected calls, want 2", len(f.counts))
	}
	open := rockoperator.Access{}
	for address, want := range map[string]error{
		"127.0.0.1:1": nil, "[::1]:1": nil, "0.0.0.0:1": rockoperator.ErrOpenAccess, ":1": rockoperator.ErrOpenAccess, "192.0.2.1:1": rockoperator.ErrOpenAccess,
	} {
		if err := open.Check(address); !errors.Is(err, want) {
			t.Errorf("open access on %s: got error %v, want %v", address, err, want)
		}
	}
	if err := access.Check("0.0.0.0:1"); err != nil {
		t.Errorf("token access on 0.0.0.0: got error %v, want none", err)
	}
	if err := (rockoperator.Access{TokenSHA256: "ab"}).Check("127.0.0.1:1"); !errors.Is(err, rockoperator.ErrTokenHash) {
		t.Errorf("short hash: got error %v, want ErrTokenHash", err)
	}
}

// Guards against a token that is sent unencrypted to an address that is not on loopback.
func TestClientSettings(t *testing.T) {
	withTLS := rockoperator.ClientSettings{Token: "secret", TLS: &tls.Config{}}
	plain := rockoperator.ClientSettings{Token: "secret"}
	for _, c := range []struct {
		settings rockoperator.ClientSettings
		address  string
		want     error
	}{
		{plain, "127.0.0.1:1", nil},
		{plain, "https://192.0.2.1:1", nil},
		{plain, "192.0.2.1:1", rockoperator.ErrPlainToken},
		{plain, "http://192.0.2.1:1/", rockoperator.ErrPlainToken},
		{withTLS, "192.0.2.1:1", nil},
		{withTLS, "http://192.0.2.1:1", rockoperator.ErrPlainToken},
		{rockoperator.ClientSettings{}, "192.0.2.1:1", nil},
	} {
		if err := c.settings.Check(c.address); !errors.Is(err, c.want) {
			t.Errorf("%s: got error %v, want %v", c.address, err, c.want)
		}
	}
}

// Guards against DNS rebinding: a web page that reaches a server without authentication on loopback
// through a DNS name of its own.
func TestOpenAccessChecksHost(t *testing.T) {
	handler := newFakeControl().server(rockoperator.Access{}).Handler()
	for host, want := range map[string]int{"localhost:9": http.StatusOK, "127.0.0.1": http.StatusOK, "attacker.example:9": http.StatusUnauthorized} {
		r := httptest.NewRequest(http.MethodGet, "/debug/vars", nil)
		r.RemoteAddr, r.Host = "127.0.0.1:5", host
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if w.Code != want {
			t.Errorf("host %q: got status %d, want %d", host, w.Code, want)
		}
	}
}

// Guards against an invalid configuration that reaches the control thread, and against errors that do
// not name the field.
func TestPutConfigurationReportsFields(t *testing.T) {
	f := newFakeControl()
	client := startServer(t, f.server(rockoperator.Access{}), "")
	bad := f.cfg
	bad.Ranks = []rocktable.RankConfig{{Name: "urgent", FirstTokenMs: 0, GapMs: 100, Worth: 10}}
	bad.Callers = []rocktable.CallerConfig{{Name: "guild", TokenSHA256: "xyz"}}
	r, err := client.PutConfiguration(t.Context(), &v1.PutConfigurationRequest{
		Configuration: rockschema.ConfigurationToProto(bad), ExpectedVersion: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	fields := make([]string, 0, 3)
	for _, e := range r.GetErrors() {
		fields = append(fields, e.GetField())
	}
	if want := []string{"changeId", "ranks[0].firstTokenMs", "callers[0].tokenSha256"}; !slices.Equal(fields, want) || r.GetAccepted() || f.version != 1 {
		t.Errorf("fields = %v, accepted = %v, version = %d; want %v, false, 1", fields, r.GetAccepted(), f.version, want)
	}

	bad = f.cfg
	bad.Callers = []rocktable.CallerConfig{{Name: "guild", TokenSHA256: strings.Repeat("AB", 32)}}
	r, err = client.PutConfiguration(t.Context(), &v1.PutConfigurationRequest{
		Configuration: rockschema.ConfigurationToProto(bad), ExpectedVersion: 1, ChangeId: "a",
	})
	if err != nil || len(r.GetErrors()) != 1 || r.GetErrors()[0].GetField() != "callers[0].tokenSha256" || f.version != 1 {
		t.Errorf("response = %v, error = %v; want the upper-case hash rejected", r, err)
	}

	good := f.cfg
	good.Callers = []rocktable.CallerConfig{{Name: "guild", TokenSHA256: strings.Repeat("ab", 32)}}
	put := &v1.PutConfigurationRequest{Configuration: rockschema.ConfigurationToProto(good), ExpectedVersion: 1, ChangeId: "a"}
	if r, err = client.PutConfiguration(t.Context(), put); err != nil || !r.GetAccepted() || r.GetVersion() != 2 {
		t.Errorf("response = %v, error = %v; want accepted as version 2", r, err)
	}
	if len(f.cfg.Callers) != 1 || f.cfg.Callers[0].TokenSHA256 != strings.Repeat("ab", 32) {
		t.Errorf("callers = %v, want the one in the request", f.cfg.Callers)
	}
	if r, err = client.PutConfiguration(t.Context(), put); err != nil || r.GetReason() != string(rockreason.ConfigConflict) || r.GetVersion() != 2 {
		t.Errorf("response = %v, error = %v; want a conflict with version 2", r, err)
	}
}

// Guards against a drain that waits until it is recorded, that is not recorded after a conflict, or that
// is reported as recorded when it is not.
func TestDrainBackendServer(t *testing.T) {
	f := newFakeControl()
	f.rivalChanges = 2
	client := startServer(t, f.server(rockoperator.Access{}), "")
	r, err := client.DrainBackendServer(t.Context(), &v1.DrainBackendServerRequest{Name: "runner-1"})
	if err != nil || !r.GetRecorded() || !slices.Equal(f.cfg.Drained, []string{"runner-1"}) || len(f.drains) != 1 {
		t.Errorf("response = %v, error = %v, drained = %v, drains = %v; want the drain recorded after two conflicts", r, err, f.cfg.Drained, f.drains)
	}
	f.rejectReason = rockreason.PlatformOut
	r, err = client.DrainBackendServer(t.Context(), &v1.DrainBackendServerRequest{Name: "runner-1", Lift: true})
	if err != nil || r.GetRecorded() || len(f.drains) != 2 || !f.drains[1].Lift {
		t.Errorf("response = %v, error = %v, drains = %v; want in effect and not recorded", r, err, f.drains)
	}
	_, err = client.DrainBackendServer(t.Context(), &v1.DrainBackendServerRequest{Name: "runner-9"})
	if connect.CodeOf(err) != connect.CodeNotFound || len(f.drains) != 2 {
		t.Errorf("error = %v, drains = %v; want not found and no drain", err, f.drains)
	}
}

// Guards against a reset that reports success for an unknown fingerprint.
func TestResetQuarantine(t *testing.T) {
	f := newFakeControl()
	client := startServer(t, f.server(rockoperator.Access{}), "")
	for fingerprint, want := range map[string]bool{"00000000000000ab": true, "ac": false} {
		r, err := client.ResetQuarantine(t.Context(), &v1.ResetQuarantineRequest{Fingerprint: fingerprint})
		if err != nil || r.GetFound() != want {
			t.Errorf("%s: found = %v, error = %v, want %v", fingerprint, r.GetFound(), err, want)
		}
	}
	_, err := client.ResetQuarantine(t.Context(), &v1.ResetQuarantineRequest{Fingerprint: "no"})
	if connect.CodeOf(err) != connect.CodeInvalidArgument || len(f.resets) != 1 {
		t.Errorf("error = %v, resets = %v; want an invalid argument and one reset", err, f.resets)
	}
	if want := []rockreason.Code{rockreason.BadField}; !slices.Equal(f.counts, want) {
		t.Errorf("counted %v, want %v", f.counts, want)
	}
}

// Guards against invalid requests that are not counted.
func TestInvalidRequestsAreCounted(t *testing.T) {
	f := newFakeControl()
	server := httptest.NewServer(f.server(rockoperator.Access{}).Handler())
	defer server.Close()
	path := server.URL + "/sassafrasrock.v1.Operators/PutConfiguration"
	for _, c := range []struct {
		path, body string
		want       rockreason.Code
	}{
		{path, "{", rockreason.BadJSON},
		{path, `{"changeId": "` + strings.Repeat("a", 5<<20) + `"}`, rockreason.BodyTooLong},
		{server.URL + "/other", "{}", rockreason.UnknownPath},
	} {
		f.counts = nil
		response, err := http.Post(c.path, "application/json", strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if !slices.Equal(f.counts, []rockreason.Code{c.want}) {
			t.Errorf("status %d, counted %v, want %v", response.StatusCode, f.counts, c.want)
		}
	}
}

// Guards against function fields that do not work with the control thread, and against a server that
// keeps running after its context has ended.
func TestServeControl(t *testing.T) {
	w := rocktable.NewWorld(time.Now(), rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "ga-west-a"}, 1)
	control := rockcontrol.New(w)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go control.Run(ctx)
	server := newFakeControl().server(rockoperator.Access{})
	server.Snapshot, server.Status, server.Change = control.Snapshot, control.Status, control.Change
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	client := rockoperator.NewClient(listener.Addr().String(), rockoperator.ClientSettings{Timeout: time.Minute})
	status, err := client.GetStatus(t.Context())
	if err != nil || status.GetHost() != "entry-1" || status.GetHosts()[0].GetState() != "live" {
		t.Errorf("status = %v, error = %v; want the status of entry-1, which is live", status, err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("Serve: got error %v, want none", err)
	}
}

// newCertificate returns a self-signed certificate and a pool that contains it as root.
func newCertificate(t *testing.T) (*tls.Certificate, *x509.CertPool) {
	t.Helper()
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, pool
}

// Guards against access without a certificate of the trusted root when mutual TLS is on.
func TestMutualTLS(t *testing.T) {
	serverCertificate, serverRoots := newCertificate(t)
	trusted, clientRoots := newCertificate(t)
	untrusted, _ := newCertificate(t)
	for name, token := range map[string]string{"mutual TLS alone": "", "with a token too": strings.Repeat("ab", 32)} {
		access := rockoperator.Access{Certificate: serverCertificate, ClientRoots: clientRoots, TokenSHA256: token}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- newFakeControl().server(access).Serve(ctx, listener) }()
		for who, certificate := range map[string]*tls.Certificate{"ours": trusted, "stranger": untrusted, "none": nil} {
			cfg := &tls.Config{RootCAs: serverRoots}
			if certificate != nil {
				cfg.Certificates = []tls.Certificate{*certificate}
			}
			client := rockoperator.NewClient(listener.Addr().String(), rockoperator.ClientSettings{TLS: cfg, Timeout: time.Minute})
			if _, err := client.GetConfiguration(t.Context()); (err == nil) != (who == "ours") {
				t.Errorf("%s, certificate %s: got error %v, want one unless the certificate has a trusted root", name, who, err)
			}
		}
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("%s: Serve: got error %v, want none", name, err)
		}
	}
}
