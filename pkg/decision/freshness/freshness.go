// Package freshness tracks up to which time an instance has all that the platform's
// store has accepted, and decides which instances of a cell read the store's feeds.
//
// One instance of a cell, the first in rank order, reads the feeds. Whoever reads
// proves with each answer of the store how recent its copy is, and the others learn
// that with its messages. An instance that has had no proof for its takeover time
// reads itself: the missing proof counts, not an error, because a reader that the
// store no longer answers may not notice for seconds. The package does no I/O, and
// the time is always an argument.
package freshness

import "time"

const (
	// ConfirmInterval is the time between two proofs of an idle reader: the store
	// holds a read of the feed for that long when there are no changes.
	ConfirmInterval = 500 * time.Millisecond
	// Candidates is the number of instances, in rank order, to which a reader sends
	// its proofs directly, and which take over from it.
	Candidates = 6
	// firstTakeover is the age of the last proof at which the second instance in rank
	// order begins to read. One lost proof does not reach it.
	firstTakeover = 1100 * time.Millisecond
	// takeoverStep is added for each further candidate, so that a candidate that is
	// up to date is heard before the next one reads too.
	takeoverStep = 150 * time.Millisecond
	// lastTakeover is the age at which the other instances read. They receive proofs
	// with the heartbeats only.
	lastTakeover = 2500 * time.Millisecond
)

// Tracker records how recent one instance's copy of the feeds is. It is not safe for
// concurrent use.
type Tracker struct {
	// readAt and peerAt are the times up to which the copy is complete, as proven by
	// an own read and by another instance.
	readAt time.Time
	peerAt time.Time
	// seniorAt is peerAt as proven by readers of a lower position than this instance.
	seniorAt time.Time
	// otherReadAt is peerAt where it was later than readAt: the other instance has not
	// learnt it from this one.
	otherReadAt time.Time
}

// RecordRead records that an own read has proven the copy complete up to a time.
func (t *Tracker) RecordRead(at time.Time) { t.readAt = later(t.readAt, at) }

// RecordPeer records that another instance, all of whose entries are known here, has a
// copy that is complete up to a time.
func (t *Tracker) RecordPeer(at time.Time) {
	t.peerAt = later(t.peerAt, at)
	if at.After(t.readAt) {
		t.otherReadAt = later(t.otherReadAt, at)
	}
}

// RecordSenior is RecordPeer for a reader of a lower position.
func (t *Tracker) RecordSenior(at time.Time) {
	t.RecordPeer(at)
	t.seniorAt = later(t.seniorAt, at)
}

// CompleteAt returns the time up to which the copy is complete; zero if that is not
// known.
func (t *Tracker) CompleteAt() time.Time { return later(t.readAt, t.peerAt) }

// HasPeer reports whether another instance has ever proven this one's copy complete.
func (t *Tracker) HasPeer() bool { return !t.peerAt.IsZero() }

// Role is an instance's part in reading the feeds.
type Role struct {
	// Position is the instance's position in the rank order of its cell, or -1.
	Position int
	// TookOver is set while the instance reads the feeds because the instances before it
	// had no proof.
	TookOver bool
	// Allowance is added to the takeover time of instances that are no candidates, for
	// the delay of their heartbeats.
	Allowance time.Duration
}

// ShouldRead reports whether an instance with the role r reads the feeds at now. One that
// has taken over and whose own reads succeed goes on until a reader of a lower position
// proves to be up to date. An instance that is no candidate also stops when anyone proves
// to have read by itself: a reader that it cannot reach sends it no proofs. One whose reads
// fail stops when anyone is up to date.
func (t *Tracker) ShouldRead(now time.Time, r Role) bool {
	switch {
	case r.Position == 0:
		return true
	case !r.TookOver || now.Sub(t.readAt) > firstTakeover:
		return now.Sub(t.peerAt) > r.takeover()
	case r.IsCandidate():
		return now.Sub(t.seniorAt) > firstTakeover
	}
	return now.Sub(t.seniorAt) > firstTakeover && now.Sub(t.otherReadAt) > r.takeover()
}

// NextCheck returns the time until ShouldRead may become true for an instance that
// does not read, if no further proof arrives.
func (t *Tracker) NextCheck(now time.Time, r Role) time.Duration {
	return r.takeover() - now.Sub(t.peerAt)
}

// takeover returns the age of the last proof beyond which an instance reads.
func (r Role) takeover() time.Duration {
	if r.IsCandidate() {
		return firstTakeover + time.Duration(r.Position-1)*takeoverStep
	}
	return lastTakeover + r.Allowance
}

// IsCandidate reports whether the instance receives the proofs of a reader directly.
func (r Role) IsCandidate() bool { return r.Position >= 0 && r.Position < Candidates }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
