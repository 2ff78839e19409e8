package steer

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// replacedBy reports whether tg is another incarnation than the slot's.
func (s *slot) replacedBy(tg *table.Target) bool {
	known := s.incarnation.Load()
	return tg.Incarnation != "" && known != nil && *known != tg.Incarnation
}

// discovered takes in what discovery says of the target.
func (s *slot) discovered(c *Core, tg *table.Target) {
	if tg.Incarnation == "" {
		return
	}
	s.incarnation.CompareAndSwap(nil, &tg.Incarnation)
	if !tg.ColdUntil.IsZero() {
		s.coldTo.Store(max(s.coldTo.Load(), c.nanos(tg.ColdUntil)))
	}
}

// probed takes in what a probe has told about a target of direct dispatch.
func (s *slot) probed(now int64, rep *LoadReport) {
	if rep.ColdRemaining > 0 {
		s.coldTo.Store(max(s.coldTo.Load(), now+rep.ColdRemaining.Nanoseconds()))
	}
	if rep.Healthy {
		s.down.Store(false)
	}
}

// NeedsProbe reports whether the target's state is in doubt, so that a probe
// tells whether it may get work again. A probe takes the room of a request, so
// that a target which has asked for no requests is left alone.
func (c *Core) NeedsProbe(now time.Time, target string) bool {
	s, ok := c.state.Load().slots[target]
	return ok && s.down.Load() && !s.rest.active(c.nanos(now))
}

// learnDirect takes in how an attempt of direct dispatch has ended.
func (c *Core) learnDirect(now int64, d *Decision, res Result) {
	if d.route == nil {
		return
	}
	s := d.slot
	if res.Load != nil {
		// The target's count includes the request that has just ended.
		s.load.observe(now, res.Load.Running+res.Load.Waiting, int(s.inFlight.Load()))
	}
	switch res.Kind {
	case fault.KindNone:
		s.pace.attempted(res.Failed)
		c.learnTimes(now, d, max(res.Latency-d.distance, time.Millisecond))
	case fault.KindTargetFailed, fault.KindTargetShed, fault.KindTargetTimeout, fault.KindTargetLost, fault.KindTargetGarbage:
		s.pace.attempted(true)
	case fault.KindTargetRefused:
		s.pace.attempted(true)
		s.down.Store(true)
	}
}

// maxLearned bounds one observation of the work, as a multiple of the mean.
const maxLearned = 3

// learnTimes takes in the time of an answer. Work on an object that the target may
// not know says nothing of the target's pace.
func (c *Core) learnTimes(now int64, d *Decision, took time.Duration) {
	if !d.known {
		work := max(took-d.wait, time.Millisecond)
		d.route.cold.Observe(min(work, maxLearned*d.route.cold.Value(work)))
		return
	}
	want := d.route.warm.Value(took)
	d.slot.pace.observe(now, took, want)
	d.route.warm.Observe(min(took, maxLearned*want))
}
