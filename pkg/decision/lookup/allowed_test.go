package lookup

import (
	"slices"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

func TestAllowedRegionsOfHostCombineItsRestrictedRoutes(t *testing.T) {
	h := NewHostRegions(&table.Tables{Routes: []table.Route{
		{Name: "free", Host: "free.example"},
		{Name: "one", Host: "One.example", Regions: []string{"r0", "r1"}},
		{Name: "one-free", Host: "one.example", PathPrefix: "/free"},
		{Name: "two-a", Host: "two.example", PathPrefix: "/a", Regions: []string{"r0", "r1"}},
		{Name: "two-b", Host: "two.example", PathPrefix: "/b", Regions: []string{"r1", "r2"}},
		{Name: "apart-a", Host: "apart.example", PathPrefix: "/a", Regions: []string{"r0"}},
		{Name: "apart-b", Host: "apart.example", PathPrefix: "/b", Regions: []string{"r2"}},
	}})
	all := []string{"r0", "r1", "r2"}
	for _, c := range []struct {
		host         string
		restricted   bool
		byAll, byAny []string
	}{
		{"free.example", false, all, all},
		{"unknown.example", false, all, all},
		{"ONE.example:80", true, []string{"r0", "r1"}, []string{"r0", "r1"}},
		{"two.example", true, []string{"r1"}, all},
		{"apart.example", true, nil, []string{"r0", "r2"}},
	} {
		a := h.Of(c.host)
		var byAll, byAny []string
		for _, region := range all {
			if a.ByAll(region) {
				byAll = append(byAll, region)
			}
			if a.ByAny(region) {
				byAny = append(byAny, region)
			}
		}
		if a.Restricted() != c.restricted || !slices.Equal(byAll, c.byAll) || !slices.Equal(byAny, c.byAny) {
			t.Errorf("%s: restricted %v, by all %v, by any %v; want %v, %v, %v", c.host, a.Restricted(), byAll, byAny, c.restricted, c.byAll, c.byAny)
		}
	}
}

func TestRoutesOfAnyHostRestrictAllHosts(t *testing.T) {
	h := NewHostRegions(&table.Tables{Routes: []table.Route{
		{Name: "any", PathPrefix: "/a", Regions: []string{"r0", "r1"}},
		{Name: "one", Host: "one.example", Regions: []string{"r1", "r2"}},
	}})
	if a := h.Of("other.example"); !a.ByAll("r0") || a.ByAny("r2") {
		t.Errorf("a host without routes of its own: %+v", a)
	}
	if a := h.Of("one.example"); a.ByAll("r0") || !a.ByAll("r1") || !a.ByAny("r2") {
		t.Errorf("a host with a route of its own: %+v", a)
	}
}
