package instance

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// IdentityFiles holds the paths of the PEM files of an instance's identity.
type IdentityFiles struct {
	// Certificate and Key are the certificate and private key of this instance.
	Certificate string
	Key         string
	// Authority holds the certificates of the authority that signs the
	// certificates of all instances.
	Authority string
}

// reloadInterval is the minimum time between two checks of the files for changes.
const reloadInterval = 2 * time.Second

// Identity is an instance's certificate and the authority that it trusts. Changed
// files are reloaded; if they are invalid or can't be read, the last valid ones stay
// in use.
type Identity struct {
	files IdentityFiles
	now   func() time.Time

	mu             sync.Mutex
	keyPair        *tls.Certificate
	roots          *x509.CertPool
	loadedModTimes [3]time.Time
	lastChecked    time.Time
	reloadErr      error
}

// LoadIdentity loads an identity from files. Errors: fault.KindInvalidSettings if a
// file can't be read or parsed, fault.KindPeerRejected if the certificate is not
// valid now or not signed by the authority.
func LoadIdentity(files IdentityFiles) (*Identity, error) {
	id := &Identity{files: files, now: time.Now}
	if err := id.loadIfChanged(); err != nil {
		return nil, err
	}
	return id, nil
}

// ReloadErr returns the error of the latest reload of the files, or nil.
func (id *Identity) ReloadErr() error {
	id.mu.Lock()
	defer id.mu.Unlock()
	return id.reloadErr
}

// ServerTLS returns the TLS configuration of a server that accepts only clients with
// a certificate of the authority.
func (id *Identity) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return id.currentCertificate(), nil
		},
		VerifyConnection: id.verifyPeer,
	}
}

// ClientTLS returns the TLS configuration of a client that accepts only servers with a
// certificate of the authority. The names in a certificate are not checked:
// instances are identified by address and authority.
func (id *Identity) ClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // verifyPeer verifies the chain instead.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return id.currentCertificate(), nil
		},
		VerifyConnection: id.verifyPeer,
	}
}

// HostnameTLS returns the TLS configuration of a client that also requires the
// server's name or IP address in the server's certificate. It trusts the authority
// loaded when HostnameTLS is called; later changes of the authority file have no
// effect on it.
func (id *Identity) HostnameTLS() *tls.Config {
	id.mu.Lock()
	defer id.mu.Unlock()
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    id.roots,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return id.currentCertificate(), nil
		},
	}
}

// currentCertificate returns the certificate, after a reload if one is due.
func (id *Identity) currentCertificate() *tls.Certificate {
	id.reloadIfDue()
	id.mu.Lock()
	defer id.mu.Unlock()
	return id.keyPair
}

// verifyPeer verifies the certificate of the other side against the authority.
func (id *Identity) verifyPeer(s tls.ConnectionState) error {
	id.reloadIfDue()
	id.mu.Lock()
	roots := id.roots
	id.mu.Unlock()
	return verifyChain(s.PeerCertificates, roots, id.now())
}

// verifyChain verifies chain, which starts with the leaf, against roots at the time
// now. The error is fault.KindPeerRejected and states the reason.
func verifyChain(chain []*x509.Certificate, roots *x509.CertPool, now time.Time) error {
	if len(chain) == 0 {
		return fault.New(fault.KindPeerRejected, "the other side sent no certificate")
	}
	leaf := chain[0]
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, CurrentTime: now,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	var unknownAuthority x509.UnknownAuthorityError
	switch {
	case err == nil:
		return nil
	case now.After(leaf.NotAfter):
		return fault.New(fault.KindPeerRejected, "the certificate of %q expired at %s", leaf.Subject.CommonName, leaf.NotAfter.Format(time.RFC3339))
	case now.Before(leaf.NotBefore):
		return fault.New(fault.KindPeerRejected, "the certificate of %q is not valid before %s", leaf.Subject.CommonName, leaf.NotBefore.Format(time.RFC3339))
	case errors.As(err, &unknownAuthority):
		return fault.New(fault.KindPeerRejected, "the certificate of %q is signed by %q, which is not the configured authority", leaf.Subject.CommonName, leaf.Issuer.CommonName)
	}
	return fault.Wrap(fault.KindPeerRejected, err, "cannot verify the certificate of %q", leaf.Subject.CommonName)
}

// reloadIfDue checks the files for changes if reloadInterval has passed since the
// last check, and records the result for ReloadErr.
func (id *Identity) reloadIfDue() {
	id.mu.Lock()
	due := id.now().Sub(id.lastChecked) >= reloadInterval
	id.mu.Unlock()
	if !due {
		return
	}
	err := id.loadIfChanged()
	id.mu.Lock()
	id.reloadErr = err
	id.mu.Unlock()
}

// loadIfChanged loads the files if the modification time of one has changed.
func (id *Identity) loadIfChanged() error {
	modTimes, err := id.statModTimes()
	id.mu.Lock()
	id.lastChecked = id.now()
	unchanged := modTimes == id.loadedModTimes
	id.mu.Unlock()
	if err != nil || unchanged {
		return err
	}
	keyPair, err := tls.LoadX509KeyPair(id.files.Certificate, id.files.Key)
	if err != nil {
		return fault.Wrap(fault.KindInvalidSettings, err, "cannot load certificate %s with key %s", id.files.Certificate, id.files.Key)
	}
	pem, err := os.ReadFile(id.files.Authority)
	if err != nil {
		return fault.Wrap(fault.KindInvalidSettings, err, "cannot read authority file %s", id.files.Authority)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fault.New(fault.KindInvalidSettings, "authority file %s contains no certificate", id.files.Authority)
	}
	if err := verifyChain([]*x509.Certificate{keyPair.Leaf}, roots, id.now()); err != nil {
		return err
	}
	id.mu.Lock()
	defer id.mu.Unlock()
	id.keyPair, id.roots, id.loadedModTimes = &keyPair, roots, modTimes
	return nil
}

// statModTimes returns the modification times of the certificate, key and authority.
func (id *Identity) statModTimes() (times [3]time.Time, err error) {
	for i, name := range []string{id.files.Certificate, id.files.Key, id.files.Authority} {
		info, err := os.Stat(name)
		if err != nil {
			return times, fault.Wrap(fault.KindInvalidSettings, err, "cannot read the modification time of a TLS file")
		}
		times[i] = info.ModTime()
	}
	return times, nil
}
