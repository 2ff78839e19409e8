// Package fault holds the closed list of error kinds and the table from each
// kind to the answer that a caller or an operator gets.
package fault

import (
	"errors"
	"time"

	"github.com/joomcode/errorx"
)

// Outcome says what is known about the execution of a request.
type Outcome string

// The outcomes that an answer can state.
const (
	// OutcomeCompleted means that the answer is the target's whole answer.
	OutcomeCompleted Outcome = "completed"
	// OutcomeNotRun means that no target can have acted on any byte of the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that a target may have run the request.
	OutcomeUnknown Outcome = "unknown"
)

// Kind identifies one of the closed list of errors.
type Kind uint8

// The error kinds. KindNone is the zero value and marks success.
const (
	KindNone Kind = iota

	// Refused before any dispatch: the request's own fault.
	KindBadRequest
	KindHeaderTooLarge
	KindBodyTooLarge
	KindUnknownRoute
	KindBadRequestID

	// Refused before any dispatch: the system's state.
	KindNotReady
	KindLeaving
	KindOverloaded
	KindRegionFull
	KindShiftCapped
	KindNoTarget
	KindDeadlinePassed
	KindShareLapsed
	KindPoisonHeld
	KindHopRefused
	KindTargetRefused
	KindTargetShed

	// Failed after a dispatch.
	KindTargetTimeout
	KindTargetLost
	KindTargetGarbage
	KindTargetFailed
	KindBodyMismatch
	KindHopLost
	KindCallerGone
	KindHomeGone
	KindAnswerGone

	// Between the system, the platform and the operators.
	KindInvalidSettings
	KindInvalidTable
	KindEditConflict
	KindStoreUnavailable
	KindStoreAmbiguous
	KindHistoryGone
	KindPeerUnavailable
	KindPeerRejected

	// Found by a checking command.
	KindInvariantBroken

	kindCount
)

// KindInfo is what a kind becomes on the wire and on the command line.
type KindInfo struct {
	// Name is the stable machine-readable name of the kind.
	Name string
	// Status is the HTTP status code.
	Status int
	// Outcome is what the answer states about the request's execution.
	Outcome Outcome
	// RetryAfter is the default time after which to come back; zero means
	// that a repeat will not help.
	RetryAfter time.Duration
	// ExitCode is the exit code of a command that ends with this kind.
	ExitCode int
}

var (
	namespace = errorx.NewNamespace("jacinthramp")
	types     [kindCount]*errorx.Type
	property  = errorx.RegisterProperty("kind")
	retryProp = errorx.RegisterProperty("retry_after")
)

func init() {
	for k := KindNone + 1; k < kindCount; k++ {
		types[k] = namespace.NewType(answers[k].Name)
	}
}

// Info returns the row of the table for k.
func (k Kind) Info() KindInfo {
	if k >= kindCount {
		return answers[KindNone]
	}
	return answers[k]
}

// String returns the stable name of k.
func (k Kind) String() string { return k.Info().Name }

// Kinds lists every error kind in declaration order.
func Kinds() []Kind {
	ks := make([]Kind, 0, kindCount-1)
	for k := KindNone + 1; k < kindCount; k++ {
		ks = append(ks, k)
	}
	return ks
}

// KindByName returns the kind with the given stable name, and false when
// there is none.
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
	return types[k].New(format, args...).WithProperty(property, k)
}

// Wrap returns an error of kind k caused by err.
func Wrap(k Kind, err error, format string, args ...any) error {
	return types[k].Wrap(err, format, args...).WithProperty(property, k)
}

// WithRetryAfter attaches to err the time after which a repeat may succeed.
func WithRetryAfter(err error, d time.Duration) error {
	if e := errorx.Cast(err); e != nil {
		return e.WithProperty(retryProp, d)
	}
	return err
}

// KindOf returns the kind of err, looking through wrapped errors, or KindNone
// when err is nil or carries no kind.
func KindOf(err error) Kind {
	if v, ok := lookup(err, property); ok {
		return v.(Kind)
	}
	return KindNone
}

// RetryAfterOf returns the time attached to err, or the default of its kind.
func RetryAfterOf(err error) time.Duration {
	if v, ok := lookup(err, retryProp); ok {
		return v.(time.Duration)
	}
	return KindOf(err).Info().RetryAfter
}

// lookup finds the nearest value of p in the chain of wrapped errors.
func lookup(err error, p errorx.Property) (any, bool) {
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
