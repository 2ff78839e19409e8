package instance

import (
	"bufio"
	"io"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/memory"
)

const (
	// largeMessageMemory bounds, in bytes, the memory of the large messages that are being
	// read or handled on all connections. It has room for the largest one.
	largeMessageMemory = 32 << 20
	// smallMessageBytes is the part of each message that is not accounted for. A heartbeat
	// takes less.
	smallMessageBytes = 16 << 10
	// messageCopies is how many times a message is in memory: as it was read, as the
	// parameters of its call, and decoded.
	messageCopies = 3
)

// largeMessages is shared by all connections of the process.
var largeMessages = memory.NewBudget(largeMessageMemory)

// errMessageMemoryUsedUp is the error of a message for which largeMessages has no room.
var errMessageMemoryUsedUp = fault.New(fault.KindOverloaded, "the messages of all connections exceed the shared memory limit")

// messageMemory is the memory that one message takes. The zero value is an empty message.
type messageMemory struct {
	total    int64
	reserved int64
}

// add accounts for n more bytes. It returns false if largeMessages is used up.
func (m *messageMemory) add(n int64) bool {
	m.total += n
	extra := messageCopies*max(0, m.total-smallMessageBytes) - m.reserved
	if extra <= 0 {
		return true
	}
	if !largeMessages.TryReserve(extra) {
		return false
	}
	m.reserved += extra
	return true
}

// release returns what the message has reserved, and empties it.
func (m *messageMemory) release() {
	largeMessages.Release(m.reserved)
	*m = messageMemory{}
}

// reader returns a reader of r that accounts for what it reads, and fails with
// errMessageMemoryUsedUp if there is no room.
func (m *messageMemory) reader(r io.Reader) io.Reader { return &accountedReader{r: r, memory: m} }

type accountedReader struct {
	r      io.Reader
	memory *messageMemory
}

func (a *accountedReader) Read(p []byte) (int, error) {
	n, err := a.r.Read(p)
	if !a.memory.add(int64(n)) {
		return 0, errMessageMemoryUsedUp
	}
	return n, err
}

// connCodec is the Codec of one connection. It accounts for each message until it has been
// handled, which is when the next one is read.
type connCodec struct {
	Codec
	memory messageMemory
}

// ReadObject is Codec.ReadObject. It must not be called concurrently.
func (c *connCodec) ReadObject(stream *bufio.Reader, v any) error {
	c.memory.release()
	err := readMessage(stream, v, &c.memory)
	if err != nil {
		c.memory.release()
	}
	return err
}
