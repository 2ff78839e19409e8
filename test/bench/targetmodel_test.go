package bench

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// target simulates a target with a fixed number of slots and a FIFO queue, in which
// requests fail after their deadline.
type target struct {
	config   table.Target
	pool     string
	region   string
	running  int
	waiting  []*call
	down     bool
	leaving  bool
	slowdown float64
	// lastSent is when an instance last sent the target a request, drainedAt when
	// a leaving target finished its last one.
	lastSent  time.Duration
	drainedAt time.Duration
}

// dispatch sends c from n to the named target and calls done with the result when it
// arrives at n.
func (sim *simulation) dispatch(n *node, name string, c *call, done func(fault.Kind)) {
	t := sim.targets[name]
	d := sim.delay(n.self.Zone, n.self.Region, t.config.Zone, t.region)
	sim.measured.recordDispatch(sim, t, c)
	t.lastSent = sim.now
	respond := func(k fault.Kind) {
		sim.measured.recordReturn(sim, t)
		sim.after(d, func() { done(k) })
	}
	sim.after(d, func() { t.accept(sim, c, respond) })
}

// accept starts c, or queues it if no slot is free.
func (t *target) accept(sim *simulation, c *call, respond func(fault.Kind)) {
	if t.down {
		respond(fault.KindTargetRefused)
		return
	}
	attempt := *c
	attempt.respond = respond
	if t.running >= t.config.Slots {
		t.waiting = append(t.waiting, &attempt)
		return
	}
	t.start(sim, &attempt)
}

// start runs c in a slot. When c ends, queued requests start in the free slots;
// those past their deadline fail.
func (t *target) start(sim *simulation, c *call) {
	t.running++
	if c.poison {
		t.down = true
		sim.measured.poisonedTargets++
	}
	serviceTime := time.Duration(sim.rng.ExpFloat64() * float64(sim.svc.meanServiceTime) * t.slowdown)
	sim.after(serviceTime, func() {
		t.running--
		if t.leaving && t.running == 0 && len(t.waiting) == 0 {
			t.drainedAt = sim.now
		}
		switch {
		case t.down:
			c.respond(fault.KindTargetLost)
		default:
			c.respond(fault.KindNone)
		}
		for len(t.waiting) > 0 && t.running < t.config.Slots {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			if sim.clock().Before(next.req.Deadline) && !t.down {
				t.start(sim, next)
			} else {
				next.respond(fault.KindTargetTimeout)
			}
		}
	})
}
