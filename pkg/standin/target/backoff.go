package target

import (
	"net/http"
	"strconv"
	"time"
)

// StartBackoff makes the target turn requests away with 503 and Retry-After until d
// has passed, or until it starts again.
func (t *Target) StartBackoff(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backoffUntil = time.Now().Add(d)
}

// setRetryAfter sets Retry-After to the rest of the backoff in whole seconds. It
// reports whether there is any.
func (t *Target) setRetryAfter(w http.ResponseWriter) bool {
	t.mu.Lock()
	rest := time.Until(t.backoffUntil)
	t.mu.Unlock()
	if rest <= 0 {
		return false
	}
	seconds := (rest + time.Second - 1) / time.Second
	w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	return true
}
