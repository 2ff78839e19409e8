package tablestore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/jacinthramp/jacinthramp/pkg/decision/block"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// BlocksPrefix starts the names of the objects that hold lists of blocks; the
// hash of the content follows.
const BlocksPrefix = "blocks/"

// DeltaPrefix starts the names of the objects that hold the difference between
// two lists of blocks; the hash of the content follows.
const DeltaPrefix = "block-deltas/"

// BlocksName returns the name of the object that holds a list of blocks.
func BlocksName(data []byte) string { return hashedName(BlocksPrefix, data) }

func hashedName(prefix string, data []byte) string {
	sum := sha256.Sum256(data)
	return prefix + hex.EncodeToString(sum[:])
}

// EncodeDelta returns the content of a difference and the name of its object.
func EncodeDelta(d block.Delta) (name string, data []byte, err error) {
	data, err = json.Marshal(d)
	return hashedName(DeltaPrefix, data), data, err
}

// UpdateBlocks is LoadBlocks for one that holds the list named object, which
// need not be read again where b says how it differs.
func UpdateBlocks(ctx context.Context, o platform.Objects, b table.Blocks, heldObject string, held *block.Table) (*block.Table, error) {
	if held != nil && b.Delta != "" && b.DeltaBase == heldObject {
		if t, err := applyDelta(ctx, o, b, held); err == nil {
			return t, nil
		}
	}
	return LoadBlocks(ctx, o, b)
}

// applyDelta makes the list that b names from the one that is held.
func applyDelta(ctx context.Context, o platform.Objects, b table.Blocks, held *block.Table) (*block.Table, error) {
	data, err := getVerified(ctx, o, DeltaPrefix, b.Delta)
	if err != nil {
		return nil, err
	}
	var d block.Delta
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, fault.Wrap(fault.KindInvalidTable, err, "%s can't be read", b.Delta)
	}
	t, err := held.Apply(d)
	if err != nil {
		return nil, err
	}
	if t.Len() != b.Count {
		return nil, fault.New(fault.KindInvalidTable, "%d blocks after the difference in place of %d", t.Len(), b.Count)
	}
	return t, nil
}

// getVerified reads an object that is named by its hash.
func getVerified(ctx context.Context, o platform.Objects, prefix, name string) ([]byte, error) {
	data, found, err := o.GetObject(ctx, name)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, fault.New(fault.KindStoreUnavailable, "object %s is missing", name)
	}
	if got := hashedName(prefix, data); got != name {
		return nil, fault.New(fault.KindInvalidTable, "the content of %s has the name %s", name, got)
	}
	return data, nil
}

// LoadBlocks reads the list that b names, checks its hash and its rows. Errors:
// fault.KindStoreUnavailable, fault.KindInvalidTable.
func LoadBlocks(ctx context.Context, o platform.Objects, b table.Blocks) (*block.Table, error) {
	data, err := getVerified(ctx, o, BlocksPrefix, b.Object)
	if err != nil {
		return nil, err
	}
	return block.ParseFile(data, nil)
}
