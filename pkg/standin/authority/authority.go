// Package authority is a stand-in for the certificate authority that signs the
// instances' and the operators' certificates. The authority's key exists only in
// memory, and its certificate expires after one hour.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// Authority holds the certificate and the private key of a certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Files holds the paths of the PEM files of one certificate, its key and its authority.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// certificateLifetime is how long the authority's own certificate is valid after
// it is issued. Every certificate is also valid for that time before it is issued.
const certificateLifetime = time.Hour

// New returns an authority with a new key and a self-signed certificate for name.
func New(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	a := &Authority{key: key}
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-certificateLifetime), NotAfter: time.Now().Add(certificateLifetime), KeyUsage: x509.KeyUsageCertSign,
	}
	a.cert, err = a.sign(template, template, &key.PublicKey)
	return a, err
}

// sign returns a certificate for key with the contents of template, issued by
// parent and signed with the authority's key.
func (a *Authority) sign(template, parent *x509.Certificate, key *ecdsa.PublicKey) (*x509.Certificate, error) {
	template.SerialNumber = big.NewInt(time.Now().UnixNano())
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key, a.key)
	if err != nil {
		return nil, err
	}
	return x509.ParseCertificate(der)
}

// Write creates a key and a certificate for 127.0.0.1 that is valid until
// notAfter, and writes both and the authority's certificate to files in dir.
func (a *Authority) Write(dir, name string, notAfter time.Time) (Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, err
	}
	cert, err := a.sign(&x509.Certificate{
		Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-certificateLifetime), NotAfter: notAfter,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}, a.cert, &key.PublicKey)
	if err != nil {
		return Files{}, err
	}
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Files{}, err
	}
	f := Files{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authority: filepath.Join(dir, "authority.pem")}
	return f, errors.Join(
		writePEM(f.Certificate, "CERTIFICATE", cert.Raw),
		writePEM(f.Key, "EC PRIVATE KEY", der),
		writePEM(f.Authority, "CERTIFICATE", a.cert.Raw),
	)
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
