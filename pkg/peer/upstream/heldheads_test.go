package upstream

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestHeadsOfResponsesInProgressAreBounded has many responses begin with a large head and
// never end. Their heads stay in memory until the callers have the whole bodies.
func TestHeadsOfResponsesInProgressAreBounded(t *testing.T) {
	const (
		numConns          = 500
		headerMemoryLimit = defaultResponseHeaderMemory / 2
		heapLimit         = 46 << 20 // a quarter of the memory of a small instance
		headLines         = 2000
	)
	head := strings.Builder{}
	head.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n")
	for n := range headLines {
		fmt.Fprintf(&head, "a-%d:\n", n)
	}
	address := startUnboundedServer(t, head.String()+"\r\n", "x", 50*time.Millisecond)
	p := NewPool(NewDialer(Options{ResponseHeaderMemory: headerMemoryLimit}), address, numConns)
	defer p.Close()
	before := heapInUse()
	var responses []*Response
	for range numConns {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		if resp, err := p.Send(t.Context(), r); err == nil {
			responses = append(responses, resp)
		}
	}
	grown := heapInUse()
	grown -= min(grown, before)
	t.Logf("%d of %d responses in progress: heap and stacks grew by %d MB, limit %d MB", len(responses), numConns, grown>>20, heapLimit>>20)
	if grown > heapLimit {
		t.Errorf("heap and stacks grew by %d bytes for %d responses in progress, want at most %d", grown, len(responses), heapLimit)
	}
	if len(responses) == 0 {
		t.Error("no response was accepted")
	}
	for _, resp := range responses {
		resp.Close()
	}
	if !p.dialer.HeaderMemory().TryReserve(headerMemoryLimit) {
		t.Error("the heads of closed responses are still reserved")
	}
}
