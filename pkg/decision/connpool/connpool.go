// Package connpool decides which idle connection to a target carries the next request,
// and how long an idle connection may be kept. The package is pure; its types are not
// safe for concurrent use.
//
// A target may announce after how many seconds it closes an idle connection. Its
// connections are then reused for nearly that long. A request that must not run twice
// uses such a connection only on evidence that it is still open; see Evidence and Trust.
package connpool

import "time"

const (
	// announcedMargin is how long before the announced time a connection is given up. The
	// target counts from its last byte, which arrives later, and the request takes time to
	// arrive.
	announcedMargin = time.Second
	// marginDivisor bounds the margin to a part of the announced time.
	marginDivisor = 2
)

// Limits sets how long an idle connection may be reused.
type Limits struct {
	// MaxIdle is how long after its last response an idle connection may be reused if
	// the target announces no time.
	MaxIdle time.Duration
	// MaxIdleNonIdempotent is the limit for non-idempotent requests without an announced
	// time, or without evidence. If such a request is sent on a connection that has died,
	// its outcome stays unknown.
	MaxIdleNonIdempotent time.Duration
	// MaxAnnounced limits the idle time that a target's announcement allows. Zero means
	// that announcements are ignored. A positive value requires that idle connections
	// are probed, so that dead ones end by themselves.
	MaxAnnounced time.Duration
}

// DefaultLimits returns the limits that instances use by default.
func DefaultLimits() Limits {
	return Limits{MaxIdle: 2 * time.Second, MaxIdleNonIdempotent: 100 * time.Millisecond}
}

// Idle describes an idle connection.
type Idle struct {
	// Announced is the time after which the target closes it, or zero if unknown.
	Announced time.Duration
	// Trusted is set if there is no recent evidence that announcements don't hold.
	Trusted bool
	// Vouched is set if other connections show that it has not gone silent.
	Vouched bool
}

// MaxIdleOf returns how long the idle connection c may be reused for a request.
func (l Limits) MaxIdleOf(c Idle, nonIdempotent bool) time.Duration {
	short := l.MaxIdle
	if nonIdempotent {
		short = min(l.MaxIdle, l.MaxIdleNonIdempotent)
	}
	if !l.follows(c.Announced) {
		return short
	}
	long := min(c.Announced-min(announcedMargin, c.Announced/marginDivisor), l.MaxAnnounced)
	if c.Trusted && (c.Vouched || !nonIdempotent) {
		return long
	}
	return min(long, short)
}

// follows reports whether an announced idle time is in use.
func (l Limits) follows(announced time.Duration) bool { return l.MaxAnnounced > 0 && announced > 0 }

// Next returns which of n > 0 idle connections, in the order in which they became idle,
// is considered first. A non-idempotent request takes the one used last. Other requests,
// which may be repeated, take the one that has been idle for longest, if it follows a
// trusted announcement: that keeps more connections usable, and finds dead ones.
func (l Limits) Next(n int, longest Idle, nonIdempotent bool) int {
	if nonIdempotent || !longest.Trusted || !l.follows(longest.Announced) {
		return n - 1
	}
	return 0
}
