package node

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/lookup"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/settings"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// restrictedHosts are tables whose hosts allow different regions.
func restrictedHosts() *table.Tables {
	return &table.Tables{Version: 1, Routes: []table.Route{
		{Name: "own", Host: "own.example", PathPrefix: "/", Regions: []string{"ra"}},
		{Name: "apart-1", Host: "apart.example", PathPrefix: "/a", Regions: []string{"rb"}},
		{Name: "apart-2", Host: "apart.example", PathPrefix: "/a/b", Regions: []string{"ra"}},
		{Name: "apart-3", Host: "apart.example", PathPrefix: "/free"},
		{Name: "other", Host: "other.example", PathPrefix: "/", Regions: []string{"rb"}},
		{Name: "free", Host: "free.example", PathPrefix: "/"},
	}}
}

// answering returns a node that is instance self, of the given stage, and knows list.
func answering(self platform.Instance, stage int32, list []platform.Instance, unreachable ...string) *Node {
	n := nodeWithCandidates(lookupCandidates(list, unreachable))
	n.self = self
	n.stage.Store(stage)
	snap := *n.snapshot.Load()
	snap.tables = restrictedHosts()
	snap.hostRegions = lookup.NewHostRegions(snap.tables)
	n.snapshot.Store(&snap)
	return n
}

// regionsNear returns the regions of the instances that a caller in region ra may use.
func regionsNear(n *Node, host string) []string {
	named, _ := n.InstancesNear(host, lookup.Location{Zone: "ra-a", Region: "ra"})
	return lookup.Regions(named)
}

// restart describes the stops and starts of the instances of a region in turn, one a
// step: each leaves, is down and serves again.
type restart struct{ instances, leavingFor, downFor int }

// stageAt returns the stage of instance i at a step, and false while it is down.
func (r restart) stageAt(i, step int) (stage int32, running bool) {
	switch since := step - i; {
	case since < 0 || since >= r.leavingFor+r.downFor:
		return stageServing, true
	case since < r.leavingFor:
		return stageLeaving, true
	}
	return stageLeaving, false
}

// listAt returns the instances of region ra at a step, as the others know them, and two
// instances of each other region. Those that are down are still known as leaving.
func (r restart) listAt(step int) []platform.Instance {
	var list []platform.Instance
	for i := range r.instances {
		stage, _ := r.stageAt(i, step)
		list = append(list, platform.Instance{
			ID: fmt.Sprint("ra-", i), Zone: fmt.Sprint("ra-", string(rune('a'+i%2))), Region: "ra", Cell: "ra", Leaving: stage == stageLeaving,
		})
	}
	for _, region := range []string{"rb", "rc"} {
		for i := range 2 {
			list = append(list, platform.Instance{ID: fmt.Sprint(region, "-", i), Zone: region + "-a", Region: region, Cell: region})
		}
	}
	return list
}

// TestRestartOfRegionNamesNoForbiddenRegion replays a restart of all instances of a
// region in turn: for a while all of them leave or are down. Their lookup responses must
// name no other region that a route of the host forbids.
func TestRestartOfRegionNamesNoForbiddenRegion(t *testing.T) {
	r := restart{instances: 8, leavingFor: 8, downFor: 4}
	answers, allowed := map[string]int{}, map[string][]string{
		"own.example": {"ra"}, "apart.example": {"ra"}, "other.example": {"ra", "rb"}, "free.example": {"ra", "rb", "rc"},
	}
	forbidden, empty := map[string]int{}, map[string]int{}
	for step := range 2 * (r.instances + r.leavingFor + r.downFor) {
		list := r.listAt(step)
		for i := range r.instances {
			stage, running := r.stageAt(i, step)
			if !running {
				continue
			}
			n := answering(list[i], stage, list)
			for host := range allowed {
				regions := regionsNear(n, host)
				answers[host]++
				if len(regions) == 0 {
					empty[host]++
				}
				if slices.ContainsFunc(regions, func(region string) bool { return !slices.Contains(allowed[host], region) }) {
					forbidden[host]++
				}
			}
		}
	}
	for host, count := range forbidden {
		t.Errorf("%s: %d of %d responses name a region that a route forbids", host, count, answers[host])
	}
	if empty["free.example"]+empty["other.example"] > 0 {
		t.Errorf("responses that name nothing: %v, want none for hosts that another region may serve", empty)
	}
}

// TestIsolatedLeavingInstanceNamesNoForbiddenRegion covers an instance that hears nothing
// of its region any more while it leaves, although the region has usable instances.
func TestIsolatedLeavingInstanceNamesNoForbiddenRegion(t *testing.T) {
	self := platform.Instance{ID: "ra-0", Zone: "ra-a", Region: "ra", Cell: "ra"}
	n := answering(self, stageLeaving, []platform.Instance{self, {ID: "rb-0", Zone: "rb-a", Region: "rb", Cell: "rb"}})
	if got := regionsNear(n, "own.example"); len(got) > 0 {
		t.Errorf("a leaving instance names %v, want none", got)
	}
}

// TestInstanceWithoutListNamesNoForbiddenRegion covers an instance that has just started
// and knows only itself: callers of another region have usable instances in theirs.
func TestInstanceWithoutListNamesNoForbiddenRegion(t *testing.T) {
	self := platform.Instance{ID: "rb-0", Zone: "rb-a", Region: "rb", Cell: "rb"}
	n := answering(self, stageServing, []platform.Instance{self})
	snap := *n.snapshot.Load()
	snap.listComplete = false
	n.snapshot.Store(&snap)
	if got := regionsNear(n, "own.example"); len(got) > 0 {
		t.Errorf("an instance that has not read the list names %v, want none", got)
	}
	if got := regionsNear(n, "other.example"); !slices.Equal(got, []string{"rb"}) {
		t.Errorf("for a host that only rb may serve, it names %v, want rb", got)
	}
}

// TestInstanceWithoutTablesNamesNone covers an instance that has no tables yet: it can't
// serve, and does not know which regions the routes of a host allow.
func TestInstanceWithoutTablesNamesNone(t *testing.T) {
	self := platform.Instance{ID: "ra-0", Zone: "ra-a", Region: "ra", Cell: "ra"}
	n := answering(self, stageServing, []platform.Instance{self})
	snap := *n.snapshot.Load()
	snap.tables = &table.Tables{}
	n.snapshot.Store(&snap)
	if got := regionsNear(n, "own.example"); len(got) > 0 {
		t.Errorf("an instance without tables names %v, want none", got)
	}
}

// TestCallersOfLostRegionGetAllowedRegionsFirst covers a region that is unreachable.
func TestCallersOfLostRegionGetAllowedRegionsFirst(t *testing.T) {
	list := restart{instances: 2, leavingFor: 2, downFor: 2}.listAt(-1)
	n := answering(list[len(list)-1], stageServing, list, "ra")
	for host, want := range map[string][]string{
		"own.example": {"rb", "rc"}, "apart.example": {"rb"}, "other.example": {"rb"}, "free.example": {"rb", "rc"},
	} {
		if got := regionsNear(n, host); !slices.Equal(got, want) {
			t.Errorf("%s: a caller of the lost region may use %v, want %v", host, got, want)
		}
	}
}

// TestResponseOfAnotherRegionExpiresSoon covers callers that would stay in another region
// for long after theirs is back.
func TestResponseOfAnotherRegionExpiresSoon(t *testing.T) {
	list := restart{instances: 2, leavingFor: 2, downFor: 2}.listAt(-1)
	lost := answering(list[len(list)-1], stageServing, list, "ra")
	if _, ttl := lost.InstancesNear("free.example", lookup.Location{Zone: "ra-a", Region: "ra"}); ttl != lookup.FallbackTTL {
		t.Errorf("a response without the caller's region may be used for %v, want %v", ttl, lookup.FallbackTTL)
	}
	usable := answering(list[0], stageServing, list)
	if _, ttl := usable.InstancesNear("free.example", lookup.Location{Zone: "ra-a", Region: "ra"}); ttl != usable.settings.Lookup.MaxTTL.Std() {
		t.Errorf("a response with the caller's region may be used for %v, want %v", ttl, usable.settings.Lookup.MaxTTL.Std())
	}
}

// TestRegionIsNotLostRightAfterItsInstancesHaveLeft covers a region whose instances have
// all left the list, or are unreachable, until their replacements report.
func TestRegionIsNotLostRightAfterItsInstancesHaveLeft(t *testing.T) {
	self := startInstance(t, "rb-0", "rb-a")
	now := time.Unix(1000, 0)
	self.now = func() time.Time { return now }
	self.settings.Dispatch.Mode = settings.DispatchDirect
	self.cluster.tables.Store(restrictedHosts())
	knows := func(list ...platform.Instance) {
		list = append(list, self.self)
		self.cluster.list.Store(&list)
		self.applyUpdates()
	}
	knows(platform.Instance{ID: "ra-0", Zone: "ra-a", Region: "ra", Leaving: true})
	knows()
	if got := regionsNear(self.Node, "own.example"); len(got) > 0 {
		t.Errorf("right after all have left, a caller may use %v, want none", got)
	}
	now = now.Add(time.Minute)
	if got := regionsNear(self.Node, "own.example"); len(got) != 1 {
		t.Errorf("a minute after all have left, a caller may use %v, want another region", got)
	}
}

// TestNativeLookupNamesNoForbiddenRegion covers lookups by route, whose responses name
// instances of other regions besides those of the caller's.
func TestNativeLookupNamesNoForbiddenRegion(t *testing.T) {
	inst := startInstanceWith(t, "a-1", "osrednja-a", func(s *settings.Settings) { s.Dispatch.Mode = settings.DispatchDirect })
	tables := oneTarget("127.0.0.1:1", "osrednja-a")
	tables.Routes[0].Regions = []string{"osrednja", "rb"}
	inst.run(t, tables, inst.self, platform.Instance{ID: "b-1", Zone: "rb-a", Region: "rb"}, platform.Instance{ID: "c-1", Zone: "rc-a", Region: "rc"})
	_, body := get(t, inst.url()+wire.PathLookup+"?route=feedlog")
	var response wire.LookupAnswer
	if err := json.Unmarshal([]byte(body), &response); err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, in := range response.Instances {
		ids = append(ids, in.ID)
	}
	if !slices.Equal(ids, []string{"a-1", "b-1"}) {
		t.Errorf("the response names %v, want a-1 and b-1", ids)
	}
}
