package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// Refusal is an error response that the instance generates itself.
type Refusal struct {
	Kind fault.Kind
	// RetryAfter is the time after which the caller may retry; zero means the
	// default of the kind.
	RetryAfter time.Duration
	Message    string
	// FractionalRetryAfter writes the Retry-After header in seconds with three
	// decimals instead of rounding it up to whole seconds.
	FractionalRetryAfter bool
	// KeyScheme is the scheme of keys that a response with status 401 names.
	KeyScheme string
}

// RefusalFromError returns the refusal for err. An error without a kind is
// treated as fault.KindTargetLost.
func RefusalFromError(err error) Refusal {
	k := fault.KindOf(err)
	if k == fault.KindNone {
		k = fault.KindTargetLost
	}
	return Refusal{Kind: k, RetryAfter: fault.RetryAfterOf(err), Message: err.Error()}
}

// Write sends the refusal as the response: a JSON body, and headers with the
// kind, the outcome and the time after which the caller may retry.
func (r Refusal) Write(w http.ResponseWriter) {
	info := r.Kind.Info()
	retryAfter := r.RetryAfter
	if retryAfter == 0 {
		retryAfter = info.RetryAfter
	}
	h := w.Header()
	h.Set(wire.HeaderOutcome, string(info.Outcome))
	h.Set(wire.HeaderKind, info.Name)
	if info.Status == http.StatusUnauthorized && r.KeyScheme != "" {
		h.Set(wire.HeaderChallenge, r.KeyScheme)
	}
	if retryAfter > 0 {
		h.Set("Retry-After", r.retryAfterValue(retryAfter))
		h.Set(wire.HeaderRetryAfterMS, strconv.FormatInt(retryAfter.Milliseconds(), 10))
	}
	body, err := json.Marshal(wire.ErrorBody{
		Kind:         info.Name,
		Outcome:      string(info.Outcome),
		Message:      r.Message,
		RetryAfterMS: retryAfter.Milliseconds(),
	})
	if err != nil {
		body = nil
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(info.Status)
	w.Write(body)
}

// retryAfterValue returns the value of the Retry-After header.
func (r Refusal) retryAfterValue(retryAfter time.Duration) string {
	if r.FractionalRetryAfter {
		return strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((retryAfter+time.Second-1)/time.Second), 10)
}
