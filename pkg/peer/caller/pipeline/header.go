package pipeline

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/jacinthramp/jacinthramp/pkg/peer/memory"
)

var (
	// errHeaderTooLarge is returned for a header larger than Server.MaxHeaderBytes.
	errHeaderTooLarge = errors.New("request header is too large")
	// errHeaderMemoryUsedUp is returned for a header for which Server.HeaderMemory has no
	// room.
	errHeaderMemoryUsedUp = errors.New("request headers of all connections exceed the shared memory limit")
)

// headerReader limits the bytes read for a request's header, and accounts for them in a
// memory that all connections share.
type headerReader struct {
	r io.Reader
	// remaining is the number of bytes that may still be read; negative means no
	// limit.
	remaining int
	memory    *memory.Budget
	head      memory.Head
	// usedUp is set when memory has no room for the header.
	usedUp bool
}

// Read implements io.Reader. It returns errHeaderTooLarge at the limit and
// errHeaderMemoryUsedUp if the shared memory has no room.
func (l *headerReader) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if l.remaining > 0 && len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.r.Read(p)
	if l.remaining > 0 {
		l.remaining -= n
		if !l.account(p[:n]) {
			return 0, errHeaderMemoryUsedUp
		}
	}
	return n, err
}

// account accounts for a part of the header. It returns false, and sets usedUp, if the
// shared memory has no room for it.
func (l *headerReader) account(part []byte) bool {
	l.usedUp = !l.head.Add(l.memory, part)
	return !l.usedUp
}

// takeHead returns the memory of the header that was read last. The caller must release
// it.
func (l *headerReader) takeHead() memory.Head {
	head := l.head
	l.head = memory.Head{}
	return head
}

// releaseHead releases the memory of the header that is being read.
func (l *headerReader) releaseHead() { l.head.Release(l.memory) }

// readHeader reads the header of one request within the limits.
func (c *conn) readHeader() (*http.Request, error) {
	l := c.headerLimit
	if !l.account(c.bufferedHeader()) {
		return nil, errHeaderMemoryUsedUp
	}
	l.remaining = c.server.MaxHeaderBytes + bufferBytes
	r, err := http.ReadRequest(c.br)
	switch {
	case l.usedUp:
		err = errHeaderMemoryUsedUp
	case l.remaining == 0:
		err = errHeaderTooLarge
	}
	l.remaining = -1
	if err != nil {
		return nil, err
	}
	return r, nil
}

// headerEnd ends the header of a request.
var headerEnd = []byte("\r\n\r\n")

// bufferedHeader returns the part of the next request's header that is buffered already.
func (c *conn) bufferedHeader() []byte {
	buffered, _ := c.br.Peek(c.br.Buffered()) // never fails
	if header, _, found := bytes.Cut(buffered, headerEnd); found {
		return header
	}
	return buffered
}
