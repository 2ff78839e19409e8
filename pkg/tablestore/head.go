// Package tablestore stores the accepted versions of the tables on the platform. The
// table service holds a row for the current version and one for each version of the
// history. The object store holds the content of each version under its hash.
package tablestore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Keys of the rows and prefix of the names of the content objects.
const (
	CurrentKey    = "tables/current"
	HistoryPrefix = "tables/history/"
	ObjectPrefix  = "tables/"
	// ClockKey is the key of a row that is written to read the platform's time.
	ClockKey = "tables/clock"
)

// Head is the metadata of one accepted version of the tables.
type Head struct {
	Version uint64 `json:"version"`
	// EditID identifies the edit that made this version.
	EditID string `json:"edit_id"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	// Object is the name of the object that holds the content.
	Object string `json:"object"`
	// AcceptedAt is the platform's time of acceptance. The stored rows don't contain
	// it, because it equals their modification time.
	AcceptedAt time.Time `json:"accepted_at,omitzero"`
}

// HistoryKey returns the key of the history row of a version.
func HistoryKey(version uint64) string {
	return fmt.Sprintf("%s%020d", HistoryPrefix, version)
}

// ReadHead reads the head of the current version and its ETag. If the ETag is
// still etag, changed is false and h is zero. Before the first edit, the head is zero and
// its ETag is empty.
func ReadHead(ctx context.Context, t platform.TableService, etag string) (h Head, newETag string, changed bool, err error) {
	row, changed, err := t.Get(ctx, CurrentKey, etag)
	if err != nil {
		return Head{}, etag, false, err
	}
	if !changed {
		return Head{}, etag, false, nil
	}
	h, err = decodeHead(row)
	return h, row.ETag, true, err
}

// ReadVersionHead reads the head of one version. found is false if that version does
// not exist.
func ReadVersionHead(ctx context.Context, t platform.TableService, version uint64) (h Head, found bool, err error) {
	row, _, err := t.Get(ctx, HistoryKey(version), "")
	if err != nil || row.ETag == "" {
		return Head{}, false, err
	}
	h, err = decodeHead(row)
	return h, true, err
}

// History reads the heads of all versions, oldest first.
func History(ctx context.Context, t platform.TableService) ([]Head, error) {
	rows, err := t.List(ctx, HistoryPrefix)
	if err != nil {
		return nil, err
	}
	heads := make([]Head, 0, len(rows))
	for _, row := range rows {
		h, err := decodeHead(row)
		if err != nil {
			return nil, err
		}
		heads = append(heads, h)
	}
	return heads, nil
}

// decodeHead decodes the head in row. A missing row gives the zero head.
func decodeHead(row platform.Row) (Head, error) {
	if row.ETag == "" {
		return Head{}, nil
	}
	var h Head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return Head{}, fault.Wrap(fault.KindInvalidTable, err, "cannot decode row %s", row.Key)
	}
	h.AcceptedAt = row.ModifiedAt
	return h, nil
}

// Load reads the content of h, checks its hash and validates it. The result has the
// defaults filled in, and the version and time of acceptance of h. The zero head gives
// empty tables.
func Load(ctx context.Context, o platform.ObjectStore, h Head) (*table.Tables, error) {
	t, err := LoadWithoutDefaults(ctx, o, h)
	if err != nil {
		return nil, err
	}
	return t.WithDefaults(), nil
}

// LoadWithoutDefaults is like Load, but leaves the optional fields as they were edited.
func LoadWithoutDefaults(ctx context.Context, o platform.ObjectStore, h Head) (*table.Tables, error) {
	if h.Version == 0 {
		return &table.Tables{}, nil
	}
	data, found, err := o.GetObject(ctx, h.Object)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, fault.New(fault.KindStoreUnavailable, "object %s of version %d does not exist", h.Object, h.Version)
	}
	return Decode(data, h)
}

// Decode decodes data, checks it against the hash and version of h, and validates it.
// The result has no defaults filled in. Errors have the kind fault.KindInvalidTable.
func Decode(data []byte, h Head) (*table.Tables, error) {
	if name := objectName(data); name != h.Object {
		return nil, fault.New(fault.KindInvalidTable, "version %d: the hash of the content gives the object name %s, expected %s", h.Version, name, h.Object)
	}
	t := &table.Tables{}
	if err := json.Unmarshal(data, t); err != nil {
		return nil, fault.Wrap(fault.KindInvalidTable, err, "cannot decode version %d", h.Version)
	}
	if t.Version != h.Version {
		return nil, fault.New(fault.KindInvalidTable, "the content stored for version %d has version number %d", h.Version, t.Version)
	}
	if err := t.Validate(); err != nil {
		return nil, err
	}
	t.AcceptedAt = h.AcceptedAt
	return t, nil
}

// Encode returns the canonical encoding of t, without its time of acceptance, and the
// name of its object.
func Encode(t *table.Tables) (name string, data []byte, err error) {
	c := t.Clone()
	c.AcceptedAt = time.Time{}
	data, err = json.Marshal(c)
	if err != nil {
		return "", nil, err
	}
	return objectName(data), data, nil
}

// objectName returns the name of the object that holds data.
func objectName(data []byte) string {
	sum := sha256.Sum256(data)
	return ObjectPrefix + hex.EncodeToString(sum[:])
}
