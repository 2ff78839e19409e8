package cluster

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/hashing"
	"github.com/jacinthramp/jacinthramp/pkg/decision/ratelimit"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
)

const (
	// restoreSeries is the number of restores that follow each other, restoreGap the time
	// between two of them, and refusedWrites how long the list refuses the instances'
	// writes from the first one on.
	restoreSeries = 3
	restoreGap    = 1300 * time.Millisecond
	refusedWrites = 6 * time.Second
	// limitPerSecond is the limit that the instances share. rateTolerance is the part of
	// it that all may send together: one that joins may push another out of its share.
	limitPerSecond = 7.76
	rateTolerance  = 1.5
	// maxUnsettled is the time after its start within which an instance has a complete
	// list once the others could register again.
	maxUnsettled = 30 * time.Second
)

// restoredList is a list of instances that loses entries in restores and refuses the writes
// of some instances for a while.
type restoredList struct {
	platform.InstanceRegistry
	mu      sync.Mutex
	refused map[string]bool
}

// refuse sets the instances whose writes are refused.
func (l *restoredList) refuse(ids ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused = make(map[string]bool)
	for _, id := range ids {
		l.refused[id] = true
	}
}

// Register implements platform.InstanceRegistry.
func (l *restoredList) Register(ctx context.Context, in platform.Instance) error {
	l.mu.Lock()
	refused := l.refused[in.ID]
	l.mu.Unlock()
	if refused {
		return fault.New(fault.KindStoreUnavailable, "refused")
	}
	return l.InstanceRegistry.Register(ctx, in)
}

// clear removes all entries, as a restore from a copy of before they were written.
func (l *restoredList) clear(t *testing.T) {
	t.Helper()
	list, err := l.ListInstances(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, in := range list {
		if err := l.Deregister(t.Context(), in.ID, in.Incarnation); err != nil {
			t.Fatal(err)
		}
	}
}

// rateOfAll returns how many requests a second all instances together send to a target
// with the limit limitPerSecond, by their lists of members.
func (tc *testCluster) rateOfAll() float64 {
	sum := 0.0
	for _, n := range tc.nodes {
		list, complete := n.Members()
		var members []ratelimit.Member
		for _, in := range list {
			members = append(members, ratelimit.Member{ID: in.ID, Zone: in.Zone, Region: in.Region})
		}
		s := ratelimit.NewMembers(n.self.ID, members, complete).Share(ratelimit.Target{Hash: hashing.Name("target")}, limitPerSecond)
		if s.SilentFor == 0 {
			sum += 1 / s.Interval.Seconds()
		}
	}
	return sum
}

// restoreInSeries restores the store several times, each time from a copy of before the
// instances had registered. Instances can't write to the list until refusedWrites after the
// first time.
func (l *restoredList) restoreInSeries(t *testing.T, tc *testCluster, r *fakeFeedStore) {
	t.Helper()
	var running []string
	for _, n := range tc.nodes {
		running = append(running, n.addr)
	}
	l.refuse(running...)
	time.AfterFunc(refusedWrites, func() { l.refuse() })
	older := r.copy()
	for i := range restoreSeries {
		if i > 0 {
			time.Sleep(restoreGap)
		}
		l.clear(t)
		r.restore(older)
	}
}

// runWithRestoredList is like runWithFeeds without seeds, with a restoredList.
func runWithRestoredList(t *testing.T, n int, test func(t *testing.T, tc *testCluster, r *fakeFeedStore, list *restoredList)) {
	t.Helper()
	list := &restoredList{}
	prepare := func(tc *testCluster) {
		tc.seeds = nil
		list.InstanceRegistry = tc.store.list
		tc.registry = func(string) platform.InstanceRegistry { return list }
	}
	runPreparedWithFeeds(t, n, prepare, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		time.Sleep(settleTime)
		test(t, tc, r, list)
	})
}

// checkShares checks that the instance late has no complete list that lacks others, and that
// all together stay within the limit, until all have registered again and it has one.
func (tc *testCluster) checkShares(t *testing.T, late *testNode, n int) {
	t.Helper()
	fewest, highest := n, 0.0
	for began := time.Now(); time.Since(began) < maxUnsettled; time.Sleep(50 * time.Millisecond) {
		if members, complete := late.Members(); complete {
			fewest = min(fewest, len(members))
		}
		highest = max(highest, tc.rateOfAll())
	}
	t.Logf("the late instance had %d members at the least, all together sent %.2f a second of %.2f", fewest, highest, limitPerSecond)
	if fewest < n || highest > limitPerSecond*rateTolerance {
		t.Errorf("the late instance took %d of %d members for all, and all together sent %.2f a second of %.2f", fewest, n, highest, limitPerSecond)
	}
	if members, complete := late.Members(); !complete || len(members) < n {
		t.Errorf("%v later, the late instance has %d of %d members, complete %t", maxUnsettled, len(members), n, complete)
	}
}

// TestInstanceStartedAfterRestoresIsNotAloneInItsList guards against an instance that
// starts right after restores of the store and takes a list without the others for the whole
// one: it uses what all share alone, beside the others.
func TestInstanceStartedAfterRestoresIsNotAloneInItsList(t *testing.T) {
	const n = 5
	runWithRestoredList(t, n, func(t *testing.T, tc *testCluster, r *fakeFeedStore, list *restoredList) {
		list.restoreInSeries(t, tc, r)
		tc.kill(tc.nodes[n-1])
		tc.generation = r.currentGeneration
		late := tc.start("late", zoneName(0, n))
		tc.checkShares(t, late, n)
	})
}

// TestInstanceStartedBeforeRestoresIsNotAloneInItsList covers one that has started right
// before, when the others had not registered yet.
func TestInstanceStartedBeforeRestoresIsNotAloneInItsList(t *testing.T) {
	const n = 5
	runWithRestoredList(t, n, func(t *testing.T, tc *testCluster, r *fakeFeedStore, list *restoredList) {
		tc.kill(tc.nodes[n-1])
		list.clear(t)
		tc.generation = r.currentGeneration
		late := tc.start("late", zoneName(0, n))
		time.Sleep(restoreGap / 4)
		list.restoreInSeries(t, tc, r)
		tc.checkShares(t, late, n)
	})
}

// TestRestoreLeavesAnEstablishedListComplete holds that a restore takes no share from
// instances that have known the others before.
func TestRestoreLeavesAnEstablishedListComplete(t *testing.T) {
	const n = 5
	runWithRestoredList(t, n, func(t *testing.T, tc *testCluster, r *fakeFeedStore, list *restoredList) {
		time.Sleep(listSettleTime)
		list.restoreInSeries(t, tc, r)
		for began := time.Now(); time.Since(began) < maxUnsettled; time.Sleep(50 * time.Millisecond) {
			for _, node := range tc.nodes {
				if members, complete := node.Members(); !complete || len(members) < n {
					t.Fatalf("%s has %d of %d members, complete %t", node.addr, len(members), n, complete)
				}
			}
		}
	})
}
