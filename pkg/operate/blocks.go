package operate

import (
	"context"
	"io"
	"os"

	"github.com/jacinthramp/jacinthramp/pkg/decision/block"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
)

// maxBlocksBytes bounds the size of a blocks file. 2.3 million blocks take a
// quarter of it.
const maxBlocksBytes = 256 << 20

// blocksEdit holds the validated blocks file of an edit.
type blocksEdit struct {
	data []byte
	// blocks is nil when the file is empty: the new version has no blocks.
	blocks *table.Blocks
	// delta is the content of the object that blocks.Delta names.
	delta []byte
}

// maxDeltaRows bounds the rows of a delta that is stored with a list of blocks.
const maxDeltaRows = 10_000

// readBlocks reads and validates the named blocks file. A site must be a region
// or zone of t, the tables of the same version, or of a listed instance.
// Invalid rows are reported as a block.InvalidError.
func (s *Session) readBlocks(ctx context.Context, name string, t *table.Tables) (*blocksEdit, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fault.Wrap(fault.KindBadRequest, err, "cannot open the blocks file")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxBlocksBytes+1))
	if err != nil {
		return nil, fault.Wrap(fault.KindBadRequest, err, "cannot read the blocks file %s", name)
	}
	if len(data) > maxBlocksBytes {
		return nil, fault.New(fault.KindInvalidTable, "the blocks file %s is larger than the limit of %d bytes", name, maxBlocksBytes)
	}
	sites := s.siteNames(ctx, t)
	parsed, err := block.ParseFile(data, func(site string) bool { return sites[site] })
	if err != nil {
		return nil, err
	}
	e := &blocksEdit{data: data}
	if parsed.Len() > 0 {
		e.blocks = &table.Blocks{Object: tablestore.BlocksName(data), Count: parsed.Len()}
	}
	return e, nil
}

// siteNames returns the names of the regions and zones of t and of the listed
// instances. If the list of instances cannot be read, only those of t.
func (s *Session) siteNames(ctx context.Context, t *table.Tables) map[string]bool {
	sites := map[string]bool{}
	for _, r := range t.WithDefaults().Regions {
		sites[r.Name] = true
	}
	for _, p := range t.Pools {
		sites[p.Region] = true
		for _, tg := range p.Targets {
			sites[tg.Zone] = true
		}
	}
	if s.Instances == nil {
		return sites
	}
	list, err := s.Instances.ListInstances(ctx)
	if err != nil {
		return sites
	}
	for _, in := range list {
		sites[in.Region], sites[in.Zone] = true, true
	}
	return sites
}

// resolveBlocks sets the blocks of edit to those of the blocks file. Without a
// file, the edit keeps the blocks of the version it is based on, and the
// returned blocksEdit is nil.
func (s *Session) resolveBlocks(ctx context.Context, f Files, edit *table.Tables) (*blocksEdit, error) {
	base, err := tablestore.LoadVersion(ctx, s.Tables, s.Objects, edit.Version)
	if fault.KindOf(err) == fault.KindInvalidTable {
		base, err = &table.Tables{}, nil // unknown base version: the version check refuses the edit later
	}
	if err != nil {
		return nil, err
	}
	edit.Blocks = base.Blocks
	if f.Blocks == "" {
		return nil, nil
	}
	e, err := s.readBlocks(ctx, f.Blocks, edit)
	if err != nil {
		return nil, err
	}
	if e.blocks != nil && base.Blocks != nil {
		if e.blocks.Object == base.Blocks.Object {
			return nil, nil
		}
		if err := e.addDelta(ctx, s, base.Blocks.Object); err != nil {
			return nil, err
		}
	}
	edit.Blocks = e.blocks
	return e, nil
}

// addDelta adds the delta from the list of blocks named from. The delta is an
// optimization: without it, instances read the whole list.
func (e *blocksEdit) addDelta(ctx context.Context, s *Session, from string) error {
	old, found, err := s.Objects.GetObject(ctx, from)
	if err != nil || !found {
		return nil
	}
	d, ok := block.Diff(old, e.data, maxDeltaRows)
	if !ok {
		return nil
	}
	e.blocks.DeltaBase = from
	e.blocks.Delta, e.delta, err = tablestore.EncodeDelta(d)
	return err
}

// store writes the list and its delta to the object store. They must exist
// before a version refers to them.
func (e *blocksEdit) store(ctx context.Context, s *Session) error {
	if e == nil || e.blocks == nil {
		return nil
	}
	if e.blocks.Delta != "" {
		if err := s.Objects.PutObject(ctx, e.blocks.Delta, e.delta); err != nil {
			return err
		}
	}
	return s.Objects.PutObject(ctx, e.blocks.Object, e.data)
}
