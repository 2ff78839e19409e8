package connpool

import "time"

const (
	// distrustPeriod is how long announced idle times are not relied on after evidence
	// against them.
	distrustPeriod = 10 * time.Second
	// bucketWidth and numBuckets are the resolution and the number of the periods for
	// which responses are remembered. They bound the time in which a silence of all
	// connections goes unnoticed.
	bucketWidth = 50 * time.Millisecond
	numBuckets  = 5
	// maxPromptLoss is how long a request waits at most for the reset of a connection
	// that the target no longer knows.
	maxPromptLoss = 200 * time.Millisecond
	// Losses at generalLosses targets within generalPeriod show that connections to all
	// targets are affected: something between forgets them, or has gone silent. Until
	// that is known, one loss counts for all targets during generalPeriod.
	generalLosses = 3
	generalPeriod = 2 * time.Second
)

// Evidence is what an instance has seen on all its connections that follow an announced
// idle time. The zero value has seen nothing.
type Evidence struct {
	buckets [numBuckets]bucket
	trust   Trust
	// losses are the times of the last losses at different targets, oldest first.
	losses [generalLosses]time.Time
}

// bucket holds the connections that responded in one period.
type bucket struct {
	// period numbers the periods of bucketWidth.
	period int64
	// opened is when the oldest of these connections was opened.
	opened time.Time
}

func periodOf(t time.Time) int64 { return t.UnixNano() / int64(bucketWidth) }

// RecordResponse records that a response arrived at now on a connection that was opened
// at opened.
func (e *Evidence) RecordResponse(now, opened time.Time) {
	period := periodOf(now)
	b := &e.buckets[period%numBuckets]
	if b.period != period || opened.Before(b.opened) {
		*b = bucket{period: period, opened: opened}
	}
}

// Vouches reports whether a connection that was already open at idleSince has responded
// just before now. If all open connections had gone silent since then, it would not have.
func (e *Evidence) Vouches(now, idleSince time.Time) bool {
	period := periodOf(now)
	for _, b := range e.buckets {
		if b.period <= period && period-b.period < numBuckets && !b.opened.After(idleSince) {
			return true
		}
	}
	return false
}

// Loss describes an exchange that failed without a byte of the response.
type Loss struct {
	// Idle is how long the connection had been idle before.
	Idle time.Duration
	// Waited is the time from the request to the failure.
	Waited time.Duration
	// ProbesUnanswered is set if the connection failed because its peer stopped
	// acknowledging.
	ProbesUnanswered bool
}

// RecordLoss records a loss at now at a target with the given trust. If the connection was
// dead before the request, announcements of the target are not relied on for a while,
// and those of other targets for a short time; after such losses at several targets,
// those of no target are relied on for a while.
func (e *Evidence) RecordLoss(now time.Time, limits Limits, target *Trust, loss Loss) {
	if loss.Idle < limits.MaxIdleNonIdempotent || loss.Waited > maxPromptLoss && !loss.ProbesUnanswered {
		return
	}
	counted := !target.Trusted(now)
	target.withdraw(now, distrustPeriod)
	if counted {
		return
	}
	e.trust.withdraw(now, generalPeriod)
	copy(e.losses[:], e.losses[1:])
	e.losses[generalLosses-1] = now
	if now.Sub(e.losses[0]) < generalPeriod {
		e.trust.withdraw(now, distrustPeriod)
	}
}

// Trusted reports whether announced idle times can be relied on at now.
func (e *Evidence) Trusted(now time.Time) bool { return e.trust.Trusted(now) }

// Trust is whether the announcements of one target can be relied on. The zero value is
// trusted.
type Trust struct{ distrustedUntil time.Time }

// RecordClose records that the target was found at now to have closed a connection that
// it had allowed to be idle for allowed, after at most idle.
func (t *Trust) RecordClose(now time.Time, idle, allowed time.Duration) {
	if idle < allowed {
		t.withdraw(now, distrustPeriod)
	}
}

func (t *Trust) withdraw(now time.Time, period time.Duration) {
	if until := now.Add(period); until.After(t.distrustedUntil) {
		t.distrustedUntil = until
	}
}

// Trusted reports whether announcements can be relied on at now.
func (t *Trust) Trusted(now time.Time) bool { return !now.Before(t.distrustedUntil) }
