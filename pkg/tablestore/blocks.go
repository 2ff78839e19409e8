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

// BlocksPrefix is the prefix of the names of the objects that hold block lists. The
// SHA-256 hash of the content in hex follows.
const BlocksPrefix = "blocks/"

// DeltaPrefix is the prefix of the names of the objects that hold the delta between
// two block lists. The SHA-256 hash of the content in hex follows.
const DeltaPrefix = "block-deltas/"

// BlocksName returns the name of the object that holds the block list data.
func BlocksName(data []byte) string { return hashedName(BlocksPrefix, data) }

// hashedName returns the object name made of prefix and the hash of data.
func hashedName(prefix string, data []byte) string {
	sum := sha256.Sum256(data)
	return prefix + hex.EncodeToString(sum[:])
}

// EncodeDelta returns the encoded delta d and the name of its object.
func EncodeDelta(d block.Delta) (name string, data []byte, err error) {
	data, err = json.Marshal(d)
	return hashedName(DeltaPrefix, data), data, err
}

// UpdateBlocks returns the block list that b names. held is the list loaded before,
// or nil, and heldObject the name of its object. If b has a delta from that list,
// UpdateBlocks reads and applies only the delta. Without one, or if the delta can't be
// read or applied, it reads the whole list as LoadBlocks does.
func UpdateBlocks(ctx context.Context, o platform.ObjectStore, b table.Blocks, heldObject string, held *block.Table) (*block.Table, error) {
	if held != nil && b.Delta != "" && b.DeltaBase == heldObject {
		if t, err := applyDelta(ctx, o, b, held); err == nil {
			return t, nil
		}
	}
	return LoadBlocks(ctx, o, b)
}

// applyDelta reads the delta that b names and applies it to held.
func applyDelta(ctx context.Context, o platform.ObjectStore, b table.Blocks, held *block.Table) (*block.Table, error) {
	data, err := getVerified(ctx, o, DeltaPrefix, b.Delta)
	if err != nil {
		return nil, err
	}
	var d block.Delta
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, fault.Wrap(fault.KindInvalidTable, err, "cannot decode the block list delta %s", b.Delta)
	}
	t, err := held.Apply(d)
	if err != nil {
		return nil, err
	}
	if t.Len() != b.Count {
		return nil, fault.New(fault.KindInvalidTable, "the block list has %d blocks after the delta, expected %d", t.Len(), b.Count)
	}
	return t, nil
}

// getVerified reads the named object and checks that its content has the hash in its
// name.
func getVerified(ctx context.Context, o platform.ObjectStore, prefix, name string) ([]byte, error) {
	data, found, err := o.GetObject(ctx, name)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, fault.New(fault.KindStoreUnavailable, "object %s does not exist", name)
	}
	if got := hashedName(prefix, data); got != name {
		return nil, fault.New(fault.KindInvalidTable, "the hash of the content of object %s gives the object name %s", name, got)
	}
	return data, nil
}

// LoadBlocks reads the block list that b names and checks its hash and rows. The
// error has the kind fault.KindStoreUnavailable if the list can't be read, or
// fault.KindInvalidTable if it is invalid.
func LoadBlocks(ctx context.Context, o platform.ObjectStore, b table.Blocks) (*block.Table, error) {
	data, err := getVerified(ctx, o, BlocksPrefix, b.Object)
	if err != nil {
		return nil, err
	}
	return block.ParseFile(data, nil)
}
