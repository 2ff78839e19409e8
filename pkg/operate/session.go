// Package operate implements the operators' tasks: validate, plan, apply, export,
// history, watch, explain and drain. They use the tables on the platform and the
// instances' admin endpoints. Each task returns a value that can be printed as
// text or JSON.
package operate

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/operator"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
)

// Session holds the services that the tasks use. Without a platform all fields
// are nil, and only Validate works.
type Session struct {
	Tables    platform.TableService
	Objects   platform.ObjectStore
	Instances platform.InstanceRegistry
	Admin     *operator.Client
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// Sleep waits between two reads. It returns early with an error when ctx is
	// done. Nil means a timer.
	Sleep func(ctx context.Context, d time.Duration) error
}

func (s *Session) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

// sleep waits for d, or until ctx is done.
func (s *Session) sleep(ctx context.Context, d time.Duration) error {
	if s.Sleep != nil {
		return s.Sleep(ctx, d)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readCurrent reads the version in force as it was edited, without defaults
// filled in.
func (s *Session) readCurrent(ctx context.Context) (tablestore.Head, *table.Tables, error) {
	head, _, _, err := tablestore.ReadHead(ctx, s.Tables, "")
	if err != nil {
		return head, nil, err
	}
	t, err := tablestore.LoadWithoutDefaults(ctx, s.Objects, head)
	return head, t, err
}

// Files names the table files of an edit. For an empty name, the table is that of
// the version stated in the other file.
type Files struct {
	Routes string
	Pools  string
	// Blocks names the file with the callers' blocks. An empty name keeps the
	// blocks of the version that the edit is based on.
	Blocks string
}

// readTables reads the named table files. At least one must be named; the source
// of the other is nil.
func (f Files) readTables() (routes, pools *table.Source, err error) {
	if f.Routes == "" && f.Pools == "" {
		return nil, nil, fault.New(fault.KindBadRequest, "at least one of --routes, --pools and --blocks is required")
	}
	if routes, err = readFile(f.Routes); err != nil {
		return nil, nil, err
	}
	pools, err = readFile(f.Pools)
	return routes, pools, err
}

// readFile reads one table file. It reads at most one byte more than a table may
// have, so that the parser detects larger files.
func readFile(name string) (*table.Source, error) {
	if name == "" {
		return nil, nil
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, fault.Wrap(fault.KindBadRequest, err, "cannot open the table file")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, table.MaxFileBytes+1))
	if err != nil {
		return nil, fault.Wrap(fault.KindBadRequest, err, "cannot read the table file %s", name)
	}
	return &table.Source{Name: name, Data: data}, nil
}

// parse reads an edit with its blocks. For a file that is left out, the table is
// that of the version stated in the other file.
func (s *Session) parse(ctx context.Context, f Files) (*table.ParsedFiles, *blocksEdit, error) {
	parsed, err := s.parseTables(ctx, f)
	if err != nil {
		return nil, nil, err
	}
	blocks, err := s.resolveBlocks(ctx, f, parsed.Tables)
	return parsed, blocks, err
}

// parseTables parses the tables of an edit. An edit of the blocks alone is based
// on the version in force.
func (s *Session) parseTables(ctx context.Context, f Files) (*table.ParsedFiles, error) {
	if f.Routes == "" && f.Pools == "" && f.Blocks != "" {
		if s.Tables == nil {
			return nil, fault.New(fault.KindBadRequest, "the sites of blocks are checked against the tables: add --routes and --pools, or --platform")
		}
		_, t, err := s.readCurrent(ctx)
		return &table.ParsedFiles{Tables: t}, err
	}
	routes, pools, err := f.readTables()
	if err != nil {
		return nil, err
	}
	base := &table.Tables{}
	if routes == nil || pools == nil {
		if base, err = s.loadBase(ctx, routes, pools); err != nil {
			return nil, err
		}
	}
	parsed, err := table.Parse(routes, pools, base)
	if err != nil {
		return nil, err
	}
	return parsed, parsed.Validate()
}

// loadBase loads the version that the only given file is based on.
func (s *Session) loadBase(ctx context.Context, routes, pools *table.Source) (*table.Tables, error) {
	partial, err := table.Parse(routes, pools, &table.Tables{})
	if err != nil {
		return nil, err
	}
	if s.Tables == nil {
		return nil, fault.New(fault.KindBadRequest, "one table file is checked against the other table of its version: add the other file, or --platform")
	}
	return tablestore.LoadVersion(ctx, s.Tables, s.Objects, partial.Tables.Version)
}
