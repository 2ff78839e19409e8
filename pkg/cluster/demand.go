package cluster

import (
	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
)

// sharesInUse returns the shares that serve requests.
func sharesInUse(d *steer.Demand) allowance.Counts {
	use := allowance.Counts{}
	for _, t := range d.Targets {
		if t.InUse > 0 {
			use[allowance.TargetLimit(t.Target)] = t.InUse
		}
	}
	for _, r := range d.Regions {
		if r.InUse > 0 {
			use[allowance.RegionLimit(r.Region)] = r.InUse
		}
	}
	return use
}

// missingShares returns the shares that are missing: those for waiting requests, and
// one beyond what is used where all is used.
func missingShares(d *steer.Demand) []allowance.Need {
	var out []allowance.Need
	for _, p := range d.Pools {
		var limits []allowance.Limit
		free, used := 0, 0
		for _, t := range d.Targets {
			if t.Pool == p.Pool {
				limits = append(limits, allowance.TargetLimit(t.Target))
				free += max(t.Share-t.InUse, 0)
				used += t.InUse
			}
		}
		if missing := p.Waiting + oneIfExhausted(free, used); missing > free {
			out = append(out, allowance.Need{Count: missing - free, Limits: limits})
		}
	}
	for _, r := range d.Regions {
		free := max(r.Share-r.InUse, 0)
		if missing := r.Waiting + oneIfExhausted(free, r.InUse); missing > free {
			out = append(out, allowance.Need{Count: missing - free, Limits: []allowance.Limit{allowance.RegionLimit(r.Region)}})
		}
	}
	return out
}

// oneIfExhausted is one when all shares are used, and when there are none.
func oneIfExhausted(free, used int) int {
	if free == 0 && used > 0 {
		return 1
	}
	return 0
}

// toSteerShares converts shares to the form of the decisions.
func toSteerShares(sh allowance.Shares) steer.Shares {
	out := steer.Shares{Expires: sh.Expires, Slots: map[string]int{}, Regions: map[string]int{}}
	for l, n := range sh.Counts {
		if t, ok := l.Target(); ok {
			out.Slots[t] = n
		} else if r, ok := l.Region(); ok {
			out.Regions[r] = n
		}
	}
	return out
}
