package main

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/daemon"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
	"github.com/jacinthramp/jacinthramp/pkg/settings"
	standin "github.com/jacinthramp/jacinthramp/pkg/standin/platform"
)

// certify writes a certificate for 127.0.0.1 of a new authority.
func certify(t *testing.T) settings.TLS {
	dir := t.TempDir()
	caKey, caErr := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	key, keyErr := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	from, to := time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "skupni"}, NotBefore: from, NotAfter: to,
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "certdesk"}, NotBefore: from, NotAfter: to,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	caDER, selfErr := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	leafDER, signErr := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
	keyDER, encodeErr := x509.MarshalECPrivateKey(key)
	if err := errors.Join(caErr, keyErr, selfErr, signErr, encodeErr); err != nil {
		t.Fatal(err)
	}
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	return settings.TLS{
		Certificate: write("cert.pem", "CERTIFICATE", leafDER), Key: write("key.pem", "EC PRIVATE KEY", keyDER),
		Authority: write("ca.pem", "CERTIFICATE", caDER), Admin: true,
	}
}

// secured is a bench whose instance and platform speak only TLS.
func secured(t *testing.T, files settings.TLS) *bench {
	b := &bench{t: t, store: standin.New(time.Now), dir: t.TempDir()}
	s := settings.Default()
	s.Instance = settings.Instance{ID: "i1", Zone: "osrednja-a", Region: "osrednja"}
	const anyPort = "127.0.0.1:0"
	s.Listen = settings.Listen{Caller: anyPort, Hop: anyPort, Peer: anyPort, Admin: anyPort}
	s.TLS = files
	d, err := daemon.New(&s, b.store, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	id, err := instance.LoadIdentity(instance.Files{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority})
	if err != nil {
		t.Fatal(err)
	}
	p := httptest.NewUnstartedServer(standin.Handler(b.store))
	p.Listener = tls.NewListener(p.Listener, id.ServerTLS())
	p.Start()
	t.Cleanup(p.Close)
	b.url = "https://" + p.Listener.Addr().String()
	return b
}

func TestInstancesAndPlatformTakeOnlyCertificatesOfTheAuthority(t *testing.T) {
	own, foreign := certify(t), certify(t)
	b := secured(t, own)
	flags := func(f settings.TLS) []string {
		return []string{"--tls-certificate", f.Certificate, "--tls-key", f.Key, "--tls-authority", f.Authority}
	}
	with := func(args []string, more ...string) (string, int) { return b.onPlatform(append(more, args...)...) }
	out, code := with(flags(own), "apply", "--routes", exampleRoutes, "--pools", examplePools, "--wait", "20s")
	expect(t, out, code, 0, "accepted as version 1", "in force")
	out, code = with(flags(own), "watch", "--once")
	expect(t, out, code, 0, "i1", "serving")
	out, code = with(flags(own), "explain", "--route", "certdesk")
	expect(t, out, code, 0, "certdesk")
	out, code = with(flags(foreign), "watch", "--once")
	expect(t, out, code, fault.KindStoreUnavailable.Answer().Exit, "certificate")
	out, code = with(flags(own)[:2], "watch", "--once")
	expect(t, out, code, fault.ExitUsage, "--tls-key")

	list, err := b.store.ListInstances(t.Context())
	if err != nil || len(list) != 1 || !list[0].AdminTLS {
		t.Fatalf("list %+v, %v", list, err)
	}
	resp, err := (&http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}).Get("https://" + list[0].AdminAddress)
	if err == nil {
		resp.Body.Close()
		t.Error("a caller without a certificate is answered")
	}
	plain := httptest.NewServer(standin.Handler(b.store))
	defer plain.Close()
	out, code = b.run("explain", "--route", "certdesk", "--platform", strings.TrimPrefix(plain.URL, "http://"))
	expect(t, out, code, fault.KindPeerRejected.Answer().Exit, "--tls-certificate")
}
