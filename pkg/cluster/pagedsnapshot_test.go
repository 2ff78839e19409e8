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
