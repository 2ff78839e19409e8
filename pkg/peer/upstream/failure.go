package upstream

import (
	"errors"
	"fmt"
)

// Reason says why an exchange failed.
type Reason uint8

// The reasons.
const (
	// Refused: no connection could be opened.
	ReasonNoConnection Reason = iota
	// Full: the bound on open connections is reached.
	ReasonPoolFull
	// Lost: the connection ended before the whole answer.
	ReasonConnectionLost
	// Garbage: what arrived is not an HTTP answer.
	ReasonInvalidResponse
	// ReasonTimedOut: the deadline passed.
	ReasonTimedOut
	// Canceled: the caller has gone.
	ReasonCanceled
	// Late: the connection was had too late to send anything.
	ReasonSendWindowExpired
	// ReasonBodyFailed: the request's body could not be read to its end.
	ReasonBodyFailed
)

var reasonNames = [...]string{"refused", "full", "lost", "garbage", "timed out", "canceled", "late", "body failed"}

// String returns the name of r.
func (r Reason) String() string { return reasonNames[r] }

// Error is a failed exchange.
type Error struct {
	Reason Reason
	// MaybeSent is true when any byte of the request may have left.
	MaybeSent bool
	Err       error
}

// Error returns the reason and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (sent=%t): %v", e.Reason, e.MaybeSent, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// AsError returns err as a failed exchange. Every error of this package is one.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Reason: ReasonConnectionLost, MaybeSent: true, Err: err}
}
