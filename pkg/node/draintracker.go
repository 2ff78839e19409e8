package node

import (
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/peer/target"
)

// drainTracker measures the drain of each leaving target: the time from the first
// report that it is leaving to the end of its last request in flight.
type drainTracker struct {
	mu sync.Mutex
	// started holds the start time of each drain in progress.
	started map[*target.Client]time.Time
	// recorded holds the targets whose drain has ended.
	recorded map[*target.Client]bool
	// record is called at the end of each drain.
	record func(name string, took time.Duration)
}

func newDrainTracker(record func(string, time.Duration)) *drainTracker {
	return &drainTracker{started: make(map[*target.Client]time.Time), recorded: make(map[*target.Client]bool), record: record}
}

// observe records whether c reported at now that it is leaving. A report that it is
// not leaving resets its drain.
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

// recordEnded calls record for each drain in progress whose target has no request
// in flight at now.
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

// retain removes all targets whose client is not in kept.
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
