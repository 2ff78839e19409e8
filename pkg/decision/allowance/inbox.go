package allowance

import (
	"sort"
	"time"
)

// Inbox keeps the newest heartbeat of each holder for the writer of the row.
// It is not safe for concurrent use.
type Inbox struct {
	timing Timing
	newest map[Key]received
}

type received struct {
	Heartbeat
	at time.Time
}

// NewInbox returns an empty inbox.
func NewInbox(timing Timing) *Inbox {
	return &Inbox{timing: timing, newest: map[Key]received{}}
}

// Observe takes in a heartbeat that arrived at now. Older ones are ignored.
func (b *Inbox) Observe(now time.Time, hb Heartbeat) {
	if hb.Number > b.newest[hb.Key].Number {
		b.newest[hb.Key] = received{Heartbeat: hb, at: now}
	}
}

// Fresh returns the heartbeats that arrived lately, by key. Others are
// forgotten, so that a holder that is silent is not entered into the row again.
func (b *Inbox) Fresh(now time.Time) []Heartbeat {
	hbs := make([]Heartbeat, 0, len(b.newest))
	for k, r := range b.newest {
		if now.Sub(r.at) >= b.timing.Lease/2 {
			delete(b.newest, k)
			continue
		}
		hbs = append(hbs, r.Heartbeat)
	}
	sort.Slice(hbs, func(i, j int) bool { return hbs[i].Less(hbs[j].Key) })
	return hbs
}

// Forget drops the heartbeat of k, whose shares were reclaimed.
func (b *Inbox) Forget(k Key) { delete(b.newest, k) }
