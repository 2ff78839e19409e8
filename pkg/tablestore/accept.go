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

// Edit is a proposed new version of the tables.
type Edit struct {
	// ID identifies the edit. Accepting an edit again with the same ID has no
	// effect.
	ID     string
	Author string
	Reason string
	// Tables is the new content. Tables.Version is the version that the edit is
	// based on.
	Tables *table.Tables
	// ComputeShifts returns the pool shares in force under the current tables at
	// the platform's time now. If it is nil, the new version has no shifts.
	ComputeShifts func(current *table.Tables, now time.Time) []table.Shift
	// Retry configures the retries. The zero value selects DefaultRetryPolicy.
	Retry RetryPolicy
}

// RetryPolicy configures how Accept retries while the store fails.
type RetryPolicy struct {
	// MaxAttempts is the maximum number of attempts, including the first.
	MaxAttempts uint
	// InitialInterval is the wait after the first attempt. Later waits grow
	// exponentially up to MaxInterval.
	InitialInterval time.Duration
	MaxInterval     time.Duration
}

// DefaultRetryPolicy applies to edits whose Retry is the zero value.
var DefaultRetryPolicy = RetryPolicy{MaxAttempts: 8, InitialInterval: 50 * time.Millisecond, MaxInterval: 2 * time.Second}

// Accept makes e the next version of the tables and returns its head. One
// transaction writes the current row and the history row, on condition that the
// current row is still that of the edit's base version, so that only one of
// several concurrent edits succeeds. If the reply to a commit is lost, the next
// attempt reads the version after the base: the edit was accepted if that version
// has the edit's ID.
//
// Accept returns a table.InvalidError if the tables are invalid, a ConflictError
// if another edit was accepted first, and an error of kind fault.KindBadRequest if e
// has no ID or fault.KindStoreUnavailable if the edit was not accepted. An error of
// kind fault.KindStoreAmbiguous means that the outcome is unknown; the caller may
// call Accept again with the same ID.
func Accept(ctx context.Context, t platform.TableService, o platform.ObjectStore, e Edit) (Head, error) {
	if err := e.Tables.Validate(); err != nil {
		return Head{}, err
	}
	if e.ID == "" {
		return Head{}, fault.New(fault.KindBadRequest, "the edit has no id")
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
		return Head{}, fault.Wrap(fault.KindStoreAmbiguous, err, "the outcome of edit %s is unknown; apply it again with the same id", e.ID)
	}
	return Head{}, fault.Wrap(fault.KindStoreUnavailable, err, "edit %s was not accepted", e.ID)
}

// acceptor holds the state of one call of Accept across its attempts.
type acceptor struct {
	tables  platform.TableService
	objects platform.ObjectStore
	edit    Edit
	// ambiguous is set after a commit whose outcome is unknown.
	ambiguous bool
}

// attempt reads the head and commits the edit if its base is still the current
// version. Otherwise it checks whether an earlier attempt was accepted.
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

// resolveConflict determines the result of the edit after the condition of a commit
// failed with err. The version that changed the head may be the edit itself,
// committed by an earlier attempt whose reply was lost.
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

// prepareWrites stores the content of the next version and returns its head and the
// writes that accept it.
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

// putContent stores next and the patch from old to next, and returns the name of
// next's object. baseObject is the name of old's object.
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

// computeShifts returns the pool shares in force under the current tables.
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

// readAccepted returns the stored head with its time of acceptance, or head without
// that time if the store can't be read.
func (a *acceptor) readAccepted(ctx context.Context, head Head) Head {
	if h, found, err := ReadVersionHead(ctx, a.tables, head.Version); err == nil && found {
		return h
	}
	return head
}

// resolveStaleBase determines the result of an edit whose base is not the current
// version: it was accepted if the version after its base has its ID, otherwise it
// conflicts.
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

// LoadVersion reads and validates the content of one version, without defaults.
// Version zero is empty. The error has the kind fault.KindInvalidTable if the
// version does not exist.
func LoadVersion(ctx context.Context, t platform.TableService, o platform.ObjectStore, version uint64) (*table.Tables, error) {
	if version == 0 {
		return &table.Tables{}, nil
	}
	h, found, err := ReadVersionHead(ctx, t, version)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, fault.New(fault.KindInvalidTable, "version %d does not exist", version)
	}
	return LoadWithoutDefaults(ctx, o, h)
}

// readClock returns the platform's time. It writes the clock row and returns the
// row's modification time. A concurrent write of the row also updates that time, so a
// failed condition is not an error. A write whose reply was lost is reported as
// fault.KindStoreUnavailable, because it can be repeated without harm.
func readClock(ctx context.Context, t platform.TableService) (time.Time, error) {
	row, _, err := t.Get(ctx, ClockKey, "")
	if err != nil {
		return time.Time{}, err
	}
	_, err = t.Commit(ctx, []platform.Write{{Key: ClockKey, IfMatch: row.ETag, Value: []byte("{}")}})
	if err != nil && fault.KindOf(err) != fault.KindEditConflict {
		return time.Time{}, fault.Wrap(fault.KindStoreUnavailable, err, "cannot write the row that gives the platform's time")
	}
	row, _, err = t.Get(ctx, ClockKey, "")
	return row.ModifiedAt, err
}

// retryable marks final errors as permanent, so that they are not retried.
func retryable(err error) error {
	if err != nil && isFinal(err) {
		return backoff.Permanent(err)
	}
	return err
}

// isFinal reports whether another attempt would end with the same error.
func isFinal(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict) || fault.KindOf(err) == fault.KindInvalidTable
}
