package process

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/sourcegraph/conc"
)

// link is a TCP proxy to an address that can be switched off. It simulates the
// network link between a zone and the platform.
type link struct {
	listener    net.Listener
	destination string
	wg          conc.WaitGroup

	mu    sync.Mutex
	down  bool
	conns map[net.Conn]struct{}
}

// newLink starts a link to an address. It is closed when the test ends.
func newLink(t *testing.T, to string) *link {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0") // kept open until the test ends, so any port will do
	if err != nil {
		t.Fatal(err)
	}
	l := &link{listener: ln, destination: to, conns: map[net.Conn]struct{}{}}
	l.wg.Go(l.accept)
	t.Cleanup(func() {
		_ = ln.Close()
		l.setDown(true)
		l.wg.Wait()
	})
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

// setDown closes all connections and refuses new ones, or accepts them again.
func (l *link) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	if !down {
		return
	}
	for c := range l.conns {
		_ = c.Close()
	}
}

func (l *link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.wg.Go(func() { l.serve(client) })
	}
}

// serve proxies one connection in both directions.
func (l *link) serve(client net.Conn) {
	defer l.untrack(client)
	if !l.track(client) {
		return
	}
	server, err := net.Dial("tcp", l.destination)
	if err != nil {
		return
	}
	defer l.untrack(server)
	if !l.track(server) {
		return
	}
	var copies conc.WaitGroup
	copies.Go(func() { l.copyBytes(server, client) })
	copies.Go(func() { l.copyBytes(client, server) })
	copies.Wait()
}

// copyBytes copies one direction and closes both connections when it ends.
func (l *link) copyBytes(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// track records an open connection. It returns false if the link is down.
func (l *link) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *link) untrack(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	_ = c.Close()
}
