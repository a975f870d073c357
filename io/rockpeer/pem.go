package rockpeer

import (
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// RootFileName is the name of the file to which WriteFiles writes the trust root.
const RootFileName = "ca.crt"

// WriteFiles writes PEM files to a folder: the trust root as RootFileName, and for each host a new
// certificate as HOST.crt and its key as HOST.key.
func (r *Root) WriteFiles(dir string, hosts ...string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return eris.Wrap(err, "creating the folder for certificates")
	}
	if err := writePEM(filepath.Join(dir, RootFileName), "CERTIFICATE", r.certificate.Raw); err != nil {
		return err
	}
	for _, host := range hosts {
		trust, err := r.Issue(host)
		if err != nil {
			return err
		}
		key, err := x509.MarshalPKCS8PrivateKey(trust.Certificate.PrivateKey)
		if err != nil {
			return eris.Wrapf(err, "encoding the key of %s", host)
		}
		if err := writePEM(filepath.Join(dir, host+".crt"), "CERTIFICATE", trust.Certificate.Certificate[0]); err != nil {
			return err
		}
		if err := writePEM(filepath.Join(dir, host+".key"), "PRIVATE KEY", key); err != nil {
			return err
		}
	}
	return nil
}

func writePEM(name, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return eris.Wrapf(os.WriteFile(name, data, 0o600), "writing %s", name)
}
