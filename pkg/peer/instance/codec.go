package instance

import (
	"bufio"
	"bytes"
	_ "embed"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// MaxMessageBytes is the maximum size of a message before compression, in bytes. The
// largest one holds all tables or the whole catalog, about 1 MiB for 2,000 routes.
const MaxMessageBytes = 8 << 20

const (
	// payloadDeflate1 is the first byte of a payload compressed with DEFLATE and
	// dictionary 1. A changed dictionary needs a new number, and readers must
	// still accept the old ones.
	payloadDeflate1 = 1
	// payloadJSON is the first byte of an uncompressed payload, a JSON object.
	payloadJSON = '{'
	// minCompressSize is the size in bytes below which compression gains nothing.
	minCompressSize = 32
	// minSampledSize is the size in bytes from which a part of sampleSize is compressed
	// first: most large messages hold entries that are compressed already.
	minSampledSize = 16 << 10
	sampleSize     = 4 << 10
)

// dictionary1 contains the names and values that most messages repeat. Each message
// is compressed on its own: no compression state is lost with a connection, and an
// idle connection holds no memory for it.
//
//go:embed dictionary1.txt
var dictionary1 []byte

// Codec encodes messages as frames: the length of the payload as a varint, then the
// payload, which is JSON or compressed JSON. It rejects messages above
// MaxMessageBytes.
type Codec struct{}

var _ jsonrpc2.ObjectCodec = Codec{}

// AppendFrame appends the frame of v to dst. Errors: fault.KindBodyTooLarge for a
// message above MaxMessageBytes, and those of the JSON encoder and the compressor.
func (Codec) AppendFrame(dst []byte, v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return dst, err
	}
	if len(data) > MaxMessageBytes {
		return dst, fault.New(fault.KindBodyTooLarge, "an outgoing message of %d bytes is too large", len(data))
	}
	if data, err = compressPayload(data); err != nil {
		return dst, err
	}
	dst = binary.AppendUvarint(dst, uint64(len(data)))
	return append(dst, data...), nil
}

// compressPayload returns data compressed, with payloadDeflate1 before it, or data
// itself if compression does not make it shorter.
func compressPayload(data []byte) ([]byte, error) {
	if len(data) < minCompressSize || !isCompressible(data) {
		return data, nil
	}
	buf := bytes.NewBuffer(make([]byte, 0, len(data)))
	buf.WriteByte(payloadDeflate1)
	if err := flate.StatelessDeflate(buf, data, true, dictionary1); err != nil {
		return nil, err
	}
	if buf.Len() >= len(data) {
		return data, nil
	}
	return buf.Bytes(), nil
}

// isCompressible reports whether compression is likely to make data shorter.
func isCompressible(data []byte) bool {
	if len(data) < minSampledSize {
		return true
	}
	sample := data[len(data)/2:][:sampleSize]
	var buf bytes.Buffer
	return flate.StatelessDeflate(&buf, sample, true, nil) != nil || buf.Len() < sampleSize
}

// WriteObject writes the frame of obj. A message above MaxMessageBytes fails with
// fault.KindBodyTooLarge before any byte of it is sent.
func (c Codec) WriteObject(stream io.Writer, obj any) error {
	frame, err := c.AppendFrame(nil, obj)
	if err != nil {
		return err
	}
	_, err = stream.Write(frame)
	return err
}

// ReadObject reads one frame and decodes its message into v. It allocates memory as
// the bytes arrive, not from the stated length, so a false length costs no memory.
// Errors: fault.KindBodyTooLarge for a message above MaxMessageBytes,
// fault.KindOverloaded if the memory of large messages is used up,
// fault.KindBadRequest for an invalid payload, and those of reading and decoding.
func (Codec) ReadObject(stream *bufio.Reader, v any) error {
	var m messageMemory
	defer m.release()
	return readMessage(stream, v, &m)
}

// readMessage is ReadObject for a message whose memory is accounted for in m.
func readMessage(stream *bufio.Reader, v any, m *messageMemory) error {
	n, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if n > MaxMessageBytes {
		return fault.New(fault.KindBodyTooLarge, "an incoming message of %d bytes is too large", n)
	}
	data, err := io.ReadAll(m.reader(io.LimitReader(stream, int64(n))))
	if err != nil {
		return err
	}
	if uint64(len(data)) < n {
		return io.ErrUnexpectedEOF
	}
	if data, err = decompressPayload(data, m); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// decompressors is a pool of readers for payloadDeflate1.
var decompressors = sync.Pool{New: func() any { return flate.NewReaderDict(bytes.NewReader(nil), dictionary1) }}

// decompressPayload returns the JSON of a payload. The result is bounded by
// MaxMessageBytes, which protects against decompression bombs, and accounted for in m.
func decompressPayload(data []byte, m *messageMemory) ([]byte, error) {
	if len(data) == 0 || data[0] == payloadJSON {
		return data, nil
	}
	if data[0] != payloadDeflate1 {
		return nil, fault.New(fault.KindBadRequest, "the payload of a message has the unknown format %d", data[0])
	}
	z := decompressors.Get().(io.Reader)
	defer decompressors.Put(z)
	if err := z.(flate.Resetter).Reset(bytes.NewReader(data[1:]), dictionary1); err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(m.reader(io.LimitReader(z, MaxMessageBytes+1)))
	if errors.Is(err, errMessageMemoryUsedUp) {
		return nil, err
	}
	if err != nil {
		return nil, fault.Wrap(fault.KindBadRequest, err, "cannot decompress the payload of a message")
	}
	if len(plain) > MaxMessageBytes {
		return nil, fault.New(fault.KindBodyTooLarge, "the payload of a message exceeds %d bytes after decompression", MaxMessageBytes)
	}
	return plain, nil
}
