package process

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/sourcegraph/conc"
)

// relay passes connections on to an address until it is cut. It stands for a
// link between two places.
type relay struct {
	listener net.Listener
	to       string
	wg       conc.WaitGroup

	mu    sync.Mutex
	isCut bool
	open  map[net.Conn]struct{}
}

// newRelay starts a relay to an address. It ends with the test.
func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0") // never given back before the end, so any port will do
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: ln, to: to, open: map[net.Conn]struct{}{}}
	r.wg.Go(r.accept)
	t.Cleanup(func() {
		_ = ln.Close()
		r.cut(true)
		r.wg.Wait()
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

// cut breaks every connection and refuses new ones, or lets them through again.
func (r *relay) cut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = cut
	if !cut {
		return
	}
	for c := range r.open {
		_ = c.Close()
	}
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serve(in) })
	}
}

// serve passes one connection on, both ways.
func (r *relay) serve(in net.Conn) {
	defer r.drop(in)
	if !r.keep(in) {
		return
	}
	out, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	defer r.drop(out)
	if !r.keep(out) {
		return
	}
	var both conc.WaitGroup
	both.Go(func() { r.pass(out, in) })
	both.Go(func() { r.pass(in, out) })
	both.Wait()
}

// pass copies from one end to the other, and closes both when one ends.
func (r *relay) pass(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// keep notes an open connection, unless the relay is cut.
func (r *relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isCut {
		return false
	}
	r.open[c] = struct{}{}
	return true
}

func (r *relay) drop(c net.Conn) {
	r.mu.Lock()
	delete(r.open, c)
	r.mu.Unlock()
	_ = c.Close()
}
