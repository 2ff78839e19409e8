package node

import (
	"fmt"
	"slices"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/decision/lookup"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
)

// idsNear returns the ids of the instances that a caller at a place may use.
func idsNear(n *Node, at lookup.Place) []string {
	var ids []string
	for _, in := range n.InstancesNear(at) {
		ids = append(ids, in.ID)
	}
	slices.Sort(ids)
	return ids
}

func TestCallersOfASilentRegionAreSentElsewhere(t *testing.T) {
	list := []platform.Instance{
		{ID: "a1", Zone: "a", Region: "ra", Cell: "ra"},
		{ID: "b1", Zone: "b", Region: "rb", Cell: "rb"},
		{ID: "c1", Zone: "c", Region: "rc", Cell: "rc"},
	}
	for _, c := range []struct {
		silent []string
		want   []string
	}{
		{nil, []string{"b1"}},
		{[]string{"rb"}, []string{"a1", "c1"}},
		{[]string{"rb", "rc"}, []string{"a1"}},
	} {
		n := &Node{}
		v := emptySnapshot()
		v.lookupCandidates = lookupCandidates(list, c.silent)
		n.snapshot.Store(v)
		if got := idsNear(n, lookup.Place{Zone: "b", Region: "rb"}); !slices.Equal(got, c.want) {
			t.Errorf("silent %v: a caller in rb may use %v, want %v", c.silent, got, c.want)
		}
	}
}

// nodeWithZones returns a node that knows of instances in zones of one region, so many
// in each.
func nodeWithZones(zones map[string]int) *Node {
	var list []platform.Instance
	for zone, count := range zones {
		for i := range count {
			list = append(list, platform.Instance{ID: fmt.Sprintf("%s%d", zone, i), Zone: zone, Region: "r", Cell: "r"})
		}
	}
	n := &Node{}
	v := emptySnapshot()
	v.lookupCandidates = lookupCandidates(list, nil)
	n.snapshot.Store(v)
	return n
}

func TestCallersGetTheInstancesOfTheirZoneAndAFewOthers(t *testing.T) {
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
		for _, in := range nodeWithZones(c.zones).InstancesNear(lookup.Place{Zone: "a", Region: "r"}) {
			if in.Zone == "a" {
				own++
			} else {
				another++
			}
		}
		if own != c.own || another != c.another {
			t.Errorf("of %v a caller in a gets %d and %d of other zones, want %d and %d", c.zones, own, another, c.own, c.another)
		}
	}
}

// TestCallersGetOthersInTurn: those of other zones take over when a zone is lost,
// so that its callers must not all know the same few.
func TestCallersGetOthersInTurn(t *testing.T) {
	n, named := nodeWithZones(map[string]int{"a": 4, "b": 8}), map[string]bool{}
	for range 200 {
		for _, in := range n.InstancesNear(lookup.Place{Zone: "a", Region: "r"}) {
			named[in.ID] = true
		}
	}
	if len(named) != 12 {
		t.Errorf("%d of 12 instances are named", len(named))
	}
}
