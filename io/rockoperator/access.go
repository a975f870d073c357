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

// ErrOpenAccess says that an address beyond loopback would be served without a token or mutual TLS.
var ErrOpenAccess = eris.New("the operators' address is not a loopback address, and neither a token nor mutual TLS is set")

// ErrTokenHash says that the hash of the operators' token is not a SHA-256 in hexadecimal.
var ErrTokenHash = eris.New("the hash of the operators' token is not 64 hexadecimal digits")

// Access says who may use the server: holders of the token, or of a client certificate; if neither is set, everyone on loopback.
type Access struct {
	TokenSHA256 string           // hexadecimal; empty if there is no token
	Certificate *tls.Certificate // of the server; nil for plain HTTP
	ClientRoots *x509.CertPool   // roots of client certificates; nil if there is no mutual TLS
}

// LoadAccess returns the access of a daemon's settings; the TLS files, if any, turn mutual TLS on.
func LoadAccess(settings rocksettings.Daemon) (Access, error) {
	access := Access{TokenSHA256: settings.OperatorTokenSHA256}
	files := settings.OperatorTLS
	if files == nil {
		return access, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return access, eris.Wrap(err, "operators' certificate")
	}
	roots, err := os.ReadFile(files.CAFile)
	if err != nil {
		return access, eris.Wrap(err, "operators' trust root")
	}
	access.Certificate = &certificate
	access.ClientRoots = x509.NewCertPool()
	if !access.ClientRoots.AppendCertsFromPEM(roots) {
		return access, eris.Errorf("operators' trust root: %q holds no certificate in PEM", files.CAFile)
	}
	return access, nil
}

// Check returns an error if the address must not be served with this access.
func (a Access) Check(address string) error {
	if a.TokenSHA256 != "" {
		if _, err := a.tokenHash(); err != nil {
			return err
		}
	}
	if a.ClientRoots != nil && a.Certificate == nil {
		return eris.New("mutual TLS needs the server's certificate")
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
		// Either is enough, so a client with a token needs no certificate.
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
		// The Host header is checked too: a web page that a browser on this machine shows
		// can reach loopback under a name of its own (DNS rebinding).
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
