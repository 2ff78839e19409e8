package instance

import (
	"encoding/json"
	"sync"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
)

// packAbove is the size of entries in bytes of JSON from which on they are deflated
// by themselves. Smaller ones gain more from what the rest of the message has alike.
const packAbove = 4 << 10

// EncodedEntries are catalog entries on their way to many instances: they are encoded once,
// however many messages they stand in. A small instance that tells its region of a
// large configuration would else be busy with that alone. Nil holds none.
type EncodedEntries struct {
	list []catalog.Entry

	once    sync.Once
	encoded []byte
	err     error
}

// NewEncodedEntries returns the list for any number of messages. It must not be changed
// any more.
func NewEncodedEntries(list []catalog.Entry) *EncodedEntries { return &EncodedEntries{list: list} }

// List returns the entries.
func (e *EncodedEntries) List() []catalog.Entry {
	if e == nil {
		return nil
	}
	return e.list
}

// MarshalJSON returns the entries as a list, or as a text that holds them deflated.
func (e *EncodedEntries) MarshalJSON() ([]byte, error) {
	e.once.Do(func() { e.encoded, e.err = encodeEntries(e.list) })
	return e.encoded, e.err
}

func encodeEntries(list []catalog.Entry) ([]byte, error) {
	plain, err := json.Marshal(list)
	if err != nil || len(plain) < packAbove {
		return plain, err
	}
	packed, err := deflated(plain)
	if err != nil {
		return nil, err
	}
	return json.Marshal(packed)
}

// UnmarshalJSON reads either form. Errors are those of the encoding, and
// fault.KindBodyTooLarge for more than MaxMessageBytes bytes of entries.
func (e *EncodedEntries) UnmarshalJSON(data []byte) error {
	if len(data) == 0 || data[0] != '"' {
		return json.Unmarshal(data, &e.list)
	}
	var packed []byte
	if err := json.Unmarshal(data, &packed); err != nil {
		return err
	}
	plain, err := inflated(packed)
	if err != nil {
		return err
	}
	return json.Unmarshal(plain, &e.list)
}
