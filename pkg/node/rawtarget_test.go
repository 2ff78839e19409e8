package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// rawTarget accepts connections whose bytes a test reads and writes itself.
type rawTarget struct {
	ln net.Listener
	wg sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// startRaw starts a rawTarget and returns its address. It calls serve for each
// connection in a goroutine of its own, and closes the connection when serve returns.
func startRaw(t *testing.T, serve func(c net.Conn, br *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	rt := &rawTarget{ln: ln}
	rt.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			rt.mu.Lock()
			rt.conns = append(rt.conns, c)
			rt.mu.Unlock()
			rt.wg.Go(func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() {
		ln.Close()
		rt.mu.Lock()
		for _, c := range rt.conns {
			c.Close()
		}
		rt.mu.Unlock()
		rt.wg.Wait()
	})
	return ln.Addr().String()
}

// readRequest reads one request with its body. ok is false if that fails, for example
// at the end of the connection.
func readRequest(br *bufio.Reader) (r *http.Request, ok bool) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err == nil
}
