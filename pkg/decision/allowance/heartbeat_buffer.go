package allowance

import (
	"sort"
	"time"
)

// HeartbeatBuffer keeps the newest heartbeat of each holder for the writer of
// the row. It is not safe for concurrent use.
type HeartbeatBuffer struct {
	timing Timing
	newest map[HolderKey]receivedHeartbeat
}

type receivedHeartbeat struct {
	Heartbeat
	receivedAt time.Time
}

// NewHeartbeatBuffer returns an empty buffer.
func NewHeartbeatBuffer(timing Timing) *HeartbeatBuffer {
	return &HeartbeatBuffer{timing: timing, newest: map[HolderKey]receivedHeartbeat{}}
}

// Add stores a heartbeat that was received at now. A heartbeat that is not
// newer than the stored one is ignored.
func (b *HeartbeatBuffer) Add(now time.Time, hb Heartbeat) {
	if hb.Number > b.newest[hb.HolderKey].Number {
		b.newest[hb.HolderKey] = receivedHeartbeat{Heartbeat: hb, receivedAt: now}
	}
}

// Recent returns the heartbeats received within the last half lease, sorted
// by key. It drops all others, so that a holder that no longer sends
// heartbeats is not added to the row again.
func (b *HeartbeatBuffer) Recent(now time.Time) []Heartbeat {
	hbs := make([]Heartbeat, 0, len(b.newest))
	for k, r := range b.newest {
		if now.Sub(r.receivedAt) >= b.timing.Lease/2 {
			delete(b.newest, k)
			continue
		}
		hbs = append(hbs, r.Heartbeat)
	}
	sort.Slice(hbs, func(i, j int) bool { return hbs[i].Less(hbs[j].HolderKey) })
	return hbs
}

// Remove drops the heartbeat of k, whose shares were reclaimed.
func (b *HeartbeatBuffer) Remove(k HolderKey) { delete(b.newest, k) }
