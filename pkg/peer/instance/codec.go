package instance

import (
	"bufio"
	"bytes"
	_ "embed"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// MaxMessageBytes is the largest message in bytes, before it is compressed.
const MaxMessageBytes = 32 << 20

const (
	// formDeflated1 begins a payload that is deflated with dictionary 1. A
	// changed dictionary needs a number of its own, and readers keep the old ones.
	formDeflated1 = 1
	// formPlain begins a payload that is JSON as it is.
	formPlain = '{'
	// minDeflated is the size in bytes below which nothing is gained.
	minDeflated = 32
)

// dictionary1 has the names and values that most messages repeat. Messages are
// compressed one by one, so that a lost connection costs nothing and an idle
// one holds no memory.
//
//go:embed dictionary1.txt
var dictionary1 []byte

// Codec frames each message with its length as a varint, compresses and bounds
// it.
type Codec struct{}

var _ jsonrpc2.ObjectCodec = Codec{}

// AppendFrame appends the frame of v to dst. Error: fault.KindBodyTooLarge for a
// message above MaxMessageBytes.
func (Codec) AppendFrame(dst []byte, v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return dst, err
	}
	if len(data) > MaxMessageBytes {
		return dst, fault.New(fault.KindBodyTooLarge, "message of %d bytes to an instance", len(data))
	}
	if data, err = deflated(data); err != nil {
		return dst, err
	}
	dst = binary.AppendUvarint(dst, uint64(len(data)))
	return append(dst, data...), nil
}

// deflated returns the shorter of data and its compressed form.
func deflated(data []byte) ([]byte, error) {
	if len(data) < minDeflated {
		return data, nil
	}
	buf := bytes.NewBuffer(make([]byte, 0, len(data)))
	buf.WriteByte(formDeflated1)
	if err := flate.StatelessDeflate(buf, data, true, dictionary1); err != nil {
		return nil, err
	}
	if buf.Len() >= len(data) {
		return data, nil
	}
	return buf.Bytes(), nil
}

// WriteObject writes the frame of obj. A message above MaxMessageBytes is refused
// before any byte of it is sent.
func (c Codec) WriteObject(stream io.Writer, obj any) error {
	frame, err := c.AppendFrame(nil, obj)
	if err != nil {
		return err
	}
	_, err = stream.Write(frame)
	return err
}

// ReadObject reads one message whole. It allocates as the bytes arrive, so
// that a false length costs nothing.
func (Codec) ReadObject(stream *bufio.Reader, v any) error {
	n, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if n > MaxMessageBytes {
		return fault.New(fault.KindBodyTooLarge, "message of %d bytes from an instance", n)
	}
	data, err := io.ReadAll(io.LimitReader(stream, int64(n)))
	if err != nil {
		return err
	}
	if uint64(len(data)) < n {
		return io.ErrUnexpectedEOF
	}
	if data, err = inflated(data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// inflaters are decompressors in reserve.
var inflaters = sync.Pool{New: func() any { return flate.NewReaderDict(bytes.NewReader(nil), dictionary1) }}

// inflated returns the JSON of a payload.
func inflated(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] == formPlain {
		return data, nil
	}
	if data[0] != formDeflated1 {
		return nil, fault.New(fault.KindBadRequest, "message in the unknown form %d", data[0])
	}
	z := inflaters.Get().(io.Reader)
	defer inflaters.Put(z)
	if err := z.(flate.Resetter).Reset(bytes.NewReader(data[1:]), dictionary1); err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(z, MaxMessageBytes+1))
	if err != nil {
		return nil, fault.Wrap(fault.KindBadRequest, err, "message can't be decompressed")
	}
	if len(plain) > MaxMessageBytes {
		return nil, fault.New(fault.KindBodyTooLarge, "message of more than %d bytes from an instance", MaxMessageBytes)
	}
	return plain, nil
}
