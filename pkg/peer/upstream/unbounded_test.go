package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// startUnboundedServer starts a server that writes prefix on each connection and
// then repeated after every pause until the client closes the connection.
func startUnboundedServer(t *testing.T, prefix, repeated string, pause time.Duration) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { writeUntilClosed(c, prefix, repeated, pause) })
		}
	})
	t.Cleanup(func() {
		ln.Close()
		wg.Wait() // hangs if the client never closes a connection
	})
	return ln.Addr().String()
}

// writeUntilClosed writes to c until a write fails. Each # in repeated is replaced by
// the number of the repetition.
func writeUntilClosed(c net.Conn, prefix, repeated string, pause time.Duration) {
	defer c.Close()
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return
	}
	_, err := io.WriteString(c, prefix)
	for n := 0; err == nil; n++ {
		_, err = io.WriteString(c, strings.ReplaceAll(repeated, "#", fmt.Sprint(n)))
		time.Sleep(pause)
	}
}

// unboundedResponses has the parts of a response that a server can continue without
// end.
var unboundedResponses = map[string]struct {
	prefix, repeated string
	// complete is true when a complete response precedes the repeated bytes.
	complete bool
}{
	"status line":                   {"HTTP/1.1 200 ", "xxxxxxxx", false},
	"no response":                   {"", "xxxxxxxx", false},
	"header line":                   {"HTTP/1.1 200 OK\r\nA: ", "xxxxxxxx", false},
	"header lines":                  {"HTTP/1.1 200 OK\r\n", "a-#: b\r\n", false},
	"header lines, one name":        {"HTTP/1.1 200 OK\r\n", "a: b\r\n", false},
	"interim responses":             {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", false},
	"interim header lines":          {"HTTP/1.1 103 Early Hints\r\n", "a-#: b\r\n", false},
	"chunk extension":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "a=b;", false},
	"chunk extensions":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("e", 200) + "\r\nx\r\n", false},
	"trailer":                       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a-#: b\r\n", false},
	"bytes past the Content-Length": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "xxxxxxxx", true},
	"unsolicited responses":         {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", true},
}

func TestUnboundedResponseIsReadUpToLimit(t *testing.T) {
	for name, c := range unboundedResponses {
		t.Run(name, func(t *testing.T) {
			p := NewPool(NewDialer(Options{}), startUnboundedServer(t, c.prefix, c.repeated, 0), 1)
			defer p.Close()
			if err := sendRequest(t.Context(), p); (err == nil) != c.complete {
				t.Errorf("error %v", err)
			}
			if c.complete {
				time.Sleep(time.Millisecond)
				p.Sweep()
			}
			if p.OpenConnections() != 0 {
				t.Error("the connection is still open")
			}
		})
	}
}

func TestSlowUnboundedResponseIsReadUntilDeadline(t *testing.T) {
	for name, c := range unboundedResponses {
		if c.complete {
			continue
		}
		t.Run(name, func(t *testing.T) {
			p := NewPool(NewDialer(Options{}), startUnboundedServer(t, c.prefix, c.repeated, 3*time.Millisecond), 1)
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 60*time.Millisecond)
			defer cancel()
			if err := sendRequest(ctx, p); err == nil || p.OpenConnections() != 0 {
				t.Errorf("error %v, %d connections open", err, p.OpenConnections())
			}
		})
	}
}

// TestHeaderMemoryOfAllConnectionsIsBounded sends unbounded headers on many
// connections at once. An instance with 184 MB of memory and 2,000 connections must
// stay below its limit; the test uses half of both.
func TestHeaderMemoryOfAllConnectionsIsBounded(t *testing.T) {
	const (
		numConns          = 1000
		headerMemoryLimit = defaultResponseHeaderMemory / 2
		heapLimit         = 92 << 20
	)
	address := startUnboundedServer(t, "HTTP/1.1 200 OK\r\n", "a-#:\n", 10*time.Microsecond)
	p := NewPool(NewDialer(Options{ResponseHeaderMemory: headerMemoryLimit}), address, numConns)
	defer p.Close()
	before := heapInUse()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for range numConns {
		wg.Go(func() {
			for ctx.Err() == nil {
				_ = sendRequest(ctx, p)
			}
		})
	}
	peak := uint64(0)
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		peak = max(peak, heapInUse())
	}
	wg.Wait()
	t.Logf("%d connections: heap and stacks grew by %d MB, limit %d MB", numConns, (peak-min(peak, before))>>20, heapLimit>>20)
	if peak > before+heapLimit {
		t.Errorf("heap and stacks grew by %d bytes for %d connections, want at most %d", peak-before, numConns, heapLimit)
	}
}

// heapInUse returns the bytes in use by live heap objects and stacks.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
