package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/decision/lookup"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/settings"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/telemetry"
)

// idsNear returns the sorted ids of the instances that a caller at a location may
// use.
func idsNear(n *Node, location lookup.Location) []string {
	var ids []string
	named, _ := n.InstancesNear("host.example", location)
	for _, in := range named {
		ids = append(ids, in.ID)
	}
	slices.Sort(ids)
	return ids
}

func TestCallersOfUnreachableRegionUseOtherRegions(t *testing.T) {
	list := []platform.Instance{
		{ID: "a1", Zone: "a", Region: "ra", Cell: "ra"},
		{ID: "b1", Zone: "b", Region: "rb", Cell: "rb"},
		{ID: "c1", Zone: "c", Region: "rc", Cell: "rc"},
	}
	for _, c := range []struct {
		unreachable []string
		want        []string
	}{
		{nil, []string{"b1"}},
		{[]string{"rb"}, []string{"a1", "c1"}},
		{[]string{"rb", "rc"}, []string{"a1"}},
	} {
		n := nodeWithCandidates(lookupCandidates(list, c.unreachable))
		if got := idsNear(n, lookup.Location{Zone: "b", Region: "rb"}); !slices.Equal(got, c.want) {
			t.Errorf("unreachable %v: a caller in rb may use %v, want %v", c.unreachable, got, c.want)
		}
	}
}

// nodeWithZones returns a node whose snapshot holds the given number of instances in
// each zone of one region.
func nodeWithZones(zones map[string]int) *Node {
	var list []platform.Instance
	for zone, count := range zones {
		for i := range count {
			list = append(list, platform.Instance{ID: fmt.Sprintf("%s%d", zone, i), Zone: zone, Region: "r", Cell: "r"})
		}
	}
	return nodeWithCandidates(lookupCandidates(list, nil))
}

// nodeWithCandidates returns a node whose snapshot holds the given candidates.
func nodeWithCandidates(candidates []lookup.Instance) *Node {
	s := settings.Default()
	n := &Node{settings: &s, log: zap.NewNop(), now: time.Now, remoteLookups: telemetry.NewIntervalLimiter(remoteLookupLogInterval)}
	snap := emptySnapshot()
	snap.lookupCandidates = candidates
	snap.tables = &table.Tables{Version: 1}
	snap.listComplete = true
	n.snapshot.Store(snap)
	return n
}

func TestCallersGetInstancesOfOwnZoneAndFewOthers(t *testing.T) {
	for _, c := range []struct {
		zones        map[string]int
		own, another int
	}{
		{map[string]int{"a": 2, "b": 3}, 2, 1},
		{map[string]int{"a": 21, "b": 22, "c": 22}, 21, 5},
		{map[string]int{"a": 1, "b": 2}, 1, 2},
		{map[string]int{"a": 0, "b": 2}, 0, 2},
		{map[string]int{"a": 4}, 4, 0},
	} {
		own, another := 0, 0
		near, _ := nodeWithZones(c.zones).InstancesNear("host.example", lookup.Location{Zone: "a", Region: "r"})
		for _, in := range near {
			if in.Zone == "a" {
				own++
			} else {
				another++
			}
		}
		if own != c.own || another != c.another {
			t.Errorf("zones %v: a caller in a gets %d instances of its zone and %d of others, want %d and %d", c.zones, own, another, c.own, c.another)
		}
	}
}

// TestInstancesOfOtherZonesVary checks that the instances of other zones are chosen
// at random. If all callers of a zone got the same few, all would turn to just these
// when the zone fails.
func TestInstancesOfOtherZonesVary(t *testing.T) {
	n, named := nodeWithZones(map[string]int{"a": 4, "b": 8}), map[string]bool{}
	for range 200 {
		near, _ := n.InstancesNear("host.example", lookup.Location{Zone: "a", Region: "r"})
		for _, in := range near {
			named[in.ID] = true
		}
	}
	if len(named) != 12 {
		t.Errorf("%d instances are named, want all 12", len(named))
	}
}
