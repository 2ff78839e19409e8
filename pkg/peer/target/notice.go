package target

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// DefaultMaxRetryAfter is the longest time for which a target may ask for no
// requests, unless Options says otherwise.
const DefaultMaxRetryAfter = 10 * time.Minute

// Notice is what a target says of itself with an answer, beside its load.
type Notice struct {
	// Leaving is true when the target says that it is leaving.
	Leaving bool
	// RetryAfter is how long the target wants nothing from this instance, at most
	// the bound of the Options; zero without such a wish.
	RetryAfter time.Duration
	// MalformedRetryAfter is the Retry-After field when it holds no time in seconds. Such a
	// field counts as none.
	MalformedRetryAfter string
}

// parseNotice reads what an answer that is the target's says beside the load.
func (c *Client) parseNotice(status int, h http.Header) Notice {
	n := Notice{Leaving: parseLeaving(h, &c.dialect)}
	text := h.Get("Retry-After")
	if status != http.StatusServiceUnavailable || text == "" {
		return n
	}
	d, ok := parseRetryAfter(text)
	if !ok {
		n.MalformedRetryAfter = text
		return n
	}
	n.RetryAfter = min(d, c.maxRetryAfter)
	return n
}

// parseLeaving reports whether a header says that its target is leaving.
func parseLeaving(h http.Header, d *wire.Dialect) bool {
	if d.Leaving == "" {
		return false
	}
	leaving, err := strconv.ParseBool(h.Get(d.Leaving))
	return err == nil && leaving
}

// parseRetryAfter reads a time in seconds, which may have a fraction. It is false for
// a negative number, and for what is no number, such as a date.
func parseRetryAfter(text string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, false
	}
	if seconds >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}
