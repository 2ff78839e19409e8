package daemon

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/settings"
	standin "github.com/jacinthramp/jacinthramp/pkg/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const anyPort = "127.0.0.1:0"

func testSettings() *settings.Settings {
	s := settings.Default()
	s.Instance = settings.Instance{ID: "i-1", Zone: "osrednja-a", Region: "osrednja"}
	s.Listen = settings.Listen{Caller: anyPort, Hop: anyPort, Peer: anyPort, Admin: anyPort}
	return &s
}

func TestAddressInUseIsInvalidSettings(t *testing.T) {
	taken, err := net.Listen("tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	s := testSettings()
	s.Listen.Admin = taken.Addr().String()
	if _, err := New(s, standin.New(nil), zap.NewNop()); fault.KindOf(err) != fault.KindInvalidSettings {
		t.Fatalf("err = %v, want kind invalid-settings", err)
	}
}

// TestListenAddressesHaveBoundPorts binds port 0 for each listener and connects to the
// addresses that the instance names.
func TestListenAddressesHaveBoundPorts(t *testing.T) {
	s := testSettings()
	s.Listen.Lookup, s.Listen.Ready = anyPort, anyPort
	d, err := New(s, standin.New(nil), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	a := d.ListenAddresses()
	bound := map[string]bool{}
	for _, address := range []string{a.Caller, a.Hop, a.Peer, a.Admin, a.Lookup, a.Ready} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Errorf("nothing listens on %s: %v", address, err)
			continue
		}
		bound[address] = true
		_ = conn.Close()
	}
	if len(bound) != 6 || a.Caller != d.Self().CallerAddress {
		t.Errorf("addresses %+v, want 6 different ones with the caller address %s", a, d.Self().CallerAddress)
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if err := d.Run(ctx); err != nil {
		t.Error(err)
	}
}

func TestInstanceRegistersAndLeavesList(t *testing.T) {
	store := standin.New(nil)
	s := testSettings()
	s.Listen.PeerAdvertised = "10.0.0.1:7413"
	d, err := New(s, store, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if got := d.Self().PeerAddress; got != s.Listen.PeerAdvertised {
		t.Errorf("PeerAddress = %s, want the advertised %s", got, s.Listen.PeerAdvertised)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	for {
		list, err := store.ListInstances(t.Context())
		if err == nil && len(list) == 1 && list[0] == d.Self() {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	stop()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if list, err := store.ListInstances(t.Context()); err != nil || len(list) != 0 {
		t.Fatalf("list of instances after Run returned: %+v, error %v, want none", list, err)
	}
}

func TestUnreadableCertificateIsInvalidSettings(t *testing.T) {
	s := settings.Default()
	s.TLS = settings.TLS{Certificate: "none.pem", Key: "none.key", Authority: "none.ca"}
	if _, err := New(&s, nil, zap.NewNop()); fault.KindOf(err) != fault.KindInvalidSettings {
		t.Errorf("err = %v, want kind invalid-settings", err)
	}
}
