package quota

import (
	"time"
)

// link is an instance's session with an owner.
type link struct {
	owner string
	epoch uint64
	// seen is the last answered ask.
	seen     uint64
	answers  int
	inFlight *Ask
	sentAt   time.Time // of the last ask
	// validFrom is when the last answered ask was sent; zero before the first.
	validFrom time.Time
	usedAt    time.Time // last request for a workspace of the owner
	// failures is the number of asks without an answer since the last answer.
	failures int
	// closing is set once the owner has been told that the session ends.
	closing bool
}

// use records a request for a workspace of the owner. A session that is being closed is
// begun anew: the owner may count the instance as idle already, so that it has no part.
func (l *link) use(now time.Time) {
	l.usedAt = now
	if l.closing && l.inFlight == nil {
		l.closing, l.validFrom, l.answers = false, time.Time{}, 0
	}
}

// valid reports whether the tokens of the session may be used.
func (l *link) valid(now time.Time) bool {
	return !l.validFrom.IsZero() && now.Sub(l.validFrom) < lease
}

// usesPart reports whether the instance uses its own parts instead of tokens of the owner.
func (l *link) usesPart(now time.Time) bool {
	return !l.validFrom.IsZero() && !l.closing && now.Sub(l.validFrom) >= partAfter
}

// fail records that the ask in flight was not answered.
func (l *link) fail() {
	l.inFlight = nil
	l.failures++
}
