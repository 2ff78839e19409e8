package steer

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/ratelimit"
)

// ObserveRateLimit records what a response of the target of d says about the target's
// rate limit. It reports whether the limit has changed.
func (c *Core) ObserveRateLimit(_ time.Time, d Decision, n ratelimit.Notice) (changed bool) {
	if d.targetStats == nil || n.State == ratelimit.Unknown {
		return false
	}
	old := d.targetStats.rateLimit.Load()
	switch {
	case n.State == ratelimit.Unlimited:
		return old != nil && d.targetStats.rateLimit.CompareAndSwap(old, nil)
	case old != nil && *old == n.PerSecond:
		return false
	}
	return d.targetStats.rateLimit.CompareAndSwap(old, &n.PerSecond)
}

// RateLimit returns the rate limit of the decision's target in requests per second, as
// it was known at the decision. It reports false without a limit.
func (d *Decision) RateLimit() (perSecond float64, limited bool) {
	if d.Diagnostics.RateLimit == nil {
		return 0, false
	}
	return *d.Diagnostics.RateLimit, true
}
