package pipeline

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/peer/memory"
)

// TestHeadersOfAllConnectionsAreBounded has many callers send headers of short lines
// without end, and a part of each in the first read. Other callers must be served
// meanwhile.
func TestHeadersOfAllConnectionsAreBounded(t *testing.T) {
	const (
		numConns    = 300
		memoryLimit = 8 << 20
		heapLimit   = 46 << 20 // a quarter of the memory of a small instance
	)
	budget := memory.NewBudget(memoryLimit)
	_, address := startServerWith(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	}, func(s *Server) { s.MaxHeaderBytes, s.HeaderMemory = 64<<10, budget })
	var lines strings.Builder
	for n := range 8000 {
		fmt.Fprintf(&lines, "a-%d:\n", n)
	}
	unfinished := "GET / HTTP/1.1\r\nHost: x\r\n" + lines.String()
	before := heapInUse()
	var wg sync.WaitGroup
	conns := make([]net.Conn, numConns)
	for i := range conns {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		conns[i] = c
		wg.Go(func() { _, _ = io.WriteString(c, unfinished) })
	}
	wg.Wait()
	peak := uint64(0)
	for range 5 {
		_, br := dialAndSend(t, address, getRequest("/other"))
		if _, got := readResponse(t, br); got != "/other" {
			t.Errorf("response %q of another caller", got)
		}
		peak = max(peak, heapInUse())
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("%d connections: heap and stacks grew by %d MB, limit %d MB", numConns, (peak-min(peak, before))>>20, heapLimit>>20)
	if peak > before+heapLimit {
		t.Errorf("heap and stacks grew by %d bytes for %d connections, want at most %d", peak-before, numConns, heapLimit)
	}
	for _, c := range conns {
		_ = c.Close()
	}
	for !budget.TryReserve(memoryLimit) {
		time.Sleep(time.Millisecond) // hangs if a closed connection keeps its reservation
	}
}

// TestHeaderWithoutRoomIsRefused sends a large header while the shared memory is used up.
func TestHeaderWithoutRoomIsRefused(t *testing.T) {
	_, address := startServerWith(t, func(http.ResponseWriter, *http.Request) {
		t.Error("the request was handled")
	}, func(s *Server) { s.HeaderMemory = memory.NewBudget(0) })
	_, br := dialAndSend(t, address, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a: b\r\n", 200)+"\r\n")
	resp, _ := readResponse(t, br)
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
}

// TestHeaderOfRequestInProgressKeepsItsMemory checks that a header is accounted for until
// its request has been answered.
func TestHeaderOfRequestInProgressKeepsItsMemory(t *testing.T) {
	const memoryLimit = 64 << 10
	budget := memory.NewBudget(memoryLimit)
	handling, proceed := make(chan struct{}), make(chan struct{})
	_, address := startServerWith(t, func(http.ResponseWriter, *http.Request) {
		close(handling)
		<-proceed
	}, func(s *Server) { s.HeaderMemory = budget })
	_, br := dialAndSend(t, address, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a: b\r\n", 200)+"\r\n")
	<-handling
	if budget.TryReserve(memoryLimit) {
		t.Error("the header of a request in progress is not accounted for")
	}
	close(proceed)
	readResponse(t, br)
	for !budget.TryReserve(memoryLimit) {
		time.Sleep(time.Millisecond)
	}
}

// heapInUse returns the bytes in use by live heap objects and stacks.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
