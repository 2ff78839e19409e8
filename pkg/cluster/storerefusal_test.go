package cluster

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/decision/freshness"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/test/virtualtime"
)

// leaveBounds are the times that the platform's operators allow for a target that leaves
// to be left by all instances, by the number of instances of a region.
var leaveBounds = []struct {
	instances int
	bound     time.Duration
}{
	{5, 2500 * time.Millisecond},
	{28, 3 * time.Second},
	{65, 4 * time.Second},
}

// leaves are the ways in which the store says that target t1 leaves.
var leaves = map[string]func(r *fakeFeedStore){
	"draining": func(r *fakeFeedStore) { r.drainTarget("t1") },
	"removed":  func(r *fakeFeedStore) { r.setTarget("t1", false) },
}

// uses reports whether the instance may send requests to the target.
func (n *testNode) uses(target string) bool {
	for _, p := range n.Tables().Pools {
		for _, tg := range p.Targets {
			if tg.Name == target {
				return !tg.Drain
			}
		}
	}
	return false
}

// expectLeft expects that no instance uses target t1 within the bound, counted from
// began.
func (tc *testCluster) expectLeft(t *testing.T, began time.Time, bound time.Duration) {
	t.Helper()
	waitFor(t, 4*bound, "target t1 left by all instances", func() bool {
		return !slices.ContainsFunc(tc.nodes, func(n *testNode) bool { return n.uses("t1") })
	})
	if took := time.Since(began); took > bound {
		t.Errorf("target t1 was left by all instances after %v, allowed are %v", took, bound)
	}
}

// storeRefusals are the ways in which a region's first instances lose the store.
var storeRefusals = map[string]func(tc *testCluster, r *fakeFeedStore, first []string){
	"first unanswered":     func(_ *testCluster, r *fakeFeedStore, first []string) { r.setUnresponsive(first[0], true) },
	"first two unanswered": unanswered(2),
	"first three refused": func(_ *testCluster, r *fakeFeedStore, first []string) {
		for _, id := range first {
			r.setRefused(id)
		}
	},
	"first two terminated": func(tc *testCluster, _ *fakeFeedStore, first []string) {
		tc.terminateAll(tc.nodesByID(first[:2]))
	},
}

// unanswered leaves the reads of the first n instances unanswered.
func unanswered(n int) func(tc *testCluster, r *fakeFeedStore, first []string) {
	return func(_ *testCluster, r *fakeFeedStore, first []string) {
		for _, id := range first[:n] {
			r.setUnresponsive(id, true)
		}
	}
}

// TestTargetIsLeftInTimeWhileTheStoreRefusesReaders has the first instances of a region
// lose the store, or end, and then a target leave, while the store answers the others.
func TestTargetIsLeftInTimeWhileTheStoreRefusesReaders(t *testing.T) {
	for _, size := range leaveBounds {
		for refusal, refuse := range storeRefusals {
			for leave, write := range leaves {
				t.Run(fmt.Sprintf("%d instances, %s, %s", size.instances, refusal, leave), func(t *testing.T) {
					runWithFeeds(t, size.instances, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
						time.Sleep(settleTime / 2)
						refuse(tc, r, tc.currentTree().Watchers())
						began := time.Now()
						write(r)
						tc.expectLeft(t, began, size.bound)
					})
				})
			}
		}
	}
}

// TestLeavesAreSpreadInTimeThroughoutARefusal has targets leave at any time while the
// store leaves the reads of the first two instances of a region unanswered.
func TestLeavesAreSpreadInTimeThroughoutARefusal(t *testing.T) {
	const refusal, gap = 9 * time.Second, 700 * time.Millisecond
	bound := leaveBounds[0].bound
	runWithFeeds(t, leaveBounds[0].instances, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		time.Sleep(settleTime / 2)
		unanswered(2)(tc, r, tc.currentTree().Watchers())
		for began := time.Now(); time.Since(began) < refusal; time.Sleep(gap) {
			r.setTarget("t1", true)
			waitFor(t, bound, "target t1 in use again", func() bool {
				return !slices.ContainsFunc(tc.nodes, func(n *testNode) bool { return !n.uses("t1") })
			})
			left := time.Now()
			r.setTarget("t1", false)
			tc.expectLeft(t, left, bound)
		}
	})
}

// TestTargetIsLeftInTimeByARegionThatTheStoreRefuses has the store refuse all instances of
// one of two regions, while it answers the other one.
func TestTargetIsLeftInTimeByARegionThatTheStoreRefuses(t *testing.T) {
	for leave, write := range leaves {
		t.Run(leave, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				tc, r := newTestCluster(9), newFakeFeedStore()
				defer tc.stop()
				tc.feeds = func(id string) []platform.Feed {
					return []platform.Feed{fakeFeed{r, catalog.Operators, id}, fakeFeed{r, catalog.Targets, id}}
				}
				r.setTarget("t1", true)
				for i := range 8 {
					tc.cell = []string{"osrednja", "primorska"}[i%2]
					tc.start(fmt.Sprintf("instance-%03d", i), tc.cell+"-a")
				}
				time.Sleep(settleTime)
				for _, n := range tc.nodes {
					if n.cell == "osrednja" {
						r.setRefused(n.self.ID)
					}
				}
				began := time.Now()
				write(r)
				tc.expectLeft(t, began, leaveBounds[0].bound)
			})
		})
	}
}

// TestOutageOfTheStoreCostsFewReadsBeyondTheCandidates counts the reads of the instances
// that take over last, while the store refuses everyone.
func TestOutageOfTheStoreCostsFewReadsBeyondTheCandidates(t *testing.T) {
	const outage, maxReads = 8 * time.Second, 8 // reads of both feeds together
	runWithFeeds(t, 28, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		time.Sleep(settleTime / 2)
		candidates := tc.currentTree().First(freshness.Candidates)
		r.takeReaders()
		for _, n := range tc.nodes {
			r.setRefused(n.self.ID)
		}
		time.Sleep(outage)
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, n := range tc.nodes {
			if reads := r.reads[n.self.ID]; reads > maxReads && !slices.Contains(candidates, n.self.ID) {
				t.Errorf("%s, which is no candidate, has read %d times in %v", n.self.ID, reads, outage)
			}
		}
	})
}

// TestChangesFoundAfterLostHistoryAreAnnounced has a target leave while the store reports
// no changes, and the history be lost afterwards: who reads a snapshot then must tell the
// others at once, and not with the heartbeats.
func TestChangesFoundAfterLostHistoryAreAnnounced(t *testing.T) {
	const silence = time.Second
	for _, n := range []int{5, largeRegion} {
		for leave, write := range leaves {
			t.Run(fmt.Sprintf("%d instances, %s", n, leave), func(t *testing.T) {
				runWithFeeds(t, n, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
					time.Sleep(settleTime / 2)
					r.setSilent()
					write(r)
					time.Sleep(silence)
					r.loseHistory()
					tc.expectLeft(t, time.Now(), DefaultTiming().HeartbeatInterval/2)
				})
			})
		}
	}
}

// refusedTables is the table service of an instance, which refuses the calls of those in
// refused.
type refusedTables struct {
	platform.TableService
	id      string
	refused *sync.Map
}

func (s refusedTables) Get(ctx context.Context, key, ifNoneMatch string) (platform.Row, bool, error) {
	if _, ok := s.refused.Load(s.id); ok {
		return platform.Row{}, false, fault.New(fault.KindStoreUnavailable, "refused")
	}
	return s.TableService.Get(ctx, key, ifNoneMatch)
}

// editBound is the time within which an edit of the tables must be in force everywhere.
const editBound = 15 * time.Second

// TestEditIsInForceInTimeWhileTheStoreRefusesTheWatchers has the store refuse the watchers of
// a zone, which reply to the heartbeats of the others all the same.
func TestEditIsInForceInTimeWhileTheStoreRefusesTheWatchers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		tc := newTestCluster(11)
		defer tc.stop()
		var refused sync.Map
		tc.tableService = func(id string) platform.TableService { return refusedTables{tc.store, id, &refused} }
		tc.store.accept(testTables(1, 1))
		startAll(tc, 4, 1)
		waitFor(t, 5*time.Second, "version 1 in force", func() bool { return tc.allInForce(1) })
		time.Sleep(settleTime)
		for _, id := range tc.currentTree().Watchers() {
			refused.Store(id, true)
		}
		tc.store.accept(testTables(2, 1))
		t.Logf("in force everywhere after %v", waitFor(t, editBound, "version 2 in force", func() bool { return tc.allInForce(2) }))
	})
}
