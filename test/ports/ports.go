// Package ports allocates loopback ports to tests that start processes. Test processes
// that run at the same time never get the same port.
package ports

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
)

const (
	// firstPort and lastPort bound the ports of all blocks.
	firstPort = 10_000
	lastPort  = 32_000
	// blockSize is the number of ports of a block, the lock included.
	blockSize = 1000
)

// outgoingRangeFile holds the first and the last port that the system gives to
// outgoing connections.
const outgoingRangeFile = "/proc/sys/net/ipv4/ip_local_port_range"

// ErrNoBlock is the error of Reserve when other test processes hold all blocks, or
// when all are in the system's range for outgoing connections.
var ErrNoBlock = errors.New("no free block of ports below the range in " + outgoingRangeFile)

// Block is a range of ports that belongs to one test process. It is safe for
// concurrent use.
type Block struct {
	// lock listens on the first port. Other test processes cannot reserve the
	// block while this listener is open, and the system closes it when the process ends.
	lock  net.Listener
	first int

	mu sync.Mutex
	// next is the offset of the port to try next.
	next  int
	taken map[int]bool
}

// Reserve reserves a block for the life of the process. All ports of a block are
// below the range for outgoing connections, so that the system gives no outgoing
// connection the port of a process that is stopped. Errors: ErrNoBlock.
func Reserve() (*Block, error) {
	end := min(lastPort, firstOutgoingPort())
	for first := firstPort; first+blockSize <= end; first += blockSize {
		if lock, err := net.Listen("tcp", address(first)); err == nil {
			return &Block{lock: lock, first: first, next: 1, taken: map[int]bool{}}, nil
		}
	}
	return nil, ErrNoBlock
}

// firstOutgoingPort returns the first port that the system gives to outgoing
// connections, or lastPort if the range cannot be read.
func firstOutgoingPort() int {
	data, err := os.ReadFile(outgoingRangeFile)
	if err != nil {
		return lastPort
	}
	fields := strings.Fields(string(data))
	if len(fields) == 0 {
		return lastPort
	}
	port, err := strconv.Atoi(fields[0])
	if err != nil {
		return lastPort
	}
	return port
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// isFree reports whether a port can be listened on. It holds the fork lock until
// the listener is closed, because a process forked meanwhile would keep it open
// until its exec.
func isFree(port int) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ln, err := net.Listen("tcp", address(port))
	if err != nil {
		return false
	}
	return ln.Close() == nil
}

// Addresses returns n loopback addresses that nothing listens on. They belong to
// the test until it ends.
func (b *Block) Addresses(t testing.TB, n int) []string {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	var addresses []string
	for range blockSize {
		if len(addresses) == n {
			return addresses
		}
		if port := b.first + b.next; !b.taken[port] && isFree(port) {
			b.allocate(t, port)
			addresses = append(addresses, address(port))
		}
		b.next = b.next%(blockSize-1) + 1
	}
	t.Fatalf("fewer than %d free ports from %d to %d", n, b.first, b.first+blockSize-1)
	return nil
}

// allocate marks a port as taken until the test ends. The caller holds mu.
func (b *Block) allocate(t testing.TB, port int) {
	b.taken[port] = true
	t.Cleanup(func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.taken, port)
	})
}
