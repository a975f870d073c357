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

// CertificateName is the DNS name in the certificate of every host; addresses change with each replacement, so they are not in it.
const CertificateName = "peer.sassafrasrock"

// protocolName is negotiated by TLS, so that nothing but a peer is taken for one.
const protocolName = "sassafrasrock-peer"

// Trust is a host's certificate and the trust root that signs those of all hosts.
type Trust struct {
	Certificate tls.Certificate
	Roots       *x509.CertPool

	// Known reports whether a host with this fingerprint belongs to the system; it is used in place of Roots where it is set.
	Known func(fingerprint string) bool
}

// NewPinnedTrust makes a key and a certificate for a host and returns its fingerprint; peers are those that known names.
func NewPinnedTrust(now time.Time, host string, known func(fingerprint string) bool) (Trust, string, error) {
	root, err := NewThrowAwayRoot(now)
	if err != nil {
		return Trust{}, "", err
	}
	trust, err := root.Issue(host)
	if err != nil {
		return Trust{}, "", err
	}
	trust.Known = known
	return trust, fingerprint(trust.Certificate.Certificate[0]), nil
}

// fingerprint returns the SHA-256 of a certificate in hexadecimal.
func fingerprint(certificate []byte) string {
	sum := sha256.Sum256(certificate)
	return hex.EncodeToString(sum[:])
}

// errUnknownHost says that a peer's certificate is none that a host of the system has now.
var errUnknownHost = eris.New("no host has this certificate")

// checkPinned checks the certificate of the other side by its fingerprint.
func (t Trust) checkPinned(certificates [][]byte, _ [][]*x509.Certificate) error {
	if len(certificates) == 0 || !t.Known(fingerprint(certificates[0])) {
		return errUnknownHost
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
		return Trust{}, eris.Errorf("trust root %s holds no certificate", rootFile)
	}
	return Trust{Certificate: certificate, Roots: roots}, nil
}

// Root signs certificates of hosts; it is made for tests and demos and kept in memory only.
type Root struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	validFrom   time.Time
}

// throwAwayLife is how long certificates of a throw-away root are valid.
const throwAwayLife = 24 * time.Hour

// NewThrowAwayRoot makes a trust root that is valid for a day from now.
func NewThrowAwayRoot(now time.Time) (*Root, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "making the key of a trust root")
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
		return nil, eris.Wrap(err, "reading a trust root")
	}
	return &Root{certificate: certificate, key: key, validFrom: now}, nil
}

// Issue returns a certificate for a host, with the trust root.
func (r *Root) Issue(host string) (Trust, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Trust{}, eris.Wrap(err, "making the key of a certificate")
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
		NotAfter:     now.Add(throwAwayLife),
	}
}

// tlsConfig returns the configuration for both ends: each shows its certificate and checks the other's against the root.
func (t Trust) tlsConfig() *tls.Config {
	if t.Known != nil {
		return &tls.Config{
			Certificates:          []tls.Certificate{t.Certificate},
			ClientAuth:            tls.RequireAnyClientCert,
			InsecureSkipVerify:    true, // checkPinned compares fingerprints instead of a chain
			VerifyPeerCertificate: t.checkPinned,
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
