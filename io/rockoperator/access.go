package rockoperator

import (
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"sassafrasrock/io/rocksettings"
)

// ErrOpenAccess is returned for an address that is not on loopback if neither a token nor mutual TLS is set.
var ErrOpenAccess = eris.New("the operators' address is not a loopback address, and neither a token nor mutual TLS is set")

// ErrTokenHash is returned if the hash of the operators' token is not a SHA-256 hash in hexadecimal.
var ErrTokenHash = eris.New("the hash of the operators' token is not 64 hexadecimal digits")

// Access defines who may use the server: clients with the token or with a client certificate. If
// neither is configured, all clients on loopback may use it.
type Access struct {
	TokenSHA256 string           // hexadecimal; empty if there is no token
	Certificate *tls.Certificate // of the server; nil for plain HTTP
	ClientRoots *x509.CertPool   // roots of client certificates; nil without mutual TLS
}

// LoadAccess returns the access that a daemon's settings define. If the settings name TLS files, it
// reads them and turns on mutual TLS.
func LoadAccess(settings rocksettings.Daemon) (Access, error) {
	access := Access{TokenSHA256: settings.OperatorTokenSHA256}
	files := settings.OperatorTLS
	if files == nil {
		return access, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return access, eris.Wrap(err, "reading the operators' certificate")
	}
	roots, err := os.ReadFile(files.CAFile)
	if err != nil {
		return access, eris.Wrap(err, "reading the operators' trust root")
	}
	access.Certificate = &certificate
	access.ClientRoots = x509.NewCertPool()
	if !access.ClientRoots.AppendCertsFromPEM(roots) {
		return access, eris.Errorf("no PEM certificate in the operators' trust root file %q", files.CAFile)
	}
	return access, nil
}

// Check returns an error if the access is invalid, or if it sets no authentication and the address is not
// on loopback.
func (a Access) Check(address string) error {
	if a.TokenSHA256 != "" {
		if _, err := a.tokenHash(); err != nil {
			return err
		}
	}
	if a.ClientRoots != nil && a.Certificate == nil {
		return eris.New("mutual TLS requires a server certificate")
	}
	if a.isOpen() && !isLoopback(address) {
		return eris.Wrapf(ErrOpenAccess, "address %q", address)
	}
	return nil
}

// TLSConfig returns the server's TLS configuration, or nil for plain HTTP.
func (a Access) TLSConfig() *tls.Config {
	if a.Certificate == nil {
		return nil
	}
	cfg := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*a.Certificate},
		NextProtos:   []string{"h2", "http/1.1"},
	}
	if a.ClientRoots == nil {
		return cfg
	}
	cfg.ClientCAs = a.ClientRoots
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	if a.TokenSHA256 != "" {
		// Either is sufficient, so a client with a token needs no certificate.
		cfg.ClientAuth = tls.VerifyClientCertIfGiven
	}
	return cfg
}

func (a Access) isOpen() bool { return a.TokenSHA256 == "" && a.ClientRoots == nil }

func (a Access) tokenHash() ([]byte, error) {
	hash, err := hex.DecodeString(a.TokenSHA256)
	if err != nil || len(hash) != sha256.Size {
		return nil, ErrTokenHash
	}
	return hash, nil
}

// allows reports whether the request may be served.
func (a Access) allows(r *http.Request) bool {
	if a.isOpen() {
		// The Host header is checked against DNS rebinding: a web page in a local browser can reach
		// loopback through a DNS name of its own.
		return isLoopback(r.RemoteAddr) && isLoopback(r.Host)
	}
	if a.ClientRoots != nil && r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		return true
	}
	return a.TokenSHA256 != "" && a.allowsToken(r.Header.Get("Authorization"))
}

func (a Access) allowsToken(header string) bool {
	scheme, token, _ := strings.Cut(header, " ")
	want, err := a.tokenHash()
	if err != nil || !strings.EqualFold(scheme, "Bearer") {
		return false
	}
	got := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(got[:], want) == 1
}

// isLoopback reports whether an address, with or without port, is a loopback IP address or localhost.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = strings.Trim(address, "[]")
	}
	if host == "localhost" {
		return true
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.Unmap().IsLoopback()
}
