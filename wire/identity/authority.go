package identity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	authorityName  = "ca"
	authorityLife  = 10 * 365 * 24 * time.Hour
	vmLife         = 2 * 365 * 24 * time.Hour
	clockTolerance = time.Hour
	serialBits     = 120
	secretMode     = 0o600
	folderMode     = 0o700
)

// Authority issues certificates to the VMs of one deployment.
type Authority struct {
	folder      string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// OpenAuthority loads ca.pem and ca.key from a folder, or creates them if there are none.
func OpenAuthority(folder string) (*Authority, error) {
	a := &Authority{folder: folder}
	certificate, err := readPEM(a.path(authorityName, "pem"))
	if errors.Is(err, fs.ErrNotExist) {
		return a, a.create()
	}
	if err != nil {
		return nil, err
	}
	key, err := readPEM(a.path(authorityName, "key"))
	if err != nil {
		return nil, err
	}
	if a.certificate, err = x509.ParseCertificate(certificate); err != nil {
		return nil, err
	}
	a.key, err = x509.ParseECPrivateKey(key)
	return a, err
}

func (a *Authority) path(name, suffix string) string {
	return filepath.Join(a.folder, name+"."+suffix)
}

func readPEM(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, fmt.Errorf("file %s holds no PEM block", path)
	}
	return block.Bytes, nil
}

func (a *Authority) create() error {
	if err := os.MkdirAll(a.folder, folderMode); err != nil {
		return err
	}
	template, err := newTemplate("trefoilcourse authority", authorityLife)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	if a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		return err
	}
	a.certificate = template
	if err := a.write(authorityName, template, a.key); err != nil {
		return err
	}
	der, err := readPEM(a.path(authorityName, "pem"))
	if err != nil {
		return err
	}
	a.certificate, err = x509.ParseCertificate(der)
	return err
}

func newTemplate(name string, life time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-clockTolerance), NotAfter: now.Add(life),
	}, nil
}

// Issue writes a certificate and its key for a VM with these addresses, and returns their paths.
func (a *Authority) Issue(name string, addresses ...net.IP) (Files, error) {
	template, err := newTemplate(name, vmLife)
	if err != nil {
		return Files{}, err
	}
	template.IPAddresses = addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, err
	}
	files := Files{Certificate: a.path(name, "pem"), Key: a.path(name, "key"), Authority: a.path(authorityName, "pem")}
	return files, a.write(name, template, key)
}

// write signs a certificate and writes it and its key.
func (a *Authority) write(name string, template *x509.Certificate, key *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err := writePEM(a.path(name, "key"), "EC PRIVATE KEY", secret); err != nil {
		return err
	}
	return writePEM(a.path(name, "pem"), "CERTIFICATE", der)
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), secretMode)
}
