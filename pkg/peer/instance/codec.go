package instance

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// MaxMessage is the largest message in bytes.
const MaxMessage = 8 << 20

// codec frames each message with its length as a varint and bounds it.
type codec struct{ jsonrpc2.VarintObjectCodec }

// WriteObject refuses a message above MaxMessage before any byte of it is sent.
func (codec) WriteObject(stream io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > MaxMessage {
		return fault.New(fault.KindBodyTooLarge, "message of %d bytes to an instance", len(data))
	}
	if _, err := stream.Write(binary.AppendUvarint(nil, uint64(len(data)))); err != nil {
		return err
	}
	_, err = stream.Write(data)
	return err
}

// ReadObject reads one message whole. It allocates as the bytes arrive, so
// that a false length costs nothing.
func (codec) ReadObject(stream *bufio.Reader, v any) error {
	n, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if n > MaxMessage {
		return fault.New(fault.KindBodyTooLarge, "message of %d bytes from an instance", n)
	}
	data, err := io.ReadAll(io.LimitReader(stream, int64(n)))
	if err != nil {
		return err
	}
	if uint64(len(data)) < n {
		return io.ErrUnexpectedEOF
	}
	return json.Unmarshal(data, v)
}
