package instance

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/standin/authority"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo answers each call with something that shows what it got.
type echo struct{}

func (echo) Heartbeat(_ context.Context, q *HeartbeatRequest) (*HeartbeatReply, error) {
	return &HeartbeatReply{From: &q.From, Renewal: q.Heartbeat.Number}, nil
}

func (echo) Announce(_ context.Context, q *AnnounceRequest) (*AnnounceReply, error) {
	return &AnnounceReply{TablesVersion: q.TablesVersion}, nil
}

func (echo) Tables(context.Context, *TablesRequest) (*TablesReply, error) {
	return nil, fault.New(fault.KindNotReady, "no tables")
}

func (echo) Lend(_ context.Context, q *LendRequest) (*LendReply, error) {
	return &LendReply{Loan: allowance.Loan{Number: q.Loan.Number}}, nil
}

func (echo) Promise(context.Context, *PromiseRequest) (*WitnessReply, error) {
	return &WitnessReply{Agreed: true}, nil
}

func (echo) Consent(context.Context, *ConsentRequest) (*WitnessReply, error) {
	return &WitnessReply{}, nil
}

func (echo) Zone(_ context.Context, q *ZoneRequest) (*ZoneReply, error) {
	return &ZoneReply{TablesVersion: q.TablesVersion}, nil
}

// dropped is a topic whose position makes the echo panic.
const dropped = 77

func (echo) Catalog(_ context.Context, q *CatalogRequest) (*CatalogReply, error) {
	if q.HavePosition[0] == dropped {
		panic("a message that nobody expected")
	}
	return &CatalogReply{Position: q.HavePosition}, nil
}

// panics counts the panics that the servers of the tests have reported.
var panics atomic.Int32

// serve runs a server and returns its address.
func serve(t *testing.T, tlsConfig *tls.Config) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	panicked := func(Method, any, []byte) { panics.Add(1) }
	wg.Go(func() { _ = NewServer(echo{}, tlsConfig, panicked).Serve(ctx, ln) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return ln.Addr().String()
}

func client(t *testing.T, tlsConfig *tls.Config) *Client {
	c := NewClient(tlsConfig)
	t.Cleanup(c.Close)
	return c
}

func beat(number uint64) *HeartbeatRequest {
	k := allowance.Key{ID: "a", Incarnation: "1"}
	return &HeartbeatRequest{From: member.Info{ID: "a", Incarnation: "1"}, Heartbeat: allowance.Heartbeat{Key: k, Number: number}}
}

func TestCallsAreAnswered(t *testing.T) {
	addr, c := serve(t, nil), client(t, nil)
	for i := range uint64(3) {
		r := &HeartbeatReply{}
		if err := c.Call(t.Context(), addr, MethodHeartbeat, beat(i), r); err != nil || r.Renewal != i {
			t.Fatalf("answer %+v, %v", r, err)
		}
	}
	err := c.Call(t.Context(), addr, MethodTables, &TablesRequest{}, &TablesReply{})
	if fault.KindOf(err) != fault.KindNotReady {
		t.Errorf("kind = %v", fault.KindOf(err))
	}
	bad := beat(1)
	bad.From.ID = "b"
	if err := c.Call(t.Context(), addr, MethodHeartbeat, bad, &HeartbeatReply{}); fault.KindOf(err) != fault.KindBadRequest {
		t.Errorf("a heartbeat for another: %v", err)
	}
	if err := c.Call(t.Context(), addr, "instance.nothing", nil, nil); fault.KindOf(err) != fault.KindBadRequest {
		t.Errorf("an unknown method: %v", err)
	}
}

func TestPanicEndsItsMessageOnly(t *testing.T) {
	addr, c := serve(t, nil), client(t, nil)
	before := panics.Load()
	err := c.Call(t.Context(), addr, MethodCatalog, &CatalogRequest{HavePosition: catalog.Position{dropped}}, &CatalogReply{})
	if fault.KindOf(err) != fault.KindBadRequest {
		t.Errorf("the message that panics: %v", err)
	}
	if panics.Load() != before+1 {
		t.Error("the panic is not reported")
	}
	if err := c.Call(t.Context(), addr, MethodCatalog, &CatalogRequest{}, &CatalogReply{}); err != nil {
		t.Errorf("the message after it: %v", err)
	}
}

func TestRefusedConnectionIsToldApart(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	err = client(t, nil).Call(t.Context(), addr, MethodTables, &TablesRequest{}, &TablesReply{})
	if !IsRefused(err) || fault.KindOf(err) != fault.KindPeerUnavailable {
		t.Errorf("error = %v", err)
	}
}

func TestSilentPeerCostsOneTimeout(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	err = client(t, nil).Call(ctx, ln.Addr().String(), MethodTables, &TablesRequest{}, &TablesReply{})
	if fault.KindOf(err) != fault.KindPeerUnavailable || IsRefused(err) {
		t.Errorf("error = %v", err)
	}
}

func TestMessageAboveTheBoundIsRefused(t *testing.T) {
	var v any
	frame := binary.AppendUvarint(nil, MaxMessageBytes+1)
	err := Codec{}.ReadObject(bufio.NewReader(strings.NewReader(string(frame))), &v)
	if fault.KindOf(err) != fault.KindBodyTooLarge {
		t.Errorf("error = %v", err)
	}
}

// signer is an authority of a test.
type signer struct{ *authority.Authority }

func newAuthority(t *testing.T, name string) signer {
	a, err := authority.New(name)
	if err != nil {
		t.Fatal(err)
	}
	return signer{a}
}

// files writes an identity that is valid until notAfter.
func (a signer) files(t *testing.T, dir, name string, notAfter time.Time) IdentityFiles {
	f, err := a.Write(dir, name, notAfter)
	if err != nil {
		t.Fatal(err)
	}
	return IdentityFiles(f)
}

func identity(t *testing.T, f IdentityFiles) *Identity {
	id, err := LoadIdentity(f)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func TestMutualTLS(t *testing.T) {
	a, foreign := newAuthority(t, "skupni"), newAuthority(t, "foreign")
	later := time.Now().Add(time.Hour)
	server := identity(t, a.files(t, t.TempDir(), "server", later))
	addr := serve(t, server.ServerTLS())
	call := func(c *Client) error {
		return c.Call(t.Context(), addr, MethodHeartbeat, beat(1), &HeartbeatReply{})
	}
	good := identity(t, a.files(t, t.TempDir(), "good", later))
	if err := call(client(t, good.ClientTLS())); err != nil {
		t.Errorf("same authority: %v", err)
	}
	bad := identity(t, foreign.files(t, t.TempDir(), "bad", later))
	if err := call(client(t, bad.ClientTLS())); fault.KindOf(err) != fault.KindPeerRejected {
		t.Errorf("foreign server: %v", err)
	}
	trusting := bad.ClientTLS()
	trusting.VerifyConnection = nil
	if err := call(client(t, trusting)); fault.KindOf(err) != fault.KindPeerRejected {
		t.Errorf("foreign caller: %v", err)
	}
	if err := call(client(t, nil)); err == nil {
		t.Error("a caller without TLS is served")
	}
}

func TestExpiredAndForeignCertificatesAreNamed(t *testing.T) {
	a, foreign := newAuthority(t, "skupni"), newAuthority(t, "foreign")
	_, err := LoadIdentity(a.files(t, t.TempDir(), "old", time.Now().Add(-time.Minute)))
	if fault.KindOf(err) != fault.KindPeerRejected || !strings.Contains(err.Error(), "expired at") {
		t.Errorf("expired: %v", err)
	}
	f := foreign.files(t, t.TempDir(), "stranger", time.Now().Add(time.Hour))
	f.Authority = a.files(t, t.TempDir(), "x", time.Now().Add(time.Hour)).Authority
	_, err = LoadIdentity(f)
	if fault.KindOf(err) != fault.KindPeerRejected || !strings.Contains(err.Error(), `signed by "foreign"`) {
		t.Errorf("foreign: %v", err)
	}
}

func TestIdentityIsReloadedAndKeepsTheLastGood(t *testing.T) {
	a, dir := newAuthority(t, "skupni"), t.TempDir()
	f := a.files(t, dir, "first", time.Now().Add(time.Hour))
	id := identity(t, f)
	now := time.Now()
	id.now = func() time.Time { return now }
	name := func() string { return id.current().Leaf.Subject.CommonName }
	touch := func(at time.Time) {
		if err := errors.Join(os.Chtimes(f.Certificate, at, at), os.Chtimes(f.Key, at, at)); err != nil {
			t.Fatal(err)
		}
	}
	a.files(t, dir, "second", time.Now().Add(time.Hour))
	touch(now.Add(time.Second))
	now = now.Add(reloadInterval)
	if got := name(); got != "second" {
		t.Errorf("certificate after the change is %q", got)
	}
	if err := os.WriteFile(f.Certificate, []byte("garbage"), 0o600); err != nil {
		t.Fatal(err)
	}
	now = now.Add(reloadInterval)
	if got := name(); got != "second" || id.ReloadErr() == nil {
		t.Errorf("certificate after a bad change is %q, error %v", got, id.ReloadErr())
	}
}

func FuzzDispatch(f *testing.F) {
	methods := []Method{MethodHeartbeat, MethodAnnounce, MethodTables, MethodLend, MethodPromise, MethodConsent, MethodZone}
	for i := range methods {
		f.Add(uint8(i), []byte(`{"from":{"id":"a"},"beat":{"id":"a"},"loan":{"taker":{"id":"a"},"count":1}}`))
	}
	f.Fuzz(func(t *testing.T, i uint8, params []byte) {
		m := methods[int(i)%len(methods)]
		r, err := Dispatch(t.Context(), echo{}, m, params)
		if err == nil && r == nil || err != nil && fault.KindOf(err) == fault.KindNone {
			t.Fatalf("%s: answer %v, error %v", m, r, err)
		}
	})
}

func FuzzCodec(f *testing.F) {
	f.Add([]byte("\x02{}"))
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"))
	f.Fuzz(func(t *testing.T, frame []byte) {
		var v any
		_ = Codec{}.ReadObject(bufio.NewReader(strings.NewReader(string(frame))), &v)
	})
}
