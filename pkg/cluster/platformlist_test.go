package cluster

import (
	"slices"
	"testing"
	"time"
)

// listedIDs returns the ids in the platform's list of instances, sorted.
func (tc *testCluster) listedIDs(t *testing.T) []string {
	t.Helper()
	list, err := tc.store.list.ListInstances(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, in := range list {
		ids = append(ids, in.ID)
	}
	slices.Sort(ids)
	return ids
}

func TestStaleEntriesAreRemovedFromList(t *testing.T) {
	runWithFeeds(t, 5, func(t *testing.T, tc *testCluster, _ *fakeFeedStore) {
		time.Sleep(5 * time.Second)
		tc.kill(tc.nodes[4])
		time.Sleep(staleEntryAge / 2)
		if got := tc.listedIDs(t); len(got) != 5 {
			t.Errorf("half a minute after one of five has terminated, the list has %v, want all five", got)
		}
		time.Sleep(staleEntryAge)
		if got := tc.listedIDs(t); len(got) != 4 || slices.Contains(got, "instance-004") {
			t.Errorf("after the termination of instance-004, the list has %v, want the other four", got)
		}
	})
}

func TestPartitionedInstanceIsListedAgain(t *testing.T) {
	runWithFeeds(t, 5, func(t *testing.T, tc *testCluster, _ *fakeFeedStore) {
		time.Sleep(5 * time.Second)
		lost := tc.nodes[4].addr
		tc.net.mu.Lock()
		tc.net.cut = func(from, to string) bool { return from == lost || to == lost }
		tc.net.mu.Unlock()
		waitFor(t, 2*staleEntryAge, "the partitioned instance is removed from the list", func() bool { return !slices.Contains(tc.listedIDs(t), lost) })
		waitFor(t, staleEntryAge, "the partitioned instance is listed again", func() bool { return slices.Contains(tc.listedIDs(t), lost) })
	})
}

func TestPartitionedInstanceRemovesNoEntries(t *testing.T) {
	runWithFeeds(t, 5, func(t *testing.T, tc *testCluster, _ *fakeFeedStore) {
		time.Sleep(5 * time.Second)
		// One instance is partitioned earlier than the others.
		for _, cut := range []func(from, to string) bool{
			func(from, to string) bool { return from == "instance-004" || to == "instance-004" },
			func(string, string) bool { return true },
		} {
			tc.net.mu.Lock()
			tc.net.cut = cut
			tc.net.mu.Unlock()
			time.Sleep(staleEntryAge / 3)
		}
		for range 3 * int(staleEntryAge/time.Second) {
			time.Sleep(time.Second)
			if got := tc.listedIDs(t); len(got) != 5 {
				t.Fatalf("the list has %v while all instances are partitioned, want all five", got)
			}
		}
	})
}
