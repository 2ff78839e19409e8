package target

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/ratelimit"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// DefaultMaxRetryAfter is the default of Options.MaxRetryAfter.
const DefaultMaxRetryAfter = 10 * time.Minute

// Notice is what a target reports about itself with a response, apart from its load.
type Notice struct {
	// Leaving is true when the target reports that it is leaving.
	Leaving bool
	// RetryAfter is how long the target asks this instance to send no requests,
	// capped at Options.MaxRetryAfter; zero if it doesn't ask.
	RetryAfter time.Duration
	// MalformedRetryAfter is the text of a Retry-After header field that is not a
	// number of seconds. Such a field is otherwise ignored.
	MalformedRetryAfter string
	// RateLimit is the rate limit that the response announces. Its state is unknown if
	// the header field is malformed, or has no meaning on the platform.
	RateLimit ratelimit.Notice
	// MalformedRateLimit is the text of a malformed rate limit.
	MalformedRateLimit string
}

// parseNotice returns the notice in the header of a response from the target.
// Retry-After is read only from 503 responses.
func (c *Client) parseNotice(status int, h http.Header) Notice {
	n := Notice{Leaving: parseLeaving(h, &c.dialect)}
	n.RateLimit, n.MalformedRateLimit = parseRateLimit(status, h, &c.dialect)
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

// parseLeaving reports whether a response header marks its target as leaving.
func parseLeaving(h http.Header, d *wire.Dialect) bool {
	if d.Leaving == "" {
		return false
	}
	leaving, err := strconv.ParseBool(h.Get(d.Leaving))
	return err == nil && leaving
}

// parseRateLimit returns the rate limit that a response header announces, or the text
// of a malformed one. Only a success shows that there is no limit: other responses may
// come from something between the instance and the target.
func parseRateLimit(status int, h http.Header, d *wire.Dialect) (n ratelimit.Notice, malformed string) {
	text := h.Get(d.RateLimit)
	if d.RateLimit == "" || text == "" && status >= http.StatusMultipleChoices {
		return ratelimit.Notice{}, ""
	}
	n, ok := ratelimit.Parse(text)
	if !ok {
		return n, text
	}
	return n, ""
}

// parseRetryAfter parses a number of seconds, which may have a fraction. It returns
// false for a negative number and for anything else, such as a date.
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
