// Package fault defines the closed set of error kinds and maps each kind to its
// HTTP response, outcome and exit code.
package fault

import (
	"errors"
	"time"

	"github.com/joomcode/errorx"
)

// Outcome states what is known about the execution of a request.
type Outcome string

// The outcomes that a response can state.
const (
	// OutcomeCompleted means that the response is the target's complete response.
	OutcomeCompleted Outcome = "completed"
	// OutcomeNotRun means that no target can have processed any byte of the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that a target may have run the request.
	OutcomeUnknown Outcome = "unknown"
)

// Kind identifies an error kind.
type Kind uint8

// The error kinds. KindNone is the zero value and means success.
const (
	KindNone Kind = iota

	// Not run, because the request itself is invalid.
	KindBadRequest
	KindHeaderTooLarge
	KindBodyTooLarge
	KindUnknownRoute
	KindBadRequestID
	KindUnknownKey // no workspace has the request's key, or it has none

	// Not run, because of the state of the system or the target.
	KindNotReady
	KindLeaving
	KindOverloaded
	KindRegionFull  // the instance's share of a region's limit is in use
	KindShiftCapped // admissions to the pool may not grow faster
	KindNoTarget
	KindDeadlinePassed
	KindShareLapsed   // the lease of the instance's shares has expired
	KindQuotaExceeded // the workspace has used up its quota
	KindPoisonHeld    // targets were repeatedly lost while running the same request
	KindHopRefused    // not forwarded, or not accepted by the other instance
	KindTargetRefused // no byte was sent to the target
	KindTargetShed    // the target refused the request without running it
	KindTargetLeaving // the chosen target was found to be leaving, or not allowed any more, before any byte was sent to it

	// Failed after a dispatch; a target may have run the request.
	KindTargetTimeout
	KindTargetLost
	KindTargetGarbage // the response is malformed or belongs to another request
	KindTargetFailed  // the target responded with its own failure
	KindBodyMismatch  // the request body could not be read to its end
	KindHopLost       // the connection to the other instance was lost
	KindCallerGone
	KindHomeGone   // the id's home instance or route is gone, or the id has expired
	KindAnswerGone // the request completed, but its response was not kept

	// Settings, tables, the platform's store, and calls between instances.
	KindInvalidSettings
	KindInvalidTable
	KindEditConflict
	KindStoreUnavailable
	KindStoreAmbiguous
	KindHistoryGone
	KindPeerUnavailable
	KindPeerRejected

	// A check or measurement failed.
	KindInvariantBroken

	kindCount
)

// KindInfo describes how a kind is reported over HTTP and by the commands.
type KindInfo struct {
	// Name is the kind's stable machine-readable name.
	Name string
	// Status is the HTTP status code.
	Status int
	// Outcome is what the response states about the request's execution.
	Outcome Outcome
	// RetryAfter is the default time after which the caller may retry; zero
	// means that a retry does not help.
	RetryAfter time.Duration
	// ExitCode is the exit code of a command that ends with this kind.
	ExitCode int
}

var (
	namespace          = errorx.NewNamespace("jacinthramp")
	errorTypes         [kindCount]*errorx.Type
	kindProperty       = errorx.RegisterProperty("kind")
	retryAfterProperty = errorx.RegisterProperty("retry_after")
)

func init() {
	for k := KindNone + 1; k < kindCount; k++ {
		errorTypes[k] = namespace.NewType(kindInfos[k].Name)
	}
}

// Info returns the KindInfo of k, or that of KindNone if k is out of range.
func (k Kind) Info() KindInfo {
	if k >= kindCount {
		return kindInfos[KindNone]
	}
	return kindInfos[k]
}

// String returns the stable machine-readable name of k.
func (k Kind) String() string { return k.Info().Name }

// Kinds returns all error kinds except KindNone in declaration order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount-1)
	for k := KindNone + 1; k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// KindByName returns the error kind with the given stable name, or KindNone and
// false if there is none.
func KindByName(name string) (Kind, bool) {
	for _, k := range Kinds() {
		if k.Info().Name == name {
			return k, true
		}
	}
	return KindNone, false
}

// New returns an error of kind k.
func New(k Kind, format string, args ...any) error {
	return errorTypes[k].New(format, args...).WithProperty(kindProperty, k)
}

// Wrap returns an error of kind k that wraps err.
func Wrap(k Kind, err error, format string, args ...any) error {
	return errorTypes[k].Wrap(err, format, args...).WithProperty(kindProperty, k)
}

// WithRetryAfter returns err with the time after which a retry may succeed. An
// err that was not made by this package is returned unchanged.
func WithRetryAfter(err error, d time.Duration) error {
	if e := errorx.Cast(err); e != nil {
		return e.WithProperty(retryAfterProperty, d)
	}
	return err
}

// KindOf returns the outermost kind in err's chain of wrapped errors, or KindNone
// if err is nil or has no kind.
func KindOf(err error) Kind {
	if v, ok := lookupProperty(err, kindProperty); ok {
		return v.(Kind)
	}
	return KindNone
}

// RetryAfterOf returns the time set by WithRetryAfter, or the default of err's kind.
func RetryAfterOf(err error) time.Duration {
	if v, ok := lookupProperty(err, retryAfterProperty); ok {
		return v.(time.Duration)
	}
	return KindOf(err).Info().RetryAfter
}

// lookupProperty returns the outermost value of p in err's chain of wrapped errors.
func lookupProperty(err error, p errorx.Property) (any, bool) {
	for err != nil {
		if e := errorx.Cast(err); e != nil {
			if v, ok := e.Property(p); ok {
				return v, true
			}
		}
		err = errors.Unwrap(err)
	}
	return nil, false
}
