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

// endless accepts connections, and on each writes first, then unit again and again
// with a pause between, until the other end closes.
func endless(t *testing.T, first, unit string, pause time.Duration) (address string) {
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
			wg.Go(func() { flood(c, first, unit, pause) })
		}
	})
	t.Cleanup(func() {
		ln.Close()
		wg.Wait() // hangs when a connection is never closed
	})
	return ln.Addr().String()
}

// flood writes to c until it is closed.
func flood(c net.Conn, first, unit string, pause time.Duration) {
	defer c.Close()
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return
	}
	_, err := io.WriteString(c, first)
	for n := 0; err == nil; n++ {
		_, err = io.WriteString(c, strings.ReplaceAll(unit, "#", fmt.Sprint(n)))
		time.Sleep(pause)
	}
}

// endlessAnswers are the ways in which bytes that are no answer never end.
var endlessAnswers = map[string]struct {
	first, unit string
	// whole says that a whole answer comes first.
	whole bool
}{
	"status line":             {"HTTP/1.1 200 ", "xxxxxxxx", false},
	"no answer":               {"", "xxxxxxxx", false},
	"header line":             {"HTTP/1.1 200 OK\r\nA: ", "xxxxxxxx", false},
	"header lines":            {"HTTP/1.1 200 OK\r\n", "a-#: b\r\n", false},
	"header lines, one name":  {"HTTP/1.1 200 OK\r\n", "a: b\r\n", false},
	"interim answers":         {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", false},
	"interim header lines":    {"HTTP/1.1 103 Early Hints\r\n", "a-#: b\r\n", false},
	"chunk extension":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "a=b;", false},
	"chunk extensions":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("e", 200) + "\r\nx\r\n", false},
	"trailer":                 {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a-#: b\r\n", false},
	"bytes past the length":   {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "xxxxxxxx", true},
	"answers past the answer": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", true},
}

func TestBytesWithoutEndAreReadToABound(t *testing.T) {
	for name, c := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			p := NewPool(NewDialer(Options{}), endless(t, c.first, c.unit, 0), 1)
			defer p.Close()
			if err := send(t.Context(), p); (err == nil) != c.whole {
				t.Errorf("error %v", err)
			}
			if c.whole {
				time.Sleep(time.Millisecond)
				p.Sweep()
			}
			if p.OpenConnections() != 0 {
				t.Error("the connection is kept")
			}
		})
	}
}

func TestSlowBytesWithoutEndAreReadToTheDeadline(t *testing.T) {
	for name, c := range endlessAnswers {
		if c.whole {
			continue
		}
		t.Run(name, func(t *testing.T) {
			p := NewPool(NewDialer(Options{}), endless(t, c.first, c.unit, 3*time.Millisecond), 1)
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 60*time.Millisecond)
			defer cancel()
			if err := send(ctx, p); err == nil || p.OpenConnections() != 0 {
				t.Errorf("error %v, %d connections open", err, p.OpenConnections())
			}
		})
	}
}

// TestHeadersOfAllConnectionsTakeBoundedMemory feeds headers that don't end to many
// connections at once. An instance with 184 MB and 2,000 connections must stay
// below its limit, here with half of both.
func TestHeadersOfAllConnectionsTakeBoundedMemory(t *testing.T) {
	const (
		connections = 1000
		shared      = defaultAnswerHeaders / 2
		limit       = 92 << 20
	)
	address := endless(t, "HTTP/1.1 200 OK\r\n", "a-#:\n", 10*time.Microsecond)
	p := NewPool(NewDialer(Options{ResponseHeaderMemory: shared}), address, connections)
	defer p.Close()
	before := heapInUse()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for range connections {
		wg.Go(func() {
			for ctx.Err() == nil {
				_ = send(ctx, p)
			}
		})
	}
	most := uint64(0)
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		most = max(most, heapInUse())
	}
	wg.Wait()
	t.Logf("%d connections: %d MB, bound %d MB", connections, (most-min(most, before))>>20, limit>>20)
	if most > before+limit {
		t.Errorf("%d bytes for %d connections, want at most %d", most-before, connections, limit)
	}
}

// heapInUse returns the bytes of live objects and stacks.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
