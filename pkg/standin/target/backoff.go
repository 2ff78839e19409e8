package target

import (
	"net/http"
	"strconv"
	"time"
)

// StartBackoff makes the target refuse requests with status 503 and Retry-After until d
// has passed, or until it starts again.
func (t *Target) StartBackoff(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backoffUntil = time.Now().Add(d)
}

// SetRateLimit makes the target announce with its responses that it accepts perSecond
// requests a second from all instances together. It does not enforce the limit. A negative
// value ends the announcement, and so does a new start.
func (t *Target) SetRateLimit(perSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rateLimit = perSecond
}

// setRetryAfter sets Retry-After to the remaining time of the backoff, rounded up to
// whole seconds. It reports false, without setting it, if the target is not in backoff.
func (t *Target) setRetryAfter(w http.ResponseWriter) bool {
	t.mu.Lock()
	remaining := time.Until(t.backoffUntil)
	t.mu.Unlock()
	if remaining <= 0 {
		return false
	}
	seconds := (remaining + time.Second - 1) / time.Second
	w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	return true
}
