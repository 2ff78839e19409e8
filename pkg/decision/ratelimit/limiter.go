package ratelimit

import (
	"sync/atomic"
	"time"
)

// Limiter bounds the requests of this instance to one target by the instance's share of
// the target's limit. The zero value is that of a target without a limit. It is safe for
// concurrent use. Times are in nanoseconds on the instance's monotonic scale.
type Limiter struct {
	share atomic.Pointer[Share]
	// heardAt is when any instance last received a response that announced the limit.
	heardAt atomic.Int64
	// nextAt is when the next request would be due if the requests so far had been
	// spaced by the interval. It is in the past once requests have been saved up.
	nextAt atomic.Int64
}

// Set puts a share in force. A sender keeps the requests that it has saved up under its last
// share, and starts without any: the request that brought the news, or the sender before it,
// has just used the target. The others have Share.SilentFor to wait.
func (l *Limiter) Set(now, heardAt int64, s Share) {
	l.heardAt.Store(heardAt)
	old := l.share.Load()
	if old != nil && *old == s {
		return
	}
	for next := l.nextAt.Load(); !l.nextAt.CompareAndSwap(next, s.nextAfter(old, now, next)); {
		next = l.nextAt.Load()
	}
	l.share.Store(&s)
}

// nextAfter returns nextAt under s at now if it was next under the share old, which is nil
// without one.
func (s *Share) nextAfter(old *Share, now, next int64) int64 {
	if s.SilentFor > 0 {
		return min(next, now+int64(s.Burst)*s.Interval.Nanoseconds())
	}
	missing := float64(s.Burst) - min(old.saved(now, next), float64(s.Burst))
	return now + int64(missing*float64(s.Interval))
}

// saved returns how many requests a sender has saved up under s at now.
func (s *Share) saved(now, next int64) float64 {
	if s == nil || s.SilentFor > 0 {
		return 0
	}
	burst := float64(s.Burst)
	return min(burst, max(0, burst-float64(next-now)/float64(s.Interval)))
}

// Clear ends the limit.
func (l *Limiter) Clear() { l.share.Store(nil) }

// PerSecond returns the target's limit in requests per second, and false without one.
func (l *Limiter) PerSecond() (perSecond float64, limited bool) {
	if s := l.share.Load(); s != nil {
		return s.PerSecond, true
	}
	return 0, false
}

// Allows reports whether a request may be sent at now.
func (l *Limiter) Allows(now int64) bool {
	s := l.share.Load()
	return s == nil || l.ownWait(s, now, l.nextAt.Load()) == 0
}

// Claim counts a request at now if it may be sent, and reports whether it may.
func (l *Limiter) Claim(now int64) bool {
	s := l.share.Load()
	if s == nil {
		return true
	}
	next := l.nextAt.Load()
	return l.ownWait(s, now, next) == 0 && l.nextAt.CompareAndSwap(next, max(now, next)+s.Interval.Nanoseconds())
}

// Wait returns the time from now until the target takes another request: from this
// instance if it is a sender, otherwise from one of the senders.
func (l *Limiter) Wait(now int64) time.Duration {
	s := l.share.Load()
	if s == nil {
		return 0
	}
	wait := l.ownWait(s, now, l.nextAt.Load())
	if wait > 0 && s.SilentFor > 0 {
		return s.SenderInterval
	}
	return wait
}

// ownWait returns the time from now until this instance may send a request under s.
func (l *Limiter) ownWait(s *Share, now, next int64) time.Duration {
	wait := time.Duration(next-now) - time.Duration(s.Burst-1)*s.Interval
	if s.SilentFor > 0 {
		wait = max(wait, s.SilentFor-time.Duration(now-l.heardAt.Load()))
	}
	return max(0, wait)
}
