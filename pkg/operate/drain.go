package operate

import (
	"context"
	"errors"

	"github.com/google/uuid"

	"github.com/jacinthramp/jacinthramp/pkg/decision/plan"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
)

// DrainRequest is a request to set or clear the drain mark of a target or a pool.
type DrainRequest struct {
	// Target or Pool names the row; exactly one is set.
	Target string
	Pool   string
	// Undrain clears the mark.
	Undrain bool
	// AllowStranded accepts a drain that leaves a route without any target.
	AllowStranded bool
	Author        string
	Reason        string
}

// maxDrainAttempts bounds the edits tried against versions that keep changing.
const maxDrainAttempts = 8

// Drain edits the drain mark of one row. When another edit is accepted first,
// it is tried again on that version as long as the row is still there.
// Errors: as Apply; an InvalidError when the row does not exist or a route
// would be left without any target.
func (s *Session) Drain(ctx context.Context, d DrainRequest) (ApplyResult, error) {
	if (d.Target == "") == (d.Pool == "") {
		return ApplyResult{}, fault.New(fault.KindBadRequest, "name either a target with --target or a pool with --pool")
	}
	var err error
	for range maxDrainAttempts {
		var out ApplyResult
		out, err = s.tryDrain(ctx, d)
		var conflict *tablestore.ConflictError
		if !errors.As(err, &conflict) {
			return out, err
		}
	}
	return ApplyResult{}, err
}

// tryDrain makes the edit on the version in force.
func (s *Session) tryDrain(ctx context.Context, d DrainRequest) (ApplyResult, error) {
	head, current, err := s.readCurrent(ctx)
	if err != nil {
		return ApplyResult{}, err
	}
	next := current.Clone()
	if err := d.setDrain(next); err != nil {
		return ApplyResult{}, err
	}
	out := ApplyResult{Head: head, Plan: plan.Compute(current, next, s.now())}
	if out.Plan.Empty() {
		return out, nil
	}
	if err := d.checkStranded(current, next); err != nil {
		return out, err
	}
	out.Head, err = s.accept(ctx, next, EditMetadata{EditID: uuid.NewString(), Author: d.Author, Reason: d.reasonOrDefault()})
	out.Accepted = err == nil
	return out, err
}

// setDrain sets the drain mark in t.
func (d DrainRequest) setDrain(t *table.Tables) error {
	for i := range t.Pools {
		p := &t.Pools[i]
		if d.Pool != "" && p.Name == d.Pool {
			p.Drain = !d.Undrain
			return nil
		}
		for j := range p.Targets {
			if d.Target != "" && p.Targets[j].Name == d.Target {
				p.Targets[j].Drain = !d.Undrain
				return nil
			}
		}
	}
	return table.Invalid([]table.Problem{{Row: d.rowName(), Field: "name", Message: "the pools table has no such row"}})
}

// checkStranded refuses a drain after which a route has no target left.
func (d DrainRequest) checkStranded(current, next *table.Tables) error {
	if d.AllowStranded || d.Undrain {
		return nil
	}
	before := map[string]bool{}
	for _, r := range plan.StrandedRoutes(current) {
		before[r] = true
	}
	var problems []table.Problem
	for _, r := range plan.StrandedRoutes(next) {
		if !before[r] {
			problems = append(problems, table.Problem{Row: d.rowName(), Field: "drain", Message: "route " + r + " would have no target left; add --allow-stranded to do it all the same"})
		}
	}
	return table.Invalid(problems)
}

func (d DrainRequest) rowName() string {
	if d.Pool != "" {
		return "pool " + d.Pool
	}
	return "target " + d.Target
}

// reasonOrDefault returns the stated reason, or what the edit does.
func (d DrainRequest) reasonOrDefault() string {
	switch {
	case d.Reason != "":
		return d.Reason
	case d.Undrain:
		return "undrain " + d.rowName()
	}
	return "drain " + d.rowName()
}
