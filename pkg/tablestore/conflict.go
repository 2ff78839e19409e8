package tablestore

import (
	"context"
	"fmt"
	"strings"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// ConflictError is the error of an edit that is based on a version other than the
// current one. Its kind is fault.KindEditConflict.
type ConflictError struct {
	// Base is the version that the edit is based on.
	Base uint64 `json:"base_version"`
	// Current is the head of the current version.
	Current Head `json:"current"`
	// Yours lists the changes from the base to the edit, Theirs those from the base to
	// the current version. Each is empty if the versions can't be read.
	Yours     []table.Change `json:"yours"`
	Theirs    []table.Change `json:"theirs"`
	kindError error
}

// NewConflictError returns the ConflictError of an edit whose base is not the current
// version. A list of changes is left empty if the versions that it compares can't be
// read, because the edit conflicts regardless of the changes.
func NewConflictError(ctx context.Context, t platform.TableService, o platform.ObjectStore, edit *table.Tables, current Head) *ConflictError {
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

// buildConflictError returns a ConflictError with the given fields.
func buildConflictError(base uint64, current Head, yours, theirs []table.Change) *ConflictError {
	return &ConflictError{
		Base: base, Current: current, Yours: yours, Theirs: theirs,
		kindError: fault.New(fault.KindEditConflict, "the edit is based on version %d, but the current version is %d", base, current.Version),
	}
}

// Error lists the changes of both sides and how to resolve the conflict.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the edit is based on version %d, but the current version is %d", e.Base, e.Current.Version)
	if e.Current.Version > 0 {
		fmt.Fprintf(&b, ", by %s", e.Current.Author)
		if e.Current.Reason != "" {
			fmt.Fprintf(&b, " (%s)", e.Current.Reason)
		}
	}
	writeChanges(&b, fmt.Sprintf("changes of your edit to version %d", e.Base), e.Yours)
	writeChanges(&b, fmt.Sprintf("changes accepted since, up to version %d", e.Current.Version), e.Theirs)
	b.WriteString("\nexport the current version, repeat the edit on it and apply the result")
	return b.String()
}

// Unwrap returns the error that carries the kind.
func (e *ConflictError) Unwrap() error { return e.kindError }

// writeChanges writes title and one line per change.
func writeChanges(b *strings.Builder, title string, changes []table.Change) {
	fmt.Fprintf(b, "\n%s:", title)
	if len(changes) == 0 {
		b.WriteString("\n  no changes")
	}
	for _, c := range changes {
		fmt.Fprintf(b, "\n  %s", c)
	}
}
