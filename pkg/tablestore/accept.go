package tablestore

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Edit is a change to be accepted.
type Edit struct {
	// ID identifies the edit. Accepting the same id twice changes nothing.
	ID     string
	Author string
	Reason string
	// Tables is the new content. Tables.Version is the version the edit was
	// made against.
	Tables *table.Tables
	// ComputeShifts returns the pool shares in force at the platform's time now
	// under the current tables. Nil leaves the shifts empty.
	ComputeShifts func(current *table.Tables, now time.Time) []table.Shift
	// Retry bounds the attempts. The zero value is DefaultRetryPolicy.
	Retry RetryPolicy
}

// RetryPolicy bounds the attempts of an edit against a failing store.
type RetryPolicy struct {
	// MaxAttempts is the largest number of attempts.
	MaxAttempts uint
	// InitialInterval is the wait after the first attempt; waits grow up to Longest.
	InitialInterval time.Duration
	MaxInterval     time.Duration
}

// DefaultRetryPolicy is used by edits that set no Retry.
var DefaultRetryPolicy = RetryPolicy{MaxAttempts: 8, InitialInterval: 50 * time.Millisecond, MaxInterval: 2 * time.Second}

// Accept makes e the next version of the tables. The row of the new version
// and the head change in one transaction, conditional on the head that the
// edit was made against, so that of racing edits one wins. An attempt whose
// answer was lost is resolved by reading back: the edit was accepted when the
// version after its base carries its id.
//
// Errors: an InvalidError; a ConflictError when another edit was accepted
// first; fault.KindStoreUnavailable when the edit was not accepted;
// fault.KindStoreAmbiguous when that is not known, in which case Accept may
// be called again with the same id.
func Accept(ctx context.Context, t platform.Tables, o platform.Objects, e Edit) (Head, error) {
	if err := e.Tables.Validate(); err != nil {
		return Head{}, err
	}
	if e.ID == "" {
		return Head{}, fault.New(fault.KindBadRequest, "an edit needs an id")
	}
	if e.Retry == (RetryPolicy{}) {
		e.Retry = DefaultRetryPolicy
	}
	a := acceptor{tables: t, objects: o, edit: e}
	intervals := backoff.NewExponentialBackOff()
	intervals.InitialInterval = e.Retry.InitialInterval
	intervals.MaxInterval = e.Retry.MaxInterval
	head, err := backoff.Retry(ctx, func() (Head, error) { return a.attempt(ctx) },
		backoff.WithBackOff(intervals), backoff.WithMaxTries(e.Retry.MaxAttempts))
	if err == nil || isFinal(err) {
		return head, err
	}
	if a.ambiguous {
		return Head{}, fault.Wrap(fault.KindStoreAmbiguous, err, "the edit %s may have been accepted; apply it again with the same id", e.ID)
	}
	return Head{}, fault.Wrap(fault.KindStoreUnavailable, err, "the edit %s was not accepted", e.ID)
}

// acceptor holds the state of one Accept over its attempts.
type acceptor struct {
	tables  platform.Tables
	objects platform.Objects
	edit    Edit
	// ambiguous is set once a commit may have taken effect.
	ambiguous bool
}

// attempt reads the head back and commits when the edit is still to be made.
func (a *acceptor) attempt(ctx context.Context) (Head, error) {
	current, etag, _, err := ReadHead(ctx, a.tables, "")
	if err != nil {
		return Head{}, retryable(err)
	}
	base := a.edit.Tables.Version
	if current.Version != base {
		head, err := a.resolveStaleBase(ctx, current)
		return head, retryable(err)
	}
	head, writes, err := a.prepareWrites(ctx, current, etag)
	if err != nil {
		return Head{}, retryable(err)
	}
	_, err = a.tables.Commit(ctx, writes)
	switch {
	case err == nil:
		return a.readAccepted(ctx, head), nil
	case fault.KindOf(err) == fault.KindEditConflict:
		return a.resolveConflict(ctx, err)
	case fault.KindOf(err) != fault.KindStoreUnavailable:
		a.ambiguous = true
	}
	return Head{}, retryable(err)
}

// resolveConflict decides the edit after its condition failed with err: a commit of its
// own whose answer was lost may have come first.
func (a *acceptor) resolveConflict(ctx context.Context, err error) (Head, error) {
	current, _, _, readErr := ReadHead(ctx, a.tables, "")
	if readErr != nil {
		return Head{}, retryable(readErr)
	}
	if current.Version == a.edit.Tables.Version {
		return Head{}, err
	}
	head, err := a.resolveStaleBase(ctx, current)
	return head, retryable(err)
}

// prepareWrites stores the content of the next version and returns its writes.
func (a *acceptor) prepareWrites(ctx context.Context, current Head, etag string) (Head, []platform.Write, error) {
	old, err := LoadWithoutDefaults(ctx, a.objects, current)
	if err != nil {
		return Head{}, nil, err
	}
	next := a.edit.Tables.Clone()
	next.Version = current.Version + 1
	if next.Shifts, err = a.computeShifts(ctx, old); err != nil {
		return Head{}, nil, err
	}
	name, err := a.putContent(ctx, current.Object, old, next)
	if err != nil {
		return Head{}, nil, err
	}
	head := Head{Version: next.Version, EditID: a.edit.ID, Author: a.edit.Author, Reason: a.edit.Reason, Object: name}
	value, err := json.Marshal(head)
	if err != nil {
		return Head{}, nil, err
	}
	return head, []platform.Write{
		{Key: CurrentKey, IfMatch: etag, Value: value},
		{Key: HistoryKey(head.Version), Value: value},
	}, nil
}

// putContent stores next, and how it follows from old, and returns its name.
func (a *acceptor) putContent(ctx context.Context, baseObject string, old, next *table.Tables) (string, error) {
	name, data, err := Encode(next)
	if err != nil {
		return "", err
	}
	if err := a.objects.PutObject(ctx, name, data); err != nil {
		return "", err
	}
	if old.Version == 0 {
		return name, nil
	}
	return name, putPatch(ctx, a.objects, baseObject, old, next, name)
}

// computeShifts computes the shares in force from the tables that are current.
func (a *acceptor) computeShifts(ctx context.Context, current *table.Tables) ([]table.Shift, error) {
	if a.edit.ComputeShifts == nil || current.Version == 0 {
		return nil, nil
	}
	now, err := readClock(ctx, a.tables)
	if err != nil {
		return nil, err
	}
	return a.edit.ComputeShifts(current.WithDefaults(), now), nil
}

// readAccepted adds the time of acceptance to head where the store can be read.
func (a *acceptor) readAccepted(ctx context.Context, head Head) Head {
	if h, found, err := ReadVersionHead(ctx, a.tables, head.Version); err == nil && found {
		return h
	}
	return head
}

// resolveStaleBase decides the edit when the head is not the base: it was accepted
// when the version after the base is its own, else it conflicts.
func (a *acceptor) resolveStaleBase(ctx context.Context, current Head) (Head, error) {
	base := a.edit.Tables.Version
	if base < current.Version {
		h, found, err := ReadVersionHead(ctx, a.tables, base+1)
		if err != nil {
			return Head{}, err
		}
		if found && h.EditID == a.edit.ID {
			return h, nil
		}
	}
	return Head{}, NewConflictError(ctx, a.tables, a.objects, a.edit.Tables, current)
}

// LoadVersion reads the content of one version as it was edited. Version zero
// is empty.
func LoadVersion(ctx context.Context, t platform.Tables, o platform.Objects, version uint64) (*table.Tables, error) {
	if version == 0 {
		return &table.Tables{}, nil
	}
	h, found, err := ReadVersionHead(ctx, t, version)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, fault.New(fault.KindInvalidTable, "version %d has not been accepted", version)
	}
	return LoadWithoutDefaults(ctx, o, h)
}

// readClock returns the platform's time, from the modification of a row that
// it writes for that purpose. A lost answer or a racing write does no harm.
func readClock(ctx context.Context, t platform.Tables) (time.Time, error) {
	row, _, err := t.Get(ctx, ClockKey, "")
	if err != nil {
		return time.Time{}, err
	}
	_, err = t.Commit(ctx, []platform.Write{{Key: ClockKey, IfMatch: row.ETag, Value: []byte("{}")}})
	if err != nil && fault.KindOf(err) != fault.KindEditConflict {
		return time.Time{}, fault.Wrap(fault.KindStoreUnavailable, err, "the platform's time can't be read")
	}
	row, _, err = t.Get(ctx, ClockKey, "")
	return row.ModifiedAt, err
}

// retryable marks errors that decide the edit as permanent.
func retryable(err error) error {
	if err != nil && isFinal(err) {
		return backoff.Permanent(err)
	}
	return err
}

// isFinal reports whether err is final: a new attempt would end the same.
func isFinal(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict) || fault.KindOf(err) == fault.KindInvalidTable
}
