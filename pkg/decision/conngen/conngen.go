// Package conngen decides which open connections to one address may be used,
// given that connections can go silent for good while new ones work. It is
// pure: one goroutine at a time may use a Tracker.
//
// Connections are numbered by generation. A silence makes the present
// generation suspect and starts the next one. When a connection of a newer
// generation answers while the silence lasts, the suspect generations are
// retired: their connections finish what they carry and are not used again.
package conngen

import "time"

// Generation numbers the connections opened between two silences, from 1.
type Generation uint64

// Limits sets when a connection is doubted.
type Limits struct {
	// StallTimeout is how long a request waits for the first byte of its answer
	// before its connection counts as silent.
	StallTimeout time.Duration
	// MaxIdle is how long after its last answer an idle connection is used
	// without doubt. Later it is replaced by a new one.
	MaxIdle time.Duration
	// MaxIdleNonIdempotent is the same for requests that must not run twice: the
	// outcome of one that is sent into a silence stays unknown.
	MaxIdleNonIdempotent time.Duration
}

// DefaultLimits returns the limits of an instance.
func DefaultLimits() Limits {
	return Limits{StallTimeout: 500 * time.Millisecond, MaxIdle: 2 * time.Second, MaxIdleNonIdempotent: 100 * time.Millisecond}
}

// Tracker follows the generations of one address. The zero value is not
// usable; call New.
type Tracker struct {
	limits Limits
	// current is given to new connections.
	current Generation
	// retired is the last generation given up.
	retired Generation
	// doubted has the silent requests of each generation in doubt.
	doubted map[Generation]*silences
}

// silences counts the requests noted as silent on one generation.
type silences struct {
	// waiting requests may still be answered; ended ones were not.
	waiting int
	ended   int
}

// New returns a Tracker.
func New(l Limits) *Tracker {
	return &Tracker{limits: l, current: 1, doubted: make(map[Generation]*silences)}
}

// Current returns the generation of a connection that is being opened.
func (t *Tracker) Current() Generation { return t.current }

// IsStalled reports whether a request that was sent waited time ago and has no
// byte of its answer makes its connection count as silent.
func (t *Tracker) IsStalled(waited time.Duration) bool { return waited >= t.limits.StallTimeout }

// RecordStall notes that a request on a connection of generation g waits in silence.
func (t *Tracker) RecordStall(g Generation) {
	if g <= t.retired {
		return
	}
	s := t.doubted[g]
	if s == nil {
		s = &silences{}
		t.doubted[g] = s
	}
	s.waiting++
	t.current = max(t.current, g+1)
}

// RecordResumed notes that the answer to a request noted as silent on generation g
// has begun after all.
func (t *Tracker) RecordResumed(g Generation) {
	s := t.doubted[g]
	if s == nil {
		return
	}
	s.waiting--
	if s.waiting <= 0 && s.ended == 0 {
		delete(t.doubted, g)
	}
}

// RecordUnanswered notes that a request noted as silent on generation g has ended without
// an answer. The doubt stays until a newer connection answers.
func (t *Tracker) RecordUnanswered(g Generation) {
	if s := t.doubted[g]; s != nil {
		s.waiting--
		s.ended++
	}
}

// RecordResponse notes an answer on a connection of generation g. It retires the
// older generations in doubt.
func (t *Tracker) RecordResponse(g Generation) {
	for d := range t.doubted {
		if d < g {
			t.retired = max(t.retired, d)
		}
	}
	for d := range t.doubted {
		if d <= t.retired {
			delete(t.doubted, d)
		}
	}
}

// IsRetired reports whether connections of generation g must not be used again.
func (t *Tracker) IsRetired(g Generation) bool { return g <= t.retired }

// Usable reports whether an idle connection of generation g, whose last
// answer came idle time ago, may carry another request. once says that the
// request must not run twice.
func (t *Tracker) Usable(g Generation, idle time.Duration, once bool) bool {
	if once && idle >= t.limits.MaxIdleNonIdempotent {
		return false
	}
	if g <= t.retired || idle >= t.limits.MaxIdle {
		return false
	}
	for d := range t.doubted {
		if g <= d {
			return false
		}
	}
	return true
}
