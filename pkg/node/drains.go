package node

import (
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/peer/target"
)

// drains measures, for each leaving target, the time from the first sign to
// the end of the last request in flight.
type drains struct {
	mu     sync.Mutex
	open   map[*target.Client]time.Time
	ended  map[*target.Client]bool
	record func(name string, took time.Duration)
}

func newDrains(record func(string, time.Duration)) *drains {
	return &drains{open: make(map[*target.Client]time.Time), ended: make(map[*target.Client]bool), record: record}
}

// observe takes in whether c says at now that it is leaving.
func (d *drains) observe(now time.Time, c *target.Client, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !leaving {
		delete(d.open, c)
		delete(d.ended, c)
		return
	}
	if _, ok := d.open[c]; !ok && !d.ended[c] {
		d.open[c] = now
	}
}

// sweep records the drains that have ended by now.
func (d *drains) sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c, since := range d.open {
		if c.InFlight() == 0 {
			delete(d.open, c)
			d.ended[c] = true
			d.record(c.Name(), now.Sub(since))
		}
	}
}

// forget drops the targets that are no longer served.
func (d *drains) forget(kept map[string]*target.Client) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.open {
		if kept[c.Name()] != c {
			delete(d.open, c)
		}
	}
	for c := range d.ended {
		if kept[c.Name()] != c {
			delete(d.ended, c)
		}
	}
}
