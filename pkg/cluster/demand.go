package cluster

import (
	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
)

// sharesInUse returns the number of shares of each limit that requests use.
func sharesInUse(d *steer.Demand) allowance.Counts {
	counts := allowance.Counts{}
	for _, t := range d.Targets {
		if t.InUse > 0 {
			counts[allowance.TargetLimit(t.Target)] = t.InUse
		}
	}
	for _, r := range d.Regions {
		if r.InUse > 0 {
			counts[allowance.RegionLimit(r.Region)] = r.InUse
		}
	}
	return counts
}

// missingShares returns the shares to borrow: enough for the waiting requests,
// and one spare where all shares are in use.
func missingShares(d *steer.Demand) []allowance.Shortfall {
	var out []allowance.Shortfall
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
			out = append(out, allowance.Shortfall{Count: missing - free, Limits: limits})
		}
	}
	for _, r := range d.Regions {
		free := max(r.Share-r.InUse, 0)
		if missing := r.Waiting + oneIfExhausted(free, r.InUse); missing > free {
			out = append(out, allowance.Shortfall{Count: missing - free, Limits: []allowance.Limit{allowance.RegionLimit(r.Region)}})
		}
	}
	return out
}

// oneIfExhausted returns 1 if shares are in use and none is free, else 0.
func oneIfExhausted(free, used int) int {
	if free == 0 && used > 0 {
		return 1
	}
	return 0
}

// toSteerShares converts shares to the form that Core uses.
func toSteerShares(shares allowance.Shares) steer.Shares {
	out := steer.Shares{Expires: shares.Expires, Slots: map[string]int{}, Regions: map[string]int{}}
	for l, n := range shares.Counts {
		if t, ok := l.Target(); ok {
			out.Slots[t] = n
		} else if r, ok := l.Region(); ok {
			out.Regions[r] = n
		}
	}
	return out
}
