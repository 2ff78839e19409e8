package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// Refusal is an answer that the system makes itself.
type Refusal struct {
	Kind fault.Kind
	// RetryAfter is the time to come back; zero takes that of the kind.
	RetryAfter time.Duration
	Message    string
	// FractionalRetryAfter writes the standard field with fractions of a second.
	FractionalRetryAfter bool
}

// RefusalFromError returns the refusal for err; an error without a kind counts as
// the loss of a target.
func RefusalFromError(err error) Refusal {
	k := fault.KindOf(err)
	if k == fault.KindNone {
		k = fault.KindTargetLost
	}
	return Refusal{Kind: k, RetryAfter: fault.RetryAfterOf(err), Message: err.Error()}
}

// Write answers with the refusal.
func (f Refusal) Write(w http.ResponseWriter) {
	row := f.Kind.Answer()
	retry := f.RetryAfter
	if retry == 0 {
		retry = row.RetryAfter
	}
	h := w.Header()
	h.Set(wire.HeaderOutcome, string(row.Outcome))
	h.Set(wire.HeaderKind, row.Name)
	if retry > 0 {
		h.Set("Retry-After", f.retryText(retry))
		h.Set(wire.HeaderRetryAfterMS, strconv.FormatInt(retry.Milliseconds(), 10))
	}
	body, err := json.Marshal(wire.ErrorBody{
		Kind:         row.Name,
		Outcome:      string(row.Outcome),
		Message:      f.Message,
		RetryAfterMS: retry.Milliseconds(),
	})
	if err != nil {
		body = nil
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(row.Status)
	w.Write(body)
}

// retryText returns the value of the standard field for retry.
func (f Refusal) retryText(retry time.Duration) string {
	if f.FractionalRetryAfter {
		return strconv.FormatFloat(retry.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((retry+time.Second-1)/time.Second), 10)
}
