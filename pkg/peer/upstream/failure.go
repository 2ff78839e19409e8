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
	Refused Reason = iota
	// Full: the bound on open connections is reached.
	Full
	// Lost: the connection ended before the whole answer.
	Lost
	// Garbage: what arrived is not an HTTP answer.
	Garbage
	// TimedOut: the deadline passed.
	TimedOut
	// Canceled: the caller has gone.
	Canceled
	// Late: the connection was had too late to send anything.
	Late
	// BodyFailed: the request's body could not be read to its end.
	BodyFailed
)

var reasonNames = [...]string{"refused", "full", "lost", "garbage", "timed out", "canceled", "late", "body failed"}

// String returns the name of r.
func (r Reason) String() string { return reasonNames[r] }

// Error is a failed exchange.
type Error struct {
	Reason Reason
	// Sent is true when any byte of the request may have left.
	Sent bool
	Err  error
}

// Error returns the reason and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (sent=%t): %v", e.Reason, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// AsError returns err as a failed exchange. Every error of this package is one.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Reason: Lost, Sent: true, Err: err}
}
