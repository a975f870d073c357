package rockpeer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"math/big"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// CertificateName is the DNS name in the certificate of every host. Certificates do not name addresses,
// because the address of a host changes when it is replaced.
const CertificateName = "peer.sassafrasrock"

// protocolName is the TLS application protocol (ALPN). Handshakes with anything but a peer fail because of it.
const protocolName = "sassafrasrock-peer"

// Trust holds a host's certificate and the means to verify those of other hosts: trust roots or fingerprints.
type Trust struct {
	Certificate tls.Certificate
	Roots       *x509.CertPool

	// IsKnown reports whether the certificate with this SHA-256 fingerprint, in hexadecimal, belongs to
	// a host of the system. If it is set, it is used in place of Roots.
	IsKnown func(fingerprint string) bool
}

// NewPinnedTrust generates a key and a certificate for a host and returns the certificate's fingerprint.
// Peers are verified by their fingerprints with isKnown.
func NewPinnedTrust(now time.Time, host string, isKnown func(fingerprint string) bool) (Trust, string, error) {
	root, err := NewEphemeralRoot(now)
	if err != nil {
		return Trust{}, "", err
	}
	trust, err := root.Issue(host)
	if err != nil {
		return Trust{}, "", err
	}
	trust.IsKnown = isKnown
	return trust, fingerprint(trust.Certificate.Certificate[0]), nil
}

// fingerprint returns the SHA-256 of a certificate in hexadecimal.
func fingerprint(certificate []byte) string {
	sum := sha256.Sum256(certificate)
	return hex.EncodeToString(sum[:])
}

// errUnknownCertificate is returned for a certificate that no host of the system uses at present.
var errUnknownCertificate = eris.New("no host has this certificate")

// verifyFingerprint verifies the peer's certificate by its fingerprint. It is a callback of crypto/tls.
func (t Trust) verifyFingerprint(certificates [][]byte, _ [][]*x509.Certificate) error {
	if len(certificates) == 0 || !t.IsKnown(fingerprint(certificates[0])) {
		return errUnknownCertificate
	}
	return nil
}

// LoadTrust reads a certificate, its key and the trust root from PEM files.
func LoadTrust(certificateFile, keyFile, rootFile string) (Trust, error) {
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return Trust{}, eris.Wrap(err, "reading the peer certificate")
	}
	root, err := os.ReadFile(rootFile)
	if err != nil {
		return Trust{}, eris.Wrap(err, "reading the trust root")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(root) {
		return Trust{}, eris.Errorf("no PEM certificate in trust root file %s", rootFile)
	}
	return Trust{Certificate: certificate, Roots: roots}, nil
}

// Root is a certificate authority for hosts, used for tests, demonstrations and pinned certificates.
// Its key is kept in memory only.
type Root struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	validFrom   time.Time
}

// certificateValidity is the lifetime of a Root and of the certificates that it issues.
const certificateValidity = 24 * time.Hour

// NewEphemeralRoot generates a trust root that is valid for 24 hours from now.
func NewEphemeralRoot(now time.Time) (*Root, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generating the key of a trust root")
	}
	template := newTemplate(now, "sassafrasrock throw-away root")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "signing a trust root")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "parsing a trust root")
	}
	return &Root{certificate: certificate, key: key, validFrom: now}, nil
}

// Issue generates a key for a host, signs its certificate and returns both with the trust root.
func (r *Root) Issue(host string) (Trust, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Trust{}, eris.Wrap(err, "generating the key of a certificate")
	}
	template := newTemplate(r.validFrom, host)
	template.DNSNames = []string{CertificateName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, r.certificate, &key.PublicKey, r.key)
	if err != nil {
		return Trust{}, eris.Wrap(err, "signing a certificate")
	}
	roots := x509.NewCertPool()
	roots.AddCert(r.certificate)
	return Trust{Certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, Roots: roots}, nil
}

func newTemplate(now time.Time, name string) *x509.Certificate {
	serial := make([]byte, 16)
	_, _ = rand.Read(serial) // never fails since Go 1.24
	return &x509.Certificate{
		SerialNumber: new(big.Int).SetBytes(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certificateValidity),
	}
}

// tlsConfig returns the TLS configuration of both client and server: each side presents its
// certificate and verifies that of the other.
func (t Trust) tlsConfig() *tls.Config {
	if t.IsKnown != nil {
		return &tls.Config{
			Certificates:          []tls.Certificate{t.Certificate},
			ClientAuth:            tls.RequireAnyClientCert,
			InsecureSkipVerify:    true, // verifyFingerprint replaces the verification of the chain
			VerifyPeerCertificate: t.verifyFingerprint,
			NextProtos:            []string{protocolName},
			MinVersion:            tls.VersionTLS13,
		}
	}
	return &tls.Config{
		Certificates: []tls.Certificate{t.Certificate},
		RootCAs:      t.Roots,
		ClientCAs:    t.Roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   CertificateName,
		NextProtos:   []string{protocolName},
		MinVersion:   tls.VersionTLS13,
	}
}
