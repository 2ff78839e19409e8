package lookup

import (
	"maps"
	"time"
)

// Departures holds when each region was last known to have leaving instances.
type Departures map[string]time.Time

// restartTime is how long after its instances were last known to leave a region may take
// to report new ones. It exceeds the time without reports after which a cell counts as
// unreachable.
const restartTime = 6 * time.Second

// Observe returns d with the regions of the reachable leaving instances at now. It does
// not modify d.
func (d Departures) Observe(now time.Time, instances []Instance) Departures {
	var out Departures
	for _, in := range instances {
		if !in.Leaving || in.Unreachable || out[in.Region].Equal(now) {
			continue
		}
		if out == nil {
			out = Departures{}
			maps.Copy(out, d)
		}
		out[in.Region] = now
	}
	if out == nil {
		return d
	}
	return out
}

// Recent reports whether instances of region have left so recently that others may be
// about to replace them.
func (d Departures) Recent(now time.Time, region string) bool {
	at, ok := d[region]
	return ok && now.Sub(at) < restartTime
}
