package tablestore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/jacinthramp/jacinthramp/pkg/decision/block"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// BlocksPrefix starts the names of the objects that hold lists of blocks; the
// hash of the content follows.
const BlocksPrefix = "blocks/"

// BlocksName returns the name of the object that holds a list of blocks.
func BlocksName(data []byte) string {
	sum := sha256.Sum256(data)
	return BlocksPrefix + hex.EncodeToString(sum[:])
}

// LoadBlocks reads the list that b names, checks its hash and its rows. Errors:
// fault.KindStoreUnavailable, fault.KindInvalidTable.
func LoadBlocks(ctx context.Context, o platform.Objects, b table.Blocks) (*block.Table, error) {
	data, found, err := o.GetObject(ctx, b.Object)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, fault.New(fault.KindStoreUnavailable, "object %s is missing", b.Object)
	}
	if name := BlocksName(data); name != b.Object {
		return nil, fault.New(fault.KindInvalidTable, "the blocks have the name %s in place of %s", name, b.Object)
	}
	return block.ParseFile(data, nil)
}
