package rockcommand

import (
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"sassafrasrock/io/rockoperator"
	"sassafrasrock/io/rocksettings"
)

// defaultTimeout is longer than the 30 s after which a server ends an unfinished change.
const defaultTimeout = 35 * time.Second

// Settings are the settings file of the command line.
type Settings struct {
	Servers     []string `json:"servers" validate:"max=1024"`
	TokenFile   string   `json:"tokenFile,omitempty"`
	Certificate string   `json:"certificate,omitempty"`
	Key         string   `json:"key,omitempty"`
	TrustRoot   string   `json:"trustRoot,omitempty"`
	TimeoutMs   int      `json:"timeoutMs,omitempty" validate:"min=0,max=600000"`
}

// settings returns the settings file with the flags in place of its values.
func (inv *invocation) settings() (Settings, error) {
	var s Settings
	if name := inv.flags.Settings; name != "" {
		data, err := inv.ReadFile(name)
		if err != nil {
			return s, eris.Wrap(err, "settings")
		}
		if s, err = rocksettings.Decode[Settings](data); err != nil {
			return s, &exitError{code: ExitInvalid, err: err}
		}
	}
	if len(inv.flags.Server) > 0 {
		s.Servers = inv.flags.Server
	}
	s.TokenFile = cmp.Or(inv.flags.TokenFile, s.TokenFile)
	s.Certificate = cmp.Or(inv.flags.Certificate, s.Certificate)
	s.Key = cmp.Or(inv.flags.Key, s.Key)
	s.TrustRoot = cmp.Or(inv.flags.TrustRoot, s.TrustRoot)
	s.TimeoutMs = cmp.Or(int(inv.flags.Timeout.Milliseconds()), s.TimeoutMs, int(defaultTimeout.Milliseconds()))
	return s, nil
}

// clients returns a client for each server, in the order given.
func (inv *invocation) clients() ([]*rockoperator.Client, error) {
	s, err := inv.settings()
	if err != nil {
		return nil, err
	}
	if len(s.Servers) == 0 {
		return nil, exitWith(ExitUsage, "no server is given: use --server, or servers in the --settings file")
	}
	settings := rockoperator.ClientSettings{Timeout: time.Duration(s.TimeoutMs) * time.Millisecond}
	if settings.TLS, err = inv.tlsConfig(s); err != nil {
		return nil, err
	}
	if s.TokenFile != "" {
		token, err := inv.ReadFile(s.TokenFile)
		if err != nil {
			return nil, eris.Wrap(err, "token file")
		}
		settings.Token = strings.TrimSpace(string(token))
	}
	clients := make([]*rockoperator.Client, len(s.Servers))
	for i, address := range s.Servers {
		clients[i] = inv.Dial(address, settings)
	}
	return clients, nil
}

// tlsConfig returns nil if the settings name neither a root nor a certificate.
func (inv *invocation) tlsConfig(s Settings) (*tls.Config, error) {
	if s.TrustRoot == "" && s.Certificate == "" {
		return nil, nil
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS13}
	if s.TrustRoot != "" {
		root, err := inv.ReadFile(s.TrustRoot)
		if err != nil {
			return nil, eris.Wrap(err, "trust root")
		}
		cfg.RootCAs = x509.NewCertPool()
		if !cfg.RootCAs.AppendCertsFromPEM(root) {
			return nil, exitWith(ExitInvalid, "trust root: %q holds no certificate in PEM", s.TrustRoot)
		}
	}
	if s.Certificate == "" {
		return cfg, nil
	}
	certificate, err := inv.ReadFile(s.Certificate)
	if err != nil {
		return nil, eris.Wrap(err, "certificate")
	}
	key, err := inv.ReadFile(s.Key)
	if err != nil {
		return nil, eris.Wrap(err, "key of the certificate")
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, &exitError{code: ExitInvalid, err: eris.Wrap(err, "certificate and key")}
	}
	cfg.Certificates = []tls.Certificate{pair}
	return cfg, nil
}

var errNoAnswer = eris.New("no server answered")

// first returns the answer of the first server that can be reached; calls that write carry a change id, so that a repeated one is the same change.
func first[T any](inv *invocation, call func(ctx context.Context, client *rockoperator.Client) (T, error)) (T, error) {
	var zero T
	clients, err := inv.clients()
	if err != nil {
		return zero, err
	}
	var failed []string
	for _, client := range clients {
		answer, err := call(inv.ctx, client)
		if err == nil {
			return answer, nil
		}
		if !isUnreachable(err) {
			return zero, eris.Wrap(err, client.Address)
		}
		failed = append(failed, client.Address+": "+err.Error())
	}
	return zero, eris.Wrap(errNoAnswer, strings.Join(failed, "; "))
}

func isUnreachable(err error) bool {
	code := connect.CodeOf(err)
	return code == connect.CodeUnavailable || code == connect.CodeDeadlineExceeded
}
