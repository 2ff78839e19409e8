package operate

import (
	"context"
	"slices"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/plan"
	"github.com/jacinthramp/jacinthramp/pkg/decision/shift"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
)

// ValidationResult is the outcome of Validate.
type ValidationResult struct {
	Valid   bool   `json:"valid"`
	Version uint64 `json:"base_version"`
	Routes  int    `json:"routes"`
	Pools   int    `json:"pools"`
	Targets int    `json:"targets"`
	// Blocks is the number of callers' blocks in the blocks file, or 0 without a
	// file.
	Blocks int `json:"blocks"`
}

// Validate checks table files. Invalid tables are reported as a
// table.InvalidError, invalid blocks as a block.InvalidError.
func (s *Session) Validate(ctx context.Context, f Files) (ValidationResult, error) {
	parsed, err := s.parseTables(ctx, f)
	if err != nil {
		return ValidationResult{}, err
	}
	v := ValidationResult{Valid: true, Version: parsed.Tables.Version, Routes: len(parsed.Tables.Routes), Pools: len(parsed.Tables.Pools)}
	for _, p := range parsed.Tables.Pools {
		v.Targets += len(p.Targets)
	}
	if f.Blocks == "" {
		return v, nil
	}
	b, err := s.readBlocks(ctx, f.Blocks, parsed.Tables)
	if err != nil {
		return ValidationResult{}, err
	}
	if b.blocks != nil {
		v.Blocks = b.blocks.Count
	}
	return v, nil
}

// Plan describes what an edit changes in the version in force.
type Plan struct {
	plan.Plan
	// Outdated is set when the edit is not based on the version in force, so that
	// Apply would refuse it.
	Outdated *tablestore.ConflictError `json:"outdated,omitempty"`
}

// Plan reads an edit and computes what it changes in the version in force.
func (s *Session) Plan(ctx context.Context, f Files) (Plan, error) {
	parsed, _, err := s.parse(ctx, f)
	if err != nil {
		return Plan{}, err
	}
	p, _, err := s.computePlan(ctx, parsed)
	return p, err
}

// computePlan compares a parsed edit with the version in force, which it also
// returns. When the edit is based on another version, only Plan.Outdated is set.
func (s *Session) computePlan(ctx context.Context, parsed *table.ParsedFiles) (Plan, *table.Tables, error) {
	head, current, err := s.readCurrent(ctx)
	if err != nil {
		return Plan{}, nil, err
	}
	if parsed.Tables.Version != head.Version {
		return Plan{Outdated: tablestore.NewConflictError(ctx, s.Tables, s.Objects, parsed.Tables, head)}, current, nil
	}
	return Plan{Plan: plan.Compute(current, parsed.Tables, s.now())}, current, nil
}

// EditMetadata identifies an edit, its author and its reason.
type EditMetadata struct {
	// EditID makes the edit idempotent: applying the same id again changes nothing.
	EditID string
	Author string
	Reason string
}

// ApplyResult is the outcome of Apply and Drain.
type ApplyResult struct {
	// Accepted is false when the edit changes nothing.
	Accepted bool `json:"accepted"`
	// Head is the accepted version, or the version in force when nothing changes.
	Head tablestore.Head `json:"head"`
	Plan plan.Plan       `json:"plan"`
	// Unchecked lists instances whose requests in flight could not be counted.
	Unchecked []string `json:"unchecked_instances"`
}

// Apply makes an edit the next version. Errors: table.InvalidError, also for a
// limit lowered below the requests in flight; block.InvalidError;
// tablestore.ConflictError; fault.KindStoreUnavailable;
// fault.KindStoreAmbiguous.
func (s *Session) Apply(ctx context.Context, f Files, meta EditMetadata) (ApplyResult, error) {
	parsed, blocks, err := s.parse(ctx, f)
	if err != nil {
		return ApplyResult{}, err
	}
	p, current, err := s.computePlan(ctx, parsed)
	if err != nil {
		return ApplyResult{}, err
	}
	if p.Outdated != nil {
		return s.resolveRepeat(ctx, parsed.Tables, meta, p.Outdated)
	}
	out := ApplyResult{Plan: p.Plan}
	if p.Empty() {
		out.Head, _, _, err = tablestore.ReadHead(ctx, s.Tables, "")
		return out, err
	}
	problems, unchecked := s.checkInFlight(ctx, current, parsed.Tables)
	if err := table.NewInvalidError(parsed.Locate(problems)); err != nil {
		return out, err
	}
	out.Unchecked = unchecked
	if err := blocks.store(ctx, s); err != nil {
		return out, err
	}
	out.Head, err = s.accept(ctx, parsed.Tables, meta)
	out.Accepted = err == nil
	return out, err
}

// resolveRepeat distinguishes the repeat of an accepted edit, for which the store's
// reply was lost, from an edit of an older version. For the latter it returns
// conflict.
func (s *Session) resolveRepeat(ctx context.Context, t *table.Tables, meta EditMetadata, conflict *tablestore.ConflictError) (ApplyResult, error) {
	h, found, err := tablestore.ReadVersionHead(ctx, s.Tables, t.Version+1)
	if err != nil {
		return ApplyResult{}, err
	}
	if found && h.EditID == meta.EditID {
		return ApplyResult{Accepted: true, Head: h}, nil
	}
	return ApplyResult{}, conflict
}

// accept makes t the next version. Its traffic shifts start at the shares in
// force.
func (s *Session) accept(ctx context.Context, t *table.Tables, meta EditMetadata) (tablestore.Head, error) {
	return tablestore.Accept(ctx, s.Tables, s.Objects, tablestore.Edit{
		ID: meta.EditID, Author: meta.Author, Reason: meta.Reason, Tables: t,
		ComputeShifts: func(current *table.Tables, now time.Time) []table.Shift { return initialShifts(current, t, now) },
	})
}

// initialShifts returns the shares in force at now, from which next shifts its
// traffic. Routes that already are at their new weights are left out: a route
// without recorded shares starts at its weights.
func initialShifts(current, next *table.Tables, now time.Time) []table.Shift {
	t := next.WithDefaults()
	t.AcceptedAt = now
	t.Shifts = shift.Snapshot(current, now)
	var shifting []table.Shift
	for i := range t.Routes {
		if isShifting(t, &t.Routes[i]) {
			for _, s := range t.Shifts {
				if s.Route == t.Routes[i].Name {
					shifting = append(shifting, s)
				}
			}
		}
	}
	return shifting
}

// isShifting reports whether the shares of r at acceptance differ from those at
// which it would start without recorded shares.
func isShifting(t *table.Tables, r *table.Route) bool {
	withoutShifts := *t
	withoutShifts.Shifts = nil
	return !slices.Equal(shift.PlannedShares(t, r, t.AcceptedAt), shift.PlannedShares(&withoutShifts, r, t.AcceptedAt))
}

// ExportResult is one version of the tables.
type ExportResult struct {
	Head   tablestore.Head `json:"head"`
	Tables *table.Tables   `json:"tables"`
}

// Export reads a version as it was edited, without defaults filled in. Version 0
// means the version in force.
func (s *Session) Export(ctx context.Context, version uint64) (ExportResult, error) {
	if version == 0 {
		head, t, err := s.readCurrent(ctx)
		return ExportResult{Head: head, Tables: t}, err
	}
	t, err := tablestore.LoadVersion(ctx, s.Tables, s.Objects, version)
	if err != nil {
		return ExportResult{}, err
	}
	head, _, err := tablestore.ReadVersionHead(ctx, s.Tables, version)
	return ExportResult{Head: head, Tables: t}, err
}

// HistoryEntry is one version of the history.
type HistoryEntry struct {
	tablestore.Head
	// Changes lists the differences from the version before, if requested.
	Changes []table.Change `json:"changes,omitempty"`
}

// History lists at most latest versions, the newest first. With changes, each
// entry lists its differences from the version before.
func (s *Session) History(ctx context.Context, latest int, changes bool) ([]HistoryEntry, error) {
	heads, err := tablestore.History(ctx, s.Tables)
	if err != nil {
		return nil, err
	}
	var out []HistoryEntry
	for i := len(heads) - 1; i >= 0 && len(out) < latest; i-- {
		e := HistoryEntry{Head: heads[i]}
		if changes {
			if e.Changes, err = s.changesOf(ctx, heads, i); err != nil {
				return nil, err
			}
		}
		out = append(out, e)
	}
	return out, nil
}

// changesOf compares version i of the history with the version before it.
func (s *Session) changesOf(ctx context.Context, heads []tablestore.Head, i int) ([]table.Change, error) {
	before := &table.Tables{}
	var err error
	if i > 0 {
		if before, err = tablestore.LoadWithoutDefaults(ctx, s.Objects, heads[i-1]); err != nil {
			return nil, err
		}
	}
	after, err := tablestore.LoadWithoutDefaults(ctx, s.Objects, heads[i])
	if err != nil {
		return nil, err
	}
	return table.Diff(before, after), nil
}
