package instance

import (
	"bytes"
	"encoding/json"
	"slices"
	"sync"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
)

// minEntriesCompressSize is the size in bytes of JSON from which entries are
// compressed separately. Smaller ones compress better together with the rest of the
// message, which repeats the same names.
const minEntriesCompressSize = 4 << 10

// EncodedEntries holds catalog entries that are sent to many instances. They are
// encoded once for all messages, and those received are kept as they came: encoding a large configuration for each instance of
// a region would otherwise take all processor time of a small instance. Nil holds no
// entries.
type EncodedEntries struct {
	entries []catalog.Entry

	once    sync.Once
	encoded []byte
	err     error
}

// NewEncodedEntries returns entries for use in any number of messages. The caller
// must not change entries afterwards.
func NewEncodedEntries(entries []catalog.Entry) *EncodedEntries {
	return &EncodedEntries{entries: entries}
}

// List returns the entries.
func (e *EncodedEntries) List() []catalog.Entry {
	if e == nil {
		return nil
	}
	return e.entries
}

// Size returns the size of the encoded entries in bytes; zero without any, or if they can't
// be encoded.
func (e *EncodedEntries) Size() int {
	if e == nil {
		return 0
	}
	encoded, _ := e.MarshalJSON()
	return len(encoded)
}

// HasPatch reports whether there is a patch among the entries.
func (e *EncodedEntries) HasPatch() bool {
	return slices.ContainsFunc(e.List(), func(entry catalog.Entry) bool { return entry.Patch != nil })
}

// MarshalJSON returns the entries as a JSON array or, from minEntriesCompressSize, as a
// string with the compressed array in base64.
func (e *EncodedEntries) MarshalJSON() ([]byte, error) {
	e.once.Do(func() { e.encoded, e.err = encodeEntries(e.entries) })
	return e.encoded, e.err
}

func encodeEntries(entries []catalog.Entry) ([]byte, error) {
	plain, err := json.Marshal(entries)
	if err != nil || len(plain) < minEntriesCompressSize {
		return plain, err
	}
	compressed, err := compressPayload(plain)
	if err != nil {
		return nil, err
	}
	return json.Marshal(compressed)
}

// UnmarshalJSON decodes either form. Errors: fault.KindBodyTooLarge for more than
// MaxMessageBytes of JSON, fault.KindOverloaded if the memory of large messages is used up,
// fault.KindBadRequest for an invalid payload, and those of
// the decoder.
func (e *EncodedEntries) UnmarshalJSON(data []byte) error {
	// An instance that forwards the entries sends them as they came.
	e.once.Do(func() { e.encoded = bytes.Clone(data) })
	if len(data) == 0 || data[0] != '"' {
		return json.Unmarshal(data, &e.entries)
	}
	var compressed []byte
	if err := json.Unmarshal(data, &compressed); err != nil {
		return err
	}
	var m messageMemory
	defer m.release()
	plain, err := decompressPayload(compressed, &m)
	if err != nil {
		return err
	}
	return json.Unmarshal(plain, &e.entries)
}
