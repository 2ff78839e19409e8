package telemetry

import (
	"sync"
	"time"
)

// IntervalLimiter limits log lines of one kind to one per interval and counts those
// left out.
type IntervalLimiter struct {
	interval time.Duration

	mu      sync.Mutex
	last    time.Time
	omitted int
}

// NewIntervalLimiter returns a limiter that allows one line per interval.
func NewIntervalLimiter(interval time.Duration) *IntervalLimiter {
	return &IntervalLimiter{interval: interval}
}

// Allow reports whether a line may be logged at now. If so, it also returns how many
// were left out since the last one.
func (l *IntervalLimiter) Allow(now time.Time) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.last.IsZero() && now.Sub(l.last) < l.interval {
		l.omitted++
		return 0, false
	}
	omitted = l.omitted
	l.last, l.omitted = now, 0
	return omitted, true
}
