package instance

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/jsonrpc2"
)

// heapLimit is half of the memory of a small instance.
const heapLimit = 92 << 20

// heapInUse returns the bytes in use by live heap objects and stacks.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// checkHeapWhileServing checks that the heap stays within heapLimit of before, and that
// the server at address serves other instances meanwhile.
func checkHeapWhileServing(t *testing.T, address string, before uint64) {
	t.Helper()
	c, peak := newTestClient(t, nil), before
	for i := range uint64(50) {
		if err := c.Call(t.Context(), address, MethodHeartbeat, newHeartbeat(i), &HeartbeatReply{}); err != nil {
			t.Errorf("call of another instance: %v", err)
		}
		peak = max(peak, heapInUse())
		time.Sleep(2 * time.Millisecond)
	}
	t.Logf("heap and stacks grew by %d MB, limit %d MB", (peak-before)>>20, heapLimit>>20)
	if peak-before > heapLimit {
		t.Errorf("heap and stacks grew by %d bytes, want at most %d", peak-before, heapLimit)
	}
}

// checkMemoryReturned waits until no message is accounted for.
func checkMemoryReturned() {
	for !largeMessages.TryReserve(largeMessageMemory) {
		time.Sleep(time.Millisecond) // hangs if a reservation was not returned
	}
	largeMessages.Release(largeMessageMemory)
}

// sendAll sends data on n connections to address. The connections stay open until the
// returned function is called.
func sendAll(t *testing.T, address string, n int, data []byte) (closeAll func()) {
	t.Helper()
	var wg conc.WaitGroup
	conns := make([]net.Conn, n)
	for i := range conns {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		conns[i] = c
		wg.Go(func() { _, _ = c.Write(data) })
	}
	wg.Wait()
	return func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// TestEndlessMessagesOfPeersAreBounded has many peers send the start of a large message.
func TestEndlessMessagesOfPeersAreBounded(t *testing.T) {
	address := startServer(t, nil)
	before := heapInUse()
	closeAll := sendAll(t, address, 200, append(binary.AppendUvarint(nil, MaxMessageBytes), bytes.Repeat([]byte("x"), 1<<20)...))
	checkHeapWhileServing(t, address, before)
	closeAll()
	checkMemoryReturned()
}

// blockingHandler is an echoHandler whose Tables waits until release is closed.
type blockingHandler struct {
	echoHandler
	release chan struct{}
}

func (h blockingHandler) Tables(context.Context, *TablesRequest) (*TablesReply, error) {
	<-h.release
	return &TablesReply{}, nil
}

// TestDecompressedMessagesOfPeersAreBounded has many peers send a small message that is
// large after decompression, and is being handled.
func TestDecompressedMessagesOfPeersAreBounded(t *testing.T) {
	const numConns = 30
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	h := blockingHandler{release: make(chan struct{})}
	var wg sync.WaitGroup
	wg.Go(func() { _ = NewServer(h, nil, nil).Serve(ctx, ln) })
	before := heapInUse()
	params := json.RawMessage(`{"ignored":"` + string(bytes.Repeat([]byte("x"), 7<<20)) + `"}`)
	frame, err := Codec{}.AppendFrame(nil, &jsonrpc2.Request{Method: string(MethodTables), Params: &params})
	if err != nil || len(frame) > 64<<10 {
		t.Fatalf("the frame has %d bytes, %v", len(frame), err)
	}
	closeAll := sendAll(t, ln.Addr().String(), numConns, frame)
	checkHeapWhileServing(t, ln.Addr().String(), before)
	close(h.release)
	closeAll()
	cancel()
	wg.Wait()
	checkMemoryReturned()
}

// TestEntriesWithoutRoomAreRejected decodes entries while other messages take all memory.
func TestEntriesWithoutRoomAreRejected(t *testing.T) {
	encoded, err := NewEncodedEntries(configEntries(1000)).MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	checkMemoryReturned()
	largeMessages.TryReserve(largeMessageMemory)
	var e EncodedEntries
	if err := e.UnmarshalJSON(encoded); err == nil {
		t.Error("the entries were decoded")
	}
	largeMessages.Release(largeMessageMemory)
	var again EncodedEntries
	if err := again.UnmarshalJSON(encoded); err != nil {
		t.Error(err)
	}
	checkMemoryReturned()
}
