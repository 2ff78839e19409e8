// Package conngen decides which open connections to one address may be reused.
// Connections can stall permanently while new connections to the same address
// work. The package is pure. A Tracker is not safe for concurrent use.
//
// Connections are grouped in numbered generations. A stalled request makes the
// generation of its connection suspect and starts the next generation. When a
// connection of a newer generation gets a response while the stall lasts, the
// suspect generations are retired: their connections finish the requests in flight
// and are not reused.
package conngen

import "time"

// Generation numbers groups of connections that were opened between two stalls,
// from 1.
type Generation uint64

// Limits sets when a connection counts as stalled.
type Limits struct {
	// StallTimeout is how long a request waits for the first byte of its response
	// before its connection counts as stalled.
	StallTimeout time.Duration
}

// DefaultLimits returns the limits that instances use by default.
func DefaultLimits() Limits {
	return Limits{StallTimeout: 500 * time.Millisecond}
}

// Tracker tracks the generations of connections to one address. Use New to create
// one; the zero value is not usable.
type Tracker struct {
	limits Limits
	// current is the generation of new connections.
	current Generation
	// retired is the newest retired generation; all older ones are retired too.
	retired Generation
	// suspects holds the stalled requests of each suspect generation.
	suspects map[Generation]*stalls
}

// stalls counts the stalled requests of one generation.
type stalls struct {
	// waiting counts the requests that may still get a response.
	waiting int
	// unanswered counts the requests that ended without one.
	unanswered int
}

// New returns a Tracker with the given limits and no suspect generation.
func New(limits Limits) *Tracker {
	return &Tracker{limits: limits, current: 1, suspects: make(map[Generation]*stalls)}
}

// Current returns the generation of connections that are opened now.
func (t *Tracker) Current() Generation { return t.current }

// IsStalled reports whether a connection counts as stalled whose request has waited
// for the given time without receiving the first byte of its response.
func (t *Tracker) IsStalled(waited time.Duration) bool { return waited >= t.limits.StallTimeout }

// RecordStall records that a request on a connection of generation g has stalled. It
// makes g suspect.
func (t *Tracker) RecordStall(g Generation) {
	if g <= t.retired {
		return
	}
	s := t.suspects[g]
	if s == nil {
		s = &stalls{}
		t.suspects[g] = s
	}
	s.waiting++
	t.current = max(t.current, g+1)
}

// RecordResumed records that the response to a stalled request on generation g has
// started. g is no longer suspect if all its stalled requests have resumed.
func (t *Tracker) RecordResumed(g Generation) {
	s := t.suspects[g]
	if s == nil {
		return
	}
	s.waiting--
	if s.waiting <= 0 && s.unanswered == 0 {
		delete(t.suspects, g)
	}
}

// RecordUnanswered records that a stalled request on generation g has ended without a
// response. g stays suspect until a newer connection gets a response.
func (t *Tracker) RecordUnanswered(g Generation) {
	if s := t.suspects[g]; s != nil {
		s.waiting--
		s.unanswered++
	}
}

// RecordResponse records a response on a connection of generation g. It retires the
// suspect generations older than g.
func (t *Tracker) RecordResponse(g Generation) {
	for suspect := range t.suspects {
		if suspect < g {
			t.retired = max(t.retired, suspect)
		}
	}
	for suspect := range t.suspects {
		if suspect <= t.retired {
			delete(t.suspects, suspect)
		}
	}
}

// IsRetired reports whether connections of generation g must not be reused.
func (t *Tracker) IsRetired(g Generation) bool { return g <= t.retired }

// IsSuspect reports whether connections of generation g may have gone silent: g is
// retired, or it or a newer generation is suspect.
func (t *Tracker) IsSuspect(g Generation) bool {
	if g <= t.retired {
		return true
	}
	for suspect := range t.suspects {
		if g <= suspect {
			return true
		}
	}
	return false
}
