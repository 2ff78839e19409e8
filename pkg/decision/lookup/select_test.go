package lookup

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// drawAllowed draws the allowed regions of up to three routes.
func drawAllowed(t *rapid.T) AllowedRegions {
	var a AllowedRegions
	for range rapid.IntRange(0, 3).Draw(t, "routes") {
		route := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"r0", "r1", "r2"}), 0, 2, rapid.ID).Draw(t, "regions")
		a = a.and(AllowedRegions{byAll: route, byAny: route})
	}
	return a
}

func drawQuery(t *rapid.T) Query {
	return Query{
		Caller: Location{Zone: "r0-0", Region: "r0"}, Allowed: drawAllowed(t),
		Instances: drawInstances(t), Complete: rapid.Bool().Draw(t, "complete"), Departed: rapid.Bool().Draw(t, "departed"),
	}
}

// anyUsable reports whether a usable instance of q is in a region for which include
// returns true.
func anyUsable(q Query, include func(region string) bool) bool {
	return slices.ContainsFunc(q.Instances, func(in Instance) bool { return in.Usable() && include(in.Region) })
}

func TestResponseNamesNoForbiddenRegionWhileAnAllowedOneIsUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := drawQuery(t)
		permitted := func(region string) bool { return region == q.Caller.Region || q.Allowed.ByAny(region) }
		if !q.Allowed.Restricted() || !anyUsable(q, permitted) {
			t.Skip()
		}
		for _, in := range Select(q).Others {
			if !permitted(in.Region) {
				t.Fatalf("%+v is named", in)
			}
		}
	})
}

// TestRestartingRegionSendsCallersOnlyWhereEveryRouteMayRun guards against look-ups that
// name all regions during planned restarts, and by instances that know only themselves.
func TestRestartingRegionSendsCallersOnlyWhereEveryRouteMayRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := drawQuery(t)
		restarting := slices.ContainsFunc(q.Instances, func(in Instance) bool {
			return in.Region == q.Caller.Region && in.Leaving && !in.Unreachable
		})
		if !q.Allowed.Restricted() || q.Complete && !q.Departed && !restarting {
			t.Skip()
		}
		for _, in := range Select(q).Others {
			if !q.Allowed.ByAll(in.Region) {
				t.Fatalf("%+v is named", in)
			}
		}
	})
}

func TestUsableInstancesOfOwnRegionAreAlwaysNamed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := drawQuery(t)
		c := Select(q)
		named := slices.Concat(c.Zone, c.Region)
		for _, in := range q.Instances {
			if got := slices.Contains(named, in); got != (in.Usable() && in.Region == q.Caller.Region) {
				t.Fatalf("%+v is named: %v", in, got)
			}
		}
	})
}

func TestCallersOfLostRegionAlwaysGetUsableInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := drawQuery(t)
		q.Complete, q.Departed = true, false
		for i := range q.Instances {
			in := &q.Instances[i]
			in.Unreachable = in.Unreachable || in.Region == q.Caller.Region
		}
		if !anyUsable(q, func(string) bool { return true }) {
			t.Skip()
		}
		if c := Select(q); len(c.Others) == 0 {
			t.Fatal("no instance is named")
		}
	})
}

func TestUnrestrictedCallersGetAllUsableInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := drawQuery(t)
		q.Allowed = AllowedRegions{}
		var want Candidates
		for _, in := range q.Instances {
			switch {
			case !in.Usable():
			case in.Zone == q.Caller.Zone:
				want.Zone = append(want.Zone, in)
			case in.Region == q.Caller.Region:
				want.Region = append(want.Region, in)
			default:
				want.Others = append(want.Others, in)
			}
		}
		if got := Select(q); !reflect.DeepEqual(got, want) {
			t.Fatalf("candidates %+v, want %+v", got, want)
		}
	})
}

func TestCandidatesOfOtherRegions(t *testing.T) {
	up := func(region string) Instance { return Instance{ID: region, Zone: region + "-0", Region: region} }
	leaving, unreachable := up("r0"), up("r0")
	leaving.Leaving, unreachable.Unreachable = true, true
	routes := func(regions ...string) AllowedRegions {
		var a AllowedRegions
		for _, region := range regions {
			a = a.and(AllowedRegions{byAll: []string{region}, byAny: []string{region}})
		}
		return a
	}
	for _, c := range []struct {
		name       string
		allowed    AllowedRegions
		own        []Instance
		incomplete bool
		want       []string
	}{
		{"unrestricted, all leave", routes(), []Instance{leaving}, false, []string{"r1", "r2"}},
		{"all leave, one region for all routes", routes("r1"), []Instance{leaving}, false, []string{"r1"}},
		{"all leave, routes differ", routes("r1", "r0"), []Instance{leaving}, false, nil},
		{"all leave, only own region allowed", routes("r0"), []Instance{leaving}, false, nil},
		{"lost, routes differ", routes("r1", "r0"), []Instance{unreachable}, false, []string{"r1"}},
		{"lost, only own region allowed", routes("r0"), []Instance{unreachable}, false, []string{"r1", "r2"}},
		{"without instances, only own region allowed", routes("r0"), nil, false, []string{"r1", "r2"}},
		{"list not read, only own region allowed", routes("r0"), nil, true, nil},
		{"list not read, one region for all routes", routes("r2"), nil, true, []string{"r2"}},
	} {
		q := Query{
			Caller: Location{Zone: "r0-0", Region: "r0"}, Allowed: c.allowed,
			Instances: append(c.own, up("r1"), up("r2")), Complete: !c.incomplete,
		}
		if got := Regions(Select(q).Others); !slices.Equal(got, c.want) {
			t.Errorf("%s: regions %v, want %v", c.name, got, fmt.Sprint(c.want))
		}
	}
}
