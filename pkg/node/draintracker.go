package node

import (
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/peer/target"
)

// drainTracker measures, for each leaving target, the time from the first sign to
// the end of the last request in flight.
type drainTracker struct {
	mu       sync.Mutex
	started  map[*target.Client]time.Time
	recorded map[*target.Client]bool
	record   func(name string, took time.Duration)
}

func newDrainTracker(record func(string, time.Duration)) *drainTracker {
	return &drainTracker{started: make(map[*target.Client]time.Time), recorded: make(map[*target.Client]bool), record: record}
}

// observe takes in whether c says at now that it is leaving.
func (d *drainTracker) observe(now time.Time, c *target.Client, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !leaving {
		delete(d.started, c)
		delete(d.recorded, c)
		return
	}
	if _, ok := d.started[c]; !ok && !d.recorded[c] {
		d.started[c] = now
	}
}

// recordEnded records the drains that have ended by now.
func (d *drainTracker) recordEnded(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c, since := range d.started {
		if c.InFlight() == 0 {
			delete(d.started, c)
			d.recorded[c] = true
			d.record(c.Name(), now.Sub(since))
		}
	}
}

// retain drops the targets that are no longer served.
func (d *drainTracker) retain(kept map[string]*target.Client) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.started {
		if kept[c.Name()] != c {
			delete(d.started, c)
		}
	}
	for c := range d.recorded {
		if kept[c.Name()] != c {
			delete(d.recorded, c)
		}
	}
}
