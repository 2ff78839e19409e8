package steer

import (
	"math"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/shift"
)

// guard bounds the growth of what this instance admits to a pool.
type guard struct {
	*shift.GrowthLimiter
	window time.Duration
	// growth is the cap as a part of the pool's planned share.
	growth float64
}

// guardFor keeps the guard in step with the planned share of a route that the
// pool has. Of several routes the one with the largest share counts.
func (p *pool) guardFor(now int64, share float64) {
	shiftCap, window := p.capOf()
	next := &guard{window: window, growth: math.Inf(1)}
	if share > 0 {
		next.growth = shiftCap / share
	}
	if old := p.guard.Load(); old != nil && old.window == window {
		next.GrowthLimiter = old.GrowthLimiter
	} else {
		next.GrowthLimiter = shift.NewGrowthLimiter(window, now)
	}
	p.guard.Store(next)
}

// admit counts one request to the pool's targets here, and reports whether the
// pool may take it.
func (p *pool) admit(now int64) bool {
	g := p.guard.Load()
	return g == nil || g.Admit(now, g.growth*p.heardShare(), shift.RegionReports{Overdue: p.suspect.Load(), OldestReceived: p.heard.Load()})
}

// heardShare returns the planned share of the pools whose regions are heard.
// The pool's own share may grow as that falls, and the cap is a smaller part
// of it.
func (p *pool) heardShare() float64 { return math.Float64frombits(p.heardPart.Load()) }

// unadmit gives back one request that got no target.
func (p *pool) unadmit() {
	if g := p.guard.Load(); g != nil {
		g.CancelAdmit()
	}
}

// neighbours is what the zones of a route tell about the time before now.
type neighbours struct {
	// silent is set while a zone of another region is silent.
	silent bool
	// heard is when the one heard longest ago was heard last.
	heard int64
	// heardShare is the planned share of the pools without a silent zone.
	heardShare float64
	// here and elsewhere are set when instances of this or another region
	// have served for longer than the window.
	here      bool
	elsewhere bool
	// share is the smallest share that instances of this region have given to
	// their own pool.
	share float64
}

// review looks for silent zones, and for what the regions served before this
// instance started. The caller holds the Core's write lock.
func (rt *route) review(c *Core, now int64) {
	pl := rt.plan.Load()
	window := pl.localWindow(c.self.Region)
	nb := c.listen(pl, window, now)
	for i := range pl.picks {
		if p := pl.picks[i].pool; len(p.local) > 0 {
			p.suspect.Store(nb.silent)
			p.heard.Store(nb.heard)
			p.heardPart.Store(math.Float64bits(nb.heardShare))
		}
	}
	if rt.settled {
		return
	}
	switch {
	case nb.here:
		pl.startFrom(c.self.Region, nb.share)
	case nb.elsewhere:
		// The region has not served: its traffic goes where it went, and
		// returns under the cap.
		pl.startFrom(c.self.Region, 0)
	}
	rt.settled = nb.here || nb.elsewhere || now-rt.since > window.Nanoseconds()
}

// listen gathers what is known from the zones of the plan.
func (c *Core) listen(pl *plan, window time.Duration, now int64) neighbours {
	nb := neighbours{share: 1, heard: math.MaxInt64}
	for i := range pl.picks {
		p := pl.picks[i].pool
		here := p.row.Region == c.self.Region
		silent := false
		if sum := p.peers.Load(); sum != nil {
			nb.hear(sum, window, here)
		}
		for _, z := range p.zones {
			sum := z.summary.Load()
			if sum == nil {
				continue
			}
			nb.hear(sum, window, here)
			if !here {
				silent = silent || z.silent(now)
				nb.heard = min(nb.heard, z.summaryAt.Load())
			}
		}
		nb.silent = nb.silent || silent
		if !silent {
			nb.heardShare += pl.picks[i].planned
		}
	}
	return nb
}

// hear takes in one summary.
func (nb *neighbours) hear(sum *ZoneSummary, window time.Duration, here bool) {
	switch {
	case sum.Uptime <= window:
	case here:
		nb.here = true
		nb.share = min(nb.share, sum.Share)
	default:
		nb.elsewhere = true
	}
}

// localWindow returns the longest shift window of the region's pools.
func (pl *plan) localWindow(region string) time.Duration {
	window := time.Duration(0)
	for i := range pl.picks {
		if p := pl.picks[i].pool; p.row.Region == region {
			_, w := p.capOf()
			window = max(window, w)
		}
	}
	return window
}

// startFrom takes share as what this region's pools got of its arrivals
// before, and the rest as spread over the others by the plan.
func (pl *plan) startFrom(region string, share float64) {
	local := 0.0
	for i := range pl.picks {
		if pl.picks[i].pool.row.Region == region {
			local += pl.picks[i].planned
		}
	}
	if local <= 0 || local >= 1 {
		return
	}
	for i := range pl.picks {
		pk := &pl.picks[i]
		if pk.pool.row.Region == region {
			pk.meter.Reset(share * pk.planned / local)
		} else {
			pk.meter.Reset((1 - share) * pk.planned / (1 - local))
		}
	}
}
