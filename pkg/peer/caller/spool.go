package caller

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/peer/memory"
)

// maxSpoolParts is the largest number of parts of one response that are held, 1 MiB. A body
// that is longer occupies its sender until the caller has taken the rest anyway.
const maxSpoolParts = 1 << 20 / copyBufferBytes

// SpoolOptions configures a Spool. All fields must be set.
type SpoolOptions struct {
	// Memory is the memory for the first part of the body, and Holding for further ones,
	// which Owner takes.
	Memory  *memory.Budget
	Holding *Holding
	Owner   string
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// Whole is called once when the body has been read to its end, also while the caller
	// has not taken all of it.
	Whole func()
	// Interrupt has a pending read of the body fail.
	Interrupt func()
}

// readAheadAfter is how long a write to the caller may take before the body is read ahead.
const readAheadAfter = 20 * time.Millisecond

// Spool is the body of one response on its way to a caller. It is copied part by part, and,
// once a write takes longer than readAheadAfter, read ahead from its sender as long as
// there is room. It holds parts of copyBufferBytes, the first of which needs no room in
// Holding.
type Spool struct {
	options SpoolOptions
	body    io.Reader
	reader  conc.WaitGroup
	// stopped is closed when the rest of the body is not wanted any more.
	stopped chan struct{}
	// changed receives a value when there is more to write, and freed when a part has
	// been written.
	changed, freed chan struct{}

	mu sync.Mutex
	// readsAhead is set once reader reads the body. Before, next reads it, and reading is
	// set meanwhile. closed is set by Close.
	readsAhead, reading, closed bool
	// first is the buffer of the first part; firstFree is set while no part uses it.
	first     copyBuffer
	firstFree bool
	// parts are those that have been read and not written yet.
	parts []*spoolPart
	// spares are parts that are used up and kept for further reads, unless others wait for
	// room when a part is used up.
	spares []*spoolPart
	// err is the end of the body: io.EOF, or why it could not be read.
	err error
}

// spoolPart is a part of a body. data[written:read] is to be written.
type spoolPart struct {
	data          []byte
	read, written int
	// pooled is the array of data; nil if data is that of the first buffer.
	pooled *[copyBufferBytes]byte
}

// NewSpool returns a Spool of body. The caller must call Close.
func NewSpool(body io.Reader, o SpoolOptions) *Spool {
	return &Spool{
		options: o, body: body, stopped: make(chan struct{}), changed: make(chan struct{}, 1), freed: make(chan struct{}, 1),
		first: newCopyBuffer(o.Memory), firstFree: true,
	}
}

// ReadAhead begins to read the body ahead, unless it is being read or has ended.
func (s *Spool) ReadAhead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readsAhead || s.reading || s.closed || s.err != nil {
		return
	}
	s.readsAhead = true
	s.reader.Go(s.readAll)
}

// WatchWrite begins to read ahead after readAheadAfter unless the function that it returns
// is called before.
func (s *Spool) WatchWrite() (done func() bool) {
	return time.AfterFunc(readAheadAfter, s.ReadAhead).Stop
}

// Close ends the reading of the body and releases what is held. Whole is not called after
// it returns.
func (s *Spool) Close() {
	close(s.stopped)
	s.mu.Lock()
	s.closed = true
	interrupt := s.readsAhead && s.err == nil
	s.mu.Unlock()
	if interrupt {
		s.options.Interrupt()
	}
	// Wait passes on a panic of the reader.
	defer s.release()
	s.reader.Wait()
}

// release returns all memory.
func (s *Spool) release() {
	s.recycle(s.parts...)
	s.recycle(s.spares...)
	s.parts, s.spares = nil, nil
	s.first.release()
}

// errSpoolStopped ends the reading of a body that is not wanted any more.
var errSpoolStopped = errors.New("response is not wanted any more")

// readAll reads the body to its end, or until it is stopped.
func (s *Spool) readAll() {
	// After a panic too: next waits for the end.
	defer s.end(errSpoolStopped)
	for {
		p, ok := s.partToFill()
		if !ok {
			return
		}
		if !s.fill(p) {
			return
		}
		notify(s.changed)
	}
}

// fill reads once into p, and reports false at the end of the body.
func (s *Spool) fill(p *spoolPart) bool {
	n, err := s.body.Read(p.data[p.read:])
	s.mu.Lock()
	p.read += n
	s.mu.Unlock()
	if err == io.EOF {
		s.options.Whole()
	}
	if err != nil {
		s.end(err)
	}
	return err == nil
}

// end records the end of the body. Further calls do nothing.
func (s *Spool) end(err error) {
	s.mu.Lock()
	if s.err != nil {
		s.mu.Unlock()
		return
	}
	spares := s.spares
	s.err, s.spares = err, nil
	s.mu.Unlock()
	s.recycle(spares...)
	notify(s.changed)
}

// partToFill returns the part that the next read fills. It waits for room, and returns
// false if the rest of the body is not wanted any more.
func (s *Spool) partToFill() (*spoolPart, bool) {
	for {
		if p := s.partWithSpace(); p != nil {
			return p, true
		}
		if s.isLong() {
			select {
			case <-s.freed:
				continue
			case <-s.stopped:
				return nil, false
			}
		}
		taken, ticket, granted := s.options.Holding.take(s.options.Owner)
		if taken {
			return s.addPooled(), true
		}
		select {
		case <-granted:
			return s.addPooled(), true
		case <-s.freed:
			// The first buffer may be free.
			s.options.Holding.cancel(ticket, s.options.Owner)
		case <-s.stopped:
			s.options.Holding.cancel(ticket, s.options.Owner)
			return nil, false
		}
	}
}

// isLong reports whether so much of the body is held that no more is read ahead.
func (s *Spool) isLong() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.parts) >= maxSpoolParts || s.options.Length > maxSpoolParts*copyBufferBytes
}

// partWithSpace returns the last part if it has space, or a new one that needs no further
// room, else nil.
func (s *Spool) partWithSpace() *spoolPart {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.parts) > 0 {
		p := s.parts[len(s.parts)-1]
		if p.written == p.read {
			p.written, p.read = 0, 0
		}
		if p.read < len(p.data) {
			return p
		}
	}
	var p *spoolPart
	switch {
	case s.firstFree:
		s.firstFree, p = false, &spoolPart{data: s.first.data}
	case len(s.spares) > 0:
		last := len(s.spares) - 1
		p, s.spares = s.spares[last], s.spares[:last]
	default:
		return nil
	}
	s.parts = append(s.parts, p)
	return p
}

// addPooled adds a part for which there is room in Holding.
func (s *Spool) addPooled() *spoolPart {
	array := copyBuffers.Get().(*[copyBufferBytes]byte)
	p := &spoolPart{data: array[:], pooled: array}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts = append(s.parts, p)
	return p
}

// next waits for bytes to write, and returns them and whether more have been read already.
// At the end of the body it returns the error of the last read.
func (s *Spool) next() (data []byte, more bool, err error) {
	for {
		s.mu.Lock()
		for i, p := range s.parts {
			if p.written < p.read {
				data, more = p.data[p.written:p.read], i < len(s.parts)-1
				s.mu.Unlock()
				return data, more, nil
			}
		}
		err = s.err
		s.reading = !s.readsAhead && err == nil
		reading := s.reading
		s.mu.Unlock()
		switch {
		case err != nil:
			return nil, false, err
		case reading:
			s.readOnce()
		default:
			<-s.changed
		}
	}
}

// readOnce reads once while nothing is read ahead and all that was read has been written.
func (s *Spool) readOnce() {
	if p := s.partWithSpace(); p != nil {
		s.fill(p)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = false
}

// written records that n bytes have been written, and frees a part that is used up.
func (s *Spool) written(n int) {
	s.mu.Lock()
	p := s.parts[0]
	p.written += n
	usedUp := p.written == len(p.data)
	var unused []*spoolPart
	if usedUp {
		s.parts = s.parts[1:]
		if p.pooled == nil {
			s.firstFree = true
		} else {
			p.written, p.read = 0, 0
			s.spares = append(s.spares, p)
		}
		if len(s.spares) > 0 && (s.err != nil || s.options.Holding.isShort()) {
			unused, s.spares = s.spares, nil
		}
	}
	s.mu.Unlock()
	if usedUp {
		s.recycle(unused...)
		notify(s.freed)
	}
}

// recycle makes the memory of pooled parts available to others.
func (s *Spool) recycle(parts ...*spoolPart) {
	for _, p := range parts {
		if p != nil && p.pooled != nil {
			copyBuffers.Put(p.pooled)
			s.options.Holding.release(s.options.Owner)
		}
	}
}

// notify sends a value to c unless one is pending.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
