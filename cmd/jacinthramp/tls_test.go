package main

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/daemon"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/settings"
	"github.com/jacinthramp/jacinthramp/pkg/standin/authority"
	standin "github.com/jacinthramp/jacinthramp/pkg/standin/platform"
)

// newCertificate writes a certificate signed by a new authority and returns its
// files.
func newCertificate(t *testing.T) settings.TLS {
	a, err := authority.New("skupni")
	if err != nil {
		t.Fatal(err)
	}
	f, err := a.Write(t.TempDir(), "certdesk", time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	return settings.TLS{Certificate: f.Certificate, Key: f.Key, Authority: f.Authority, Admin: true}
}

// startInstance runs an instance on the platform of the test bed until the test
// ends.
func (b *testbed) startInstance(id, zone, region string, files settings.TLS) platform.Instance {
	s := settings.Default()
	s.Instance = settings.Instance{ID: id, Zone: zone, Region: region}
	const anyPort = "127.0.0.1:0"
	s.Listen = settings.Listen{Caller: anyPort, Hop: anyPort, Peer: anyPort, Admin: anyPort}
	s.TLS = files
	d, err := daemon.New(&s, b.store, zap.NewNop())
	if err != nil {
		b.t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- d.Run(b.t.Context()) }()
	b.t.Cleanup(func() {
		if err := <-done; err != nil {
			b.t.Error(err)
		}
	})
	return d.Self()
}

// newTLSTestbed returns a test bed whose instance and platform accept only TLS.
func newTLSTestbed(t *testing.T, files settings.TLS) *testbed {
	b := &testbed{t: t, store: standin.New(time.Now), dir: t.TempDir()}
	b.startInstance("i1", "osrednja-a", "osrednja", files)
	identity, err := instance.LoadIdentity(instance.IdentityFiles{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority})
	if err != nil {
		t.Fatal(err)
	}
	p := httptest.NewUnstartedServer(standin.Handler(b.store))
	p.Listener = tls.NewListener(p.Listener, identity.ServerTLS())
	p.Start()
	t.Cleanup(p.Close)
	b.url = "https://" + p.Listener.Addr().String()
	return b
}

func TestInstancesAndPlatformAcceptOnlyCertificatesOfTheAuthority(t *testing.T) {
	t.Parallel()
	own, foreign := newCertificate(t), newCertificate(t)
	b := newTLSTestbed(t, own)
	flags := func(f settings.TLS) []string {
		return []string{"--tls-certificate", f.Certificate, "--tls-key", f.Key, "--tls-authority", f.Authority}
	}
	runWith := func(args []string, more ...string) (string, int) { return b.runOnPlatform(append(more, args...)...) }
	out, code := runWith(flags(own), "apply", "--routes", exampleRoutes, "--pools", examplePools, "--wait", "20s")
	expectOutput(t, out, code, 0, "accepted as version 1", "in force")
	out, code = runWith(flags(own), "watch", "--once")
	expectOutput(t, out, code, 0, "i1", "serving")
	out, code = runWith(flags(own), "explain", "--route", "certdesk")
	expectOutput(t, out, code, 0, "certdesk")
	out, code = runWith(flags(foreign), "watch", "--once")
	expectOutput(t, out, code, fault.KindStoreUnavailable.Info().ExitCode, "certificate")
	out, code = runWith(flags(own)[:2], "watch", "--once")
	expectOutput(t, out, code, fault.ExitUsage, "--tls-key")

	list, err := b.store.ListInstances(t.Context())
	if err != nil || len(list) != 1 || !list[0].AdminTLS {
		t.Fatalf("list %+v, %v", list, err)
	}
	resp, err := (&http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}).Get("https://" + list[0].AdminAddress)
	if err == nil {
		resp.Body.Close()
		t.Error("a client without a certificate got a response")
	}
	plain := httptest.NewServer(standin.Handler(b.store))
	defer plain.Close()
	out, code = b.run("explain", "--route", "certdesk", "--platform", strings.TrimPrefix(plain.URL, "http://"))
	expectOutput(t, out, code, fault.KindPeerRejected.Info().ExitCode, "--tls-certificate")
}
