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

// IdentityFiles names the PEM files of an instance's identity.
type IdentityFiles struct {
	// Certificate and Key are this instance's own.
	Certificate string
	Key         string
	// Authority signs the certificates of all instances.
	Authority string
}

// reloadInterval is the least time between two looks at the files.
const reloadInterval = 2 * time.Second

// Identity is an instance's certificate and the authority that it trusts. The
// files are read again after they have changed; while they can't be read, the
// last good ones stay in use.
type Identity struct {
	files IdentityFiles
	now   func() time.Time

	mu       sync.Mutex
	pair     *tls.Certificate
	roots    *x509.CertPool
	modified [3]time.Time
	looked   time.Time
	err      error
}

// LoadIdentity reads the files. Errors: fault.KindInvalidSettings when one
// can't be read, fault.KindPeerRejected when the certificate has expired or
// is not of the authority.
func LoadIdentity(files IdentityFiles) (*Identity, error) {
	id := &Identity{files: files, now: time.Now}
	if err := id.load(); err != nil {
		return nil, err
	}
	return id, nil
}

// ReloadErr returns why the files could not be read again, or nil.
func (id *Identity) ReloadErr() error {
	id.mu.Lock()
	defer id.mu.Unlock()
	return id.err
}

// ServerTLS returns the configuration that requires certificates of callers.
func (id *Identity) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return id.current(), nil
		},
		VerifyConnection: id.verify,
	}
}

// ClientTLS returns the configuration for calls. Instances are known by
// address and authority, so that the name in a certificate is not compared.
func (id *Identity) ClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // verify checks the chain in its place.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return id.current(), nil
		},
		VerifyConnection: id.verify,
	}
}

// HostnameTLS returns the configuration for calls to a server that is known by
// its name or IP number, which its certificate of the authority must hold. The
// authority is that of the time of the call.
func (id *Identity) HostnameTLS() *tls.Config {
	id.mu.Lock()
	defer id.mu.Unlock()
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    id.roots,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return id.current(), nil
		},
	}
}

// current returns the certificate, read again when the files have changed.
func (id *Identity) current() *tls.Certificate {
	id.refresh()
	id.mu.Lock()
	defer id.mu.Unlock()
	return id.pair
}

// verify checks the other side's certificate against the authority.
func (id *Identity) verify(s tls.ConnectionState) error {
	id.refresh()
	id.mu.Lock()
	roots := id.roots
	id.mu.Unlock()
	return verifyChain(s.PeerCertificates, roots, id.now())
}

// verifyChain returns fault.KindPeerRejected with the reason in plain words.
func verifyChain(chain []*x509.Certificate, roots *x509.CertPool, now time.Time) error {
	if len(chain) == 0 {
		return fault.New(fault.KindPeerRejected, "no certificate was shown")
	}
	leaf := chain[0]
	inter := x509.NewCertPool()
	for _, c := range chain[1:] {
		inter.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: inter, CurrentTime: now,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	var unknown x509.UnknownAuthorityError
	switch {
	case err == nil:
		return nil
	case now.After(leaf.NotAfter):
		return fault.New(fault.KindPeerRejected, "the certificate of %q expired at %s", leaf.Subject.CommonName, leaf.NotAfter.Format(time.RFC3339))
	case now.Before(leaf.NotBefore):
		return fault.New(fault.KindPeerRejected, "the certificate of %q is valid from %s only", leaf.Subject.CommonName, leaf.NotBefore.Format(time.RFC3339))
	case errors.As(err, &unknown):
		return fault.New(fault.KindPeerRejected, "the certificate of %q is signed by %q, which is not the configured authority", leaf.Subject.CommonName, leaf.Issuer.CommonName)
	}
	return fault.Wrap(fault.KindPeerRejected, err, "the certificate of %q", leaf.Subject.CommonName)
}

// refresh reads the files again when one has changed.
func (id *Identity) refresh() {
	id.mu.Lock()
	due := id.now().Sub(id.looked) >= reloadInterval
	id.mu.Unlock()
	if !due {
		return
	}
	err := id.load()
	id.mu.Lock()
	id.err = err
	id.mu.Unlock()
}

// load reads the files when they have changed.
func (id *Identity) load() error {
	modified, err := id.modifiedTimes()
	id.mu.Lock()
	id.looked = id.now()
	same := modified == id.modified
	id.mu.Unlock()
	if err != nil || same {
		return err
	}
	pair, err := tls.LoadX509KeyPair(id.files.Certificate, id.files.Key)
	if err != nil {
		return fault.Wrap(fault.KindInvalidSettings, err, "certificate %s with key %s", id.files.Certificate, id.files.Key)
	}
	pem, err := os.ReadFile(id.files.Authority)
	if err != nil {
		return fault.Wrap(fault.KindInvalidSettings, err, "authority %s", id.files.Authority)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fault.New(fault.KindInvalidSettings, "authority %s holds no certificate", id.files.Authority)
	}
	if err := verifyChain([]*x509.Certificate{pair.Leaf}, roots, id.now()); err != nil {
		return err
	}
	id.mu.Lock()
	defer id.mu.Unlock()
	id.pair, id.roots, id.modified = &pair, roots, modified
	return nil
}

func (id *Identity) modifiedTimes() (times [3]time.Time, err error) {
	for i, name := range []string{id.files.Certificate, id.files.Key, id.files.Authority} {
		info, err := os.Stat(name)
		if err != nil {
			return times, fault.Wrap(fault.KindInvalidSettings, err, "identity file")
		}
		times[i] = info.ModTime()
	}
	return times, nil
}
