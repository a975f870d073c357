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

// defaultTimeout is longer than the 30 s after which a host ends an unfinished configuration change.
// The host's answer then still arrives before the call times out.
const defaultTimeout = 35 * time.Second

// settings returns the values of the settings file, overridden by the flags that are given.
func (inv *invocation) settings() (rocksettings.CommandLine, error) {
	var s rocksettings.CommandLine
	if name := inv.flags.Settings; name != "" {
		data, err := inv.ReadFile(name)
		if err != nil {
			return s, eris.Wrap(err, "settings")
		}
		if s, err = rocksettings.Decode[rocksettings.CommandLine](data); err != nil {
			return s, &exitError{code: ExitInvalid, err: eris.Wrap(err, name)}
		}
	}
	if len(inv.flags.Server) > 0 {
		s.Operators = inv.flags.Server
	}
	s.CAFile = cmp.Or(inv.flags.CAFile, s.CAFile)
	s.CertFile = cmp.Or(inv.flags.CertFile, s.CertFile)
	s.KeyFile = cmp.Or(inv.flags.KeyFile, s.KeyFile)
	if inv.flags.TokenFile != "" {
		token, err := inv.ReadFile(inv.flags.TokenFile)
		if err != nil {
			return s, eris.Wrap(err, "token file")
		}
		s.Token = strings.TrimSpace(string(token))
	}
	return s, nil
}

// clients returns a client for each operators' address in the flags or the settings, in their order.
func (inv *invocation) clients() ([]*rockoperator.Client, error) {
	s, err := inv.settings()
	if err != nil {
		return nil, err
	}
	if len(s.Operators) == 0 {
		return nil, exitWith(ExitUsage, "no server is given: use --server, or operators in the --settings file")
	}
	settings := rockoperator.ClientSettings{Token: s.Token, Timeout: cmp.Or(inv.flags.Timeout, defaultTimeout)}
	if settings.TLS, err = inv.tlsConfig(s); err != nil {
		return nil, err
	}
	clients := make([]*rockoperator.Client, len(s.Operators))
	for i, address := range s.Operators {
		if err := settings.Check(address); err != nil {
			return nil, &exitError{code: ExitUsage, err: err}
		}
		clients[i] = inv.Dial(address, settings)
	}
	return clients, nil
}

// tlsConfig returns the TLS configuration of the clients, or nil for plain HTTP if the settings name
// neither a trust root nor a certificate.
func (inv *invocation) tlsConfig(s rocksettings.CommandLine) (*tls.Config, error) {
	if s.CAFile == "" && s.CertFile == "" {
		return nil, nil
	}
	if (s.CertFile == "") != (s.KeyFile == "") {
		return nil, exitWith(ExitUsage, "a client certificate needs both --cert-file and --key-file")
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS13}
	if s.CAFile != "" {
		root, err := inv.ReadFile(s.CAFile)
		if err != nil {
			return nil, eris.Wrap(err, "trust root")
		}
		cfg.RootCAs = x509.NewCertPool()
		if !cfg.RootCAs.AppendCertsFromPEM(root) {
			return nil, exitWith(ExitInvalid, "trust root: %q holds no certificate in PEM", s.CAFile)
		}
	}
	if s.CertFile == "" {
		return cfg, nil
	}
	certificate, err := inv.ReadFile(s.CertFile)
	if err != nil {
		return nil, eris.Wrap(err, "certificate")
	}
	key, err := inv.ReadFile(s.KeyFile)
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

// callFirst calls the hosts in order and returns the answer of the first one that can be reached. A
// host that could not be reached may still have executed the call. PutConfiguration therefore carries
// a change ID, by which hosts recognise a retry as the same change.
func callFirst[T any](inv *invocation, call func(ctx context.Context, client *rockoperator.Client) (T, error)) (T, error) {
	var zero T
	clients, err := inv.clients()
	if err != nil {
		return zero, err
	}
	var failures []string
	for _, client := range clients {
		answer, err := call(inv.ctx, client)
		if err == nil {
			return answer, nil
		}
		if !isUnreachable(err) {
			return zero, eris.Wrap(err, client.Address)
		}
		failures = append(failures, client.Address+": "+err.Error())
	}
	return zero, eris.Wrap(errNoAnswer, strings.Join(failures, "; "))
}

func isUnreachable(err error) bool {
	code := connect.CodeOf(err)
	return code == connect.CodeUnavailable || code == connect.CodeDeadlineExceeded
}
