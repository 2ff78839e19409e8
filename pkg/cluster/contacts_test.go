package cluster

import (
	"slices"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spread"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
)

// newContactCluster returns a Cluster that does not run and lists four instances
// of another cell, and the ids of that cell's watchers. random is the value that
// its random numbers have.
func newContactCluster(now time.Time, random *float64) (*Cluster, []string) {
	c := New(Config{
		Self:   platform.Instance{ID: "self", Zone: "zone-00", Incarnation: "1"},
		Timing: DefaultTiming(), Rand: func() float64 { return *random },
	})
	var list []member.Info
	var ids []string
	for _, id := range []string{"a", "b", "c", "d"} {
		list = append(list, member.Info{ID: id, Zone: "zone-01", Incarnation: "1"})
		ids = append(ids, id)
	}
	c.view.ObserveList(now, list)
	return c, spread.Rank("zone-01", ids)[:spread.WatchersPerCell]
}

// pickableContacts returns, sorted, the contacts that pickCellContacts returns for
// any random number.
func pickableContacts(c *Cluster, now time.Time, random *float64) []string {
	var picked []string
	for *random = 0; *random < 1; *random += 0.05 {
		for _, in := range c.pickCellContacts(now) {
			picked = append(picked, in.ID)
		}
	}
	slices.Sort(picked)
	return slices.Compact(picked)
}

func TestCellContactThatFailedIsNotPickedForCellTimeout(t *testing.T) {
	var random float64
	now := time.Unix(1000, 0)
	c, watchers := newContactCluster(now, &random)
	all := slices.Sorted(slices.Values(watchers))
	failed := watchers[0]
	c.view.ObserveCall(now, failed, false)
	others := slices.DeleteFunc(slices.Clone(all), func(id string) bool { return id == failed })
	if got := pickableContacts(c, now.Add(cellTimeout-time.Millisecond), &random); !slices.Equal(got, others) {
		t.Errorf("contacts after a failed call to %s: %v, want %v", failed, got, others)
	}
	if got := pickableContacts(c, now.Add(cellTimeout), &random); !slices.Equal(got, all) {
		t.Errorf("contacts cellTimeout after the failed call: %v, want %v", got, all)
	}
}

func TestCellContactIsPickedAfterASuccessfulCall(t *testing.T) {
	var random float64
	now := time.Unix(1000, 0)
	c, watchers := newContactCluster(now, &random)
	c.view.ObserveCall(now, watchers[0], false)
	c.view.ObserveCall(now, watchers[0], true)
	if got := pickableContacts(c, now, &random); !slices.Contains(got, watchers[0]) {
		t.Errorf("contacts after a successful call to %s: %v", watchers[0], got)
	}
}

func TestCellWhoseContactsAllFailedIsStillCalled(t *testing.T) {
	var random float64
	now := time.Unix(1000, 0)
	c, watchers := newContactCluster(now, &random)
	for _, id := range watchers {
		c.view.ObserveCall(now, id, false)
	}
	if got := pickableContacts(c, now, &random); len(got) != len(watchers) {
		t.Errorf("contacts after failed calls to all: %v", got)
	}
}
