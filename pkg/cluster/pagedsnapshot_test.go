package cluster

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
)

// pagedFeed is a feed of targets whose snapshots take two pages, split at the key splitKey.
// between is called after the first page of each snapshot.
type pagedFeed struct {
	fakeFeed
	between func()
}

// splitKey is the first key of the second page.
const splitKey = "m"

// Snapshot implements platform.Feed. The whole has the version of the first page.
func (f pagedFeed) Snapshot(ctx context.Context) (platform.FeedRead, error) {
	first, err := f.fakeFeed.Snapshot(ctx)
	if err != nil {
		return first, err
	}
	f.between()
	second, err := f.fakeFeed.Snapshot(ctx)
	entries := []catalog.Entry{}
	for _, e := range first.Entries {
		if e.Key < splitKey {
			entries = append(entries, e)
		}
	}
	for _, e := range second.Entries {
		if e.Key >= splitKey {
			entries = append(entries, e)
		}
	}
	first.Entries = entries
	return first, err
}

// pageTargets has the instances of tc read the targets in two pages, with a call of between
// after the first page of the n-th snapshot.
func pageTargets(tc *testCluster, between func(n int)) {
	var mu sync.Mutex
	count := 0
	tc.wrapFeed = func(f fakeFeed) platform.Feed {
		if f.topic != catalog.Targets {
			return f
		}
		return pagedFeed{f, func() {
			mu.Lock()
			defer mu.Unlock()
			count++
			between(count)
		}}
	}
}

// restartAllPaged kills all instances and starts them again with paged snapshots; see pageTargets.
func (tc *testCluster) restartAllPaged(between func(n int)) {
	killed := slices.Clone(tc.nodes)
	for _, n := range killed {
		tc.kill(n)
	}
	pageTargets(tc, between)
	for _, n := range killed {
		tc.start(n.self.ID, n.cfg.Self.Zone)
	}
}

// TestTargetRemovedBetweenTwoPagesOfASnapshotIsNotUsed guards against requests to targets
// whose removal falls between two pages of the list that an instance reads at its start.
func TestTargetRemovedBetweenTwoPagesOfASnapshotIsNotUsed(t *testing.T) {
	runWithFeeds(t, 1, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		r.setTarget("gone", true)
		tc.restartAllPaged(func(int) {
			r.setTarget("gone", false)
			r.setTarget("new", true)
		})
		waitFor(t, maxFeedDelay, "the target of the second page in use", func() bool { return tc.allHaveTarget("new", true) })
		time.Sleep(maxFeedDelay)
		if !tc.allHaveTarget("gone", false) {
			t.Error("the target that was removed between the pages is still in use")
		}
	})
}

// TestTargetRemovedWhileTheReaderRestartsIsNotUsed guards against requests to targets that are
// removed between the end of the instance that reads for the others and its first read after
// the restart: its snapshot holds no removals, and the others learn from it what is new.
func TestTargetRemovedWhileTheReaderRestartsIsNotUsed(t *testing.T) {
	for _, n := range []int{5, leaveBounds[2].instances} {
		runWithFeeds(t, n, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
			r.setTarget("gone", true)
			r.write(catalog.Entry{Topic: catalog.Operators, Key: "evacuate/a", EvacuatedZone: "a"})
			time.Sleep(settleTime)
			reader := tc.firstReader(t)
			tc.kill(reader)
			r.setTarget("gone", false)
			r.write(catalog.Entry{Topic: catalog.Operators, Key: "evacuate/a", Removed: true})
			tc.start(reader.self.ID, reader.cfg.Self.Zone)
			time.Sleep(500 * time.Millisecond)
			r.setTarget("new", true)
			r.write(largeConfig(2, 3))
			waitFor(t, maxFeedDelay, "the new target and configuration in use", func() bool { return tc.allHaveTarget("new", true) && tc.configInForce(2) })
			time.Sleep(time.Second)
			for _, node := range tc.nodes {
				if node.hasTarget("gone") {
					t.Errorf("%d instances: %s still uses the target that was removed", n, node.self.ID)
				}
				if node.evacuates("new") {
					t.Errorf("%d instances: %s still evacuates the zone", n, node.self.ID)
				}
			}
		})
	}
}

// firstReader returns the instance that reads the feeds for the others.
func (tc *testCluster) firstReader(t *testing.T) *testNode {
	t.Helper()
	for _, n := range tc.nodes {
		n.mu.Lock()
		first := n.currentTree(time.Now()).Position(n.self.ID) == 0
		n.mu.Unlock()
		if first {
			return n
		}
	}
	t.Fatal("nobody reads for the others")
	return nil
}

// evacuates reports whether the tables in force drain the target.
func (n *testNode) evacuates(target string) bool {
	for _, p := range n.Tables().Pools {
		for _, tg := range p.Targets {
			if tg.Name == target && tg.Drain {
				return true
			}
		}
	}
	return false
}
