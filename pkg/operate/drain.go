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

// DrainRequest asks to set or clear the drain mark of a target or a pool.
type DrainRequest struct {
	// Target or Pool names the row. Exactly one is set.
	Target string
	Pool   string
	// Undrain clears the mark.
	Undrain bool
	// AllowStranded permits a drain that leaves a route without any target.
	AllowStranded bool
	Author        string
	Reason        string
}

// maxDrainAttempts bounds the attempts of a drain when other edits keep being
// accepted first.
const maxDrainAttempts = 8

// Drain edits the drain mark of one row. When another edit is accepted first,
// Drain retries on the new version, up to maxDrainAttempts attempts in all.
// Errors: those of Apply, and a table.InvalidError when the row does not exist
// or a route would be left without any target.
func (s *Session) Drain(ctx context.Context, d DrainRequest) (ApplyResult, error) {
	if (d.Target == "") == (d.Pool == "") {
		return ApplyResult{}, fault.New(fault.KindBadRequest, "exactly one of --target and --pool is required")
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

// tryDrain applies the drain to the version in force once.
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
	return table.NewInvalidError([]table.Problem{{Row: d.rowName(), Field: "name", Message: "no such row in the pools table"}})
}

// checkStranded returns an error when the drain leaves a route without any
// target that had one before.
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
			problems = append(problems, table.Problem{Row: d.rowName(), Field: "drain", Message: "route " + r + " would have no target left; add --allow-stranded to drain anyway"})
		}
	}
	return table.NewInvalidError(problems)
}

func (d DrainRequest) rowName() string {
	if d.Pool != "" {
		return "pool " + d.Pool
	}
	return "target " + d.Target
}

// reasonOrDefault returns the given reason, or a description of the edit.
func (d DrainRequest) reasonOrDefault() string {
	switch {
	case d.Reason != "":
		return d.Reason
	case d.Undrain:
		return "undrain " + d.rowName()
	}
	return "drain " + d.rowName()
}
