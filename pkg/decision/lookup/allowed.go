package lookup

import (
	"slices"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// AllowedRegions are the regions that may serve the requests for which a caller looks
// up instances. They may belong to several routes that allow different regions. The
// zero value allows all regions.
type AllowedRegions struct {
	// byAll are the regions that every restricted route allows, byAny those that at
	// least one of them allows.
	byAll, byAny []string
}

// AllowedBy returns the regions that route allows.
func AllowedBy(route *table.Route) AllowedRegions {
	return AllowedRegions{byAll: route.Regions, byAny: route.Regions}
}

// Restricted reports whether any route is restricted to some regions.
func (a AllowedRegions) Restricted() bool { return len(a.byAny) > 0 }

// ByAll reports whether every route allows region.
func (a AllowedRegions) ByAll(region string) bool {
	return !a.Restricted() || slices.Contains(a.byAll, region)
}

// ByAny reports whether a restricted route allows region, or none is restricted.
func (a AllowedRegions) ByAny(region string) bool {
	return !a.Restricted() || slices.Contains(a.byAny, region)
}

// and returns the regions for the routes of a and those of b together.
func (a AllowedRegions) and(b AllowedRegions) AllowedRegions {
	switch {
	case !a.Restricted():
		return b
	case !b.Restricted():
		return a
	}
	var out AllowedRegions
	for _, region := range a.byAll {
		if slices.Contains(b.byAll, region) {
			out.byAll = append(out.byAll, region)
		}
	}
	out.byAny = slices.Concat(a.byAny, b.byAny)
	slices.Sort(out.byAny)
	out.byAny = slices.Compact(out.byAny)
	return out
}

// HostRegions holds the allowed regions of the hosts with restricted routes.
type HostRegions map[string]AllowedRegions

// anyHost is the host of routes that match any host.
const anyHost = ""

// NewHostRegions returns the allowed regions of the hosts of t.
func NewHostRegions(t *table.Tables) HostRegions {
	h := HostRegions{}
	for i := range t.Routes {
		if r := &t.Routes[i]; len(r.Regions) > 0 {
			host := table.HostName(r.Host)
			h[host] = h[host].and(AllowedBy(r))
		}
	}
	return h
}

// Of returns the allowed regions of the routes that requests for host, with or without
// a port, may match.
func (h HostRegions) Of(host string) AllowedRegions {
	own := h[anyHost]
	if name := table.HostName(host); name != anyHost {
		own = h[name].and(own)
	}
	return own
}
