// Package holding decides who may hold how many bytes of responses that their callers have
// not read yet. It does no I/O, and is not safe for concurrent use.
//
// An owner that holds something may take more while what it then holds is at most half of
// what is then free. So one owner holds at most a third of the limit, ten owners that take
// all they can leave room for those that hold nothing, and whoever holds more than its part
// gets nothing until others have had theirs.
package holding

import "slices"

// Ticket identifies a request that waits for room. Zero is none.
type Ticket uint64

// Ledger records who holds how many bytes. Its limit is in bytes.
type Ledger struct {
	limit, held int64
	owners      map[string]int64
	// waiting holds the requests that wait, in the order of their arrival.
	waiting []request
	last    Ticket
}

// request is a request of an owner for bytes.
type request struct {
	ticket Ticket
	owner  string
	bytes  int64
}

// New returns a Ledger of limit bytes.
func New(limit int64) *Ledger { return &Ledger{limit: limit, owners: map[string]int64{}} }

// Take takes bytes for an owner, or returns false if it may not have them now.
func (l *Ledger) Take(owner string, bytes int64) bool {
	if !l.mayTake(owner, bytes) {
		return false
	}
	l.held += bytes
	l.owners[owner] += bytes
	return true
}

// freePerHeld is how many bytes must be free for each byte that an owner with more than one
// part holds.
const freePerHeld = 2

// mayTake reports whether an owner may have bytes more now.
func (l *Ledger) mayTake(owner string, bytes int64) bool {
	free, own := l.limit-l.held-bytes, l.owners[owner]
	return free >= 0 && (own == 0 || freePerHeld*(own+bytes) <= free)
}

// Wait registers a request of an owner for bytes. Return grants it once there is room.
func (l *Ledger) Wait(owner string, bytes int64) Ticket {
	l.last++
	l.waiting = append(l.waiting, request{l.last, owner, bytes})
	return l.last
}

// Cancel ends a request. It returns false if the request has been granted, or is not known.
func (l *Ledger) Cancel(t Ticket) bool {
	before := len(l.waiting)
	l.waiting = slices.DeleteFunc(l.waiting, func(r request) bool { return r.ticket == t })
	return len(l.waiting) < before
}

// Return returns bytes of an owner, and takes those of the waiting requests that have room
// now, the longest-waiting first. It returns their tickets.
func (l *Ledger) Return(owner string, bytes int64) (granted []Ticket) {
	l.held -= bytes
	l.owners[owner] -= bytes
	if l.owners[owner] == 0 {
		delete(l.owners, owner)
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(r request) bool {
		taken := l.Take(r.owner, r.bytes)
		if taken {
			granted = append(granted, r.ticket)
		}
		return taken
	})
	return granted
}

// Held returns the bytes that are held.
func (l *Ledger) Held() int64 { return l.held }

// Waiting returns the number of requests that wait for room.
func (l *Ledger) Waiting() int { return len(l.waiting) }
