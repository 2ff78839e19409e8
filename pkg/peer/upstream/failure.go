package upstream

import (
	"errors"
	"fmt"
	"strings"
)

// Reason classifies the failure of an exchange, that is, of one request and its
// response.
type Reason uint8

// The reasons for which an exchange fails.
const (
	// ReasonNoConnection: no connection could be opened, or the pool is closed.
	ReasonNoConnection Reason = iota
	// ReasonPoolFull: the limit on open connections is reached.
	ReasonPoolFull
	// ReasonConnectionLost: the connection failed before the response was complete.
	ReasonConnectionLost
	// ReasonInvalidResponse: the server sent an invalid HTTP response.
	ReasonInvalidResponse
	// ReasonTimedOut: the deadline of the context passed.
	ReasonTimedOut
	// ReasonCanceled: the context was canceled because the caller disconnected.
	ReasonCanceled
	// ReasonSendWindowExpired: NotAfter passed before the first byte was written.
	ReasonSendWindowExpired
	// ReasonBodyFailed: the request body could not be read to its end.
	ReasonBodyFailed
	// ReasonWithdrawn: SendOptions.Withdrawn reported true before the first byte was
	// written.
	ReasonWithdrawn
)

var reasonNames = [...]string{"refused", "full", "lost", "garbage", "timed out", "canceled", "late", "body failed", "withdrawn"}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// Error describes a failed exchange.
type Error struct {
	Reason Reason
	// MaybeSent is true when any byte of the request may have been sent.
	MaybeSent bool
	Err       error
}

// maxCauseBytes is the number of bytes that are kept of the text of a cause. The parsers of
// the library quote what the server has sent.
const maxCauseBytes = 512

// shortCause returns err, or its first maxCauseBytes if its text is longer.
func shortCause(err error) error {
	text := err.Error()
	if len(text) <= maxCauseBytes {
		return err
	}
	return errors.New(strings.Clone(text[:maxCauseBytes]))
}

// Error returns the reason and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (sent=%t): %v", e.Reason, e.MaybeSent, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// AsError returns the *Error in err's chain. Every error of this package has one;
// for other errors it assumes a lost connection and a request that may have been
// sent.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Reason: ReasonConnectionLost, MaybeSent: true, Err: err}
}
