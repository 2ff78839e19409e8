package tablestore

import (
	"context"
	"fmt"
	"strings"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// ConflictError says that an edit was made against a version that is not the
// current one. Its kind is fault.KindEditConflict.
type ConflictError struct {
	// Base is the version that the edit was made against.
	Base uint64 `json:"base_version"`
	// Current is the version in force, with its author and reason.
	Current Head `json:"current"`
	// Yours is what the edit changes of its base; Theirs is what the versions
	// accepted since have changed of it.
	Yours     []table.Change `json:"yours"`
	Theirs    []table.Change `json:"theirs"`
	kindError error
}

// NewConflictError returns the conflict of an edit whose base is not the current
// version. A side that can't be read is left empty: the refusal stands
// without it.
func NewConflictError(ctx context.Context, t platform.Tables, o platform.Objects, edit *table.Tables, current Head) *ConflictError {
	var yours, theirs []table.Change
	base, err := LoadVersion(ctx, t, o, edit.Version)
	if err == nil {
		yours = table.Diff(base, edit)
		if latest, err := LoadWithoutDefaults(ctx, o, current); err == nil {
			theirs = table.Diff(base, latest)
		}
	}
	return buildConflictError(edit.Version, current, yours, theirs)
}

// buildConflictError returns the conflict of an edit.
func buildConflictError(base uint64, current Head, yours, theirs []table.Change) *ConflictError {
	return &ConflictError{
		Base: base, Current: current, Yours: yours, Theirs: theirs,
		kindError: fault.New(fault.KindEditConflict, "the edit was made against version %d, the tables are at version %d", base, current.Version),
	}
}

// Error shows both sides.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the edit was made against version %d; the tables are at version %d", e.Base, e.Current.Version)
	if e.Current.Version > 0 {
		fmt.Fprintf(&b, ", by %s", e.Current.Author)
		if e.Current.Reason != "" {
			fmt.Fprintf(&b, " (%s)", e.Current.Reason)
		}
	}
	writeChanges(&b, fmt.Sprintf("your edit changes, of version %d", e.Base), e.Yours)
	writeChanges(&b, fmt.Sprintf("changed since, up to version %d", e.Current.Version), e.Theirs)
	b.WriteString("\nexport the current version, make the edit again there and apply it")
	return b.String()
}

// Unwrap returns the error that carries the kind.
func (e *ConflictError) Unwrap() error { return e.kindError }

// writeChanges writes one side's changes.
func writeChanges(b *strings.Builder, title string, changes []table.Change) {
	fmt.Fprintf(b, "\n%s:", title)
	if len(changes) == 0 {
		b.WriteString("\n  nothing")
	}
	for _, c := range changes {
		fmt.Fprintf(b, "\n  %s", c)
	}
}
