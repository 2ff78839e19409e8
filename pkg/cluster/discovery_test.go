package cluster

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/test/virtualtime"
)

// Bounds that the platform's operators require.
const (
	// maxApplyDelay is the time within which an accepted change must be in force.
	maxApplyDelay = 2500 * time.Millisecond
	// maxStaleLookup is the time after which lookups must no longer return a
	// terminated instance.
	maxStaleLookup = 6 * time.Second
)

func TestFeedChangesAreAppliedInTime(t *testing.T) {
	runWithFeeds(t, 5, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		r.setTarget("t2", true)
		waitFor(t, maxApplyDelay, "new target in force at all instances", func() bool { return tc.allHaveTarget("t2", true) })
		r.setTarget("t1", false)
		waitFor(t, maxApplyDelay, "old target removed at all instances", func() bool { return tc.allHaveTarget("t1", false) })
	})
}

func TestInstanceWithoutStoreGetsChangesFromPeers(t *testing.T) {
	runWithFeeds(t, 5, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		r.setUnresponsive("instance-004", true)
		time.Sleep(2 * (feedPollWait + feedPollGrace))
		r.setTarget("t2", true)
		waitFor(t, 2*maxApplyDelay, "new target in force at all instances", func() bool { return tc.allHaveTarget("t2", true) })
	})
}

func TestChangesAfterUnresponsiveStoreAreAppliedInTime(t *testing.T) {
	for _, outage := range []time.Duration{4 * time.Second, 7 * time.Second, 10 * time.Second, 13 * time.Second} {
		t.Run(fmt.Sprint(outage), func(t *testing.T) {
			runWithFeeds(t, 3, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
				r.setUnresponsive("", true)
				// The reads in flight fail without a response too.
				r.setTarget("t2", true)
				time.Sleep(outage)
				r.setUnresponsive("", false)
				r.setTarget("t3", true)
				waitFor(t, maxApplyDelay, "new target in force at all instances", func() bool { return tc.allHaveTarget("t3", true) })
			})
		})
	}
}

func TestTargetsExpiredInOutageAreKeptForGrace(t *testing.T) {
	runWithFeeds(t, 3, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		r.setUnresponsive("", true)
		r.setTarget("t2", true)
		time.Sleep(8 * time.Second)
		r.setTarget("t1", false)
		r.setUnresponsive("", false)
		waitFor(t, maxApplyDelay, "new target in force after the outage", func() bool { return tc.allHaveTarget("t2", true) })
		if !tc.allHaveTarget("t1", true) {
			t.Error("the expired target was removed without the grace period")
		}
		waitFor(t, 3*time.Second, "expired target removed after the grace period", func() bool { return tc.allHaveTarget("t1", false) })
	})
}

// TestTargetsExpiredDuringHangingReadAreKeptForGrace guards against an outage
// that goes unnoticed because the store responds again before the unanswered read
// times out: the grace period for expired targets would then not apply.
func TestTargetsExpiredDuringHangingReadAreKeptForGrace(t *testing.T) {
	const outage = feedPollWait + feedPollGrace/2
	for after := time.Duration(0); after < feedPollWait; after += feedPollGrace / 4 {
		runWithFeeds(t, 1, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
			time.Sleep(after)
			r.setUnresponsive("", true)
			time.Sleep(outage)
			r.setTarget("t1", false)
			r.setUnresponsive("", false)
			r.setTarget("t2", true)
			waitFor(t, maxApplyDelay, "new target in force after the outage", func() bool { return tc.allHaveTarget("t2", true) })
			if !tc.allHaveTarget("t1", true) {
				t.Errorf("outage %v after the start: the expired target was removed without the grace period", after)
			}
		})
	}
}

func TestTerminationOfOnlyInstanceOfZoneIsDetected(t *testing.T) {
	runWithFeeds(t, 8, func(t *testing.T, tc *testCluster, _ *fakeFeedStore) {
		time.Sleep(5 * time.Second)
		tc.kill(tc.nodes[7])
		waitFor(t, maxStaleLookup, "no instance lists the terminated one", func() bool {
			for _, n := range tc.nodes {
				for _, in := range n.Instances() {
					if in.ID == "instance-007" {
						return false
					}
				}
			}
			return true
		})
	})
}

// takeReaders returns the instances that have read a feed since the last call, and
// resets the counts.
func (r *fakeFeedStore) takeReaders() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id := range r.reads {
		ids = append(ids, id)
	}
	r.reads = map[string]int{}
	return ids
}

func TestOnlyFeedReadersReadTheFeeds(t *testing.T) {
	runWithFeeds(t, 12, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		time.Sleep(2 * (feedPollWait + feedPollGrace))
		r.takeReaders()
		for i := range 10 {
			r.setTarget(fmt.Sprintf("n%d", i), true)
			waitFor(t, maxApplyDelay, "new target in force at all instances", func() bool { return tc.allHaveTarget(fmt.Sprintf("n%d", i), true) })
			time.Sleep(time.Second)
		}
		if got := r.takeReaders(); len(got) > feedReaders {
			t.Errorf("%v have read the feeds, want at most %d instances of a cell", got, feedReaders)
		}
	})
}

// TestManyChangesNeedFewReads guards against one read of the feed per change when
// many targets start or stop together.
func TestManyChangesNeedFewReads(t *testing.T) {
	const changes, gap = 300, 10 * time.Millisecond
	runWithFeeds(t, 5, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		time.Sleep(2 * (feedPollWait + feedPollGrace))
		r.takeReaders()
		for i := range changes {
			r.setTarget(fmt.Sprintf("n%d", i), true)
			time.Sleep(gap)
		}
		last := fmt.Sprintf("n%d", changes-1)
		took := waitFor(t, maxApplyDelay, "last target in force at all instances", func() bool { return tc.allHaveTarget(last, true) })
		t.Logf("the last of %d changes is in force at all instances after %v", changes, took)
		r.mu.Lock()
		defer r.mu.Unlock()
		reads := 0
		for _, n := range r.reads {
			reads += n
		}
		if limit := feedReaders * changes / 10; reads > limit {
			t.Errorf("%d reads of the feeds for %d changes, want at most %d", reads, changes, limit)
		}
	})
}

func TestChangesArriveAfterFeedReadersTerminate(t *testing.T) {
	runWithFeeds(t, 8, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		time.Sleep(2 * (feedPollWait + feedPollGrace))
		r.takeReaders()
		time.Sleep(feedPollWait + feedPollGrace)
		for _, id := range r.takeReaders() {
			for _, n := range tc.nodes {
				if n.addr == id {
					tc.kill(n)
					break
				}
			}
		}
		r.setTarget("t2", true)
		// The termination of the feed readers must be detected first.
		waitFor(t, maxStaleLookup, "new target in force at all instances", func() bool { return tc.allHaveTarget("t2", true) })
	})
}

// TestChangesReachARegionWhoseReadersAreCutOff checks that changes reach a region
// in time when the store stops responding to the region's feed readers, while it
// still responds to the other region.
func TestChangesReachARegionWhoseReadersAreCutOff(t *testing.T) {
	for seed := range uint64(20) {
		virtualtime.Test(t, func(t *testing.T) {
			tc, r := newTestCluster(seed), newFakeFeedStore()
			defer tc.stop()
			tc.feeds = func(id string) []platform.Feed {
				return []platform.Feed{fakeFeed{r, catalog.Operators, id}, fakeFeed{r, catalog.Targets, id}}
			}
			for i := range 8 {
				tc.cell = []string{"osrednja", "primorska"}[i%2]
				tc.start(fmt.Sprintf("instance-%03d", i), tc.cell+"-a")
			}
			time.Sleep(2 * (feedPollWait + feedPollGrace))
			r.takeReaders()
			time.Sleep(feedPollWait + feedPollGrace + time.Duration(seed)*50*time.Millisecond)
			for _, id := range r.takeReaders() {
				if id[len(id)-1]%2 == 0 {
					r.setUnresponsive(id, true)
				}
			}
			time.Sleep(500 * time.Millisecond)
			r.setTarget("t2", true)
			waitFor(t, maxApplyDelay, "new target in force at all instances", func() bool { return tc.allHaveTarget("t2", true) })
		})
	}
}

func TestStopLogsNoFeedFailure(t *testing.T) {
	core, lines := observer.New(zap.WarnLevel)
	virtualtime.Test(t, func(t *testing.T) {
		tc, r := newTestCluster(1), newFakeFeedStore()
		tc.log = zap.New(core)
		tc.feeds = func(id string) []platform.Feed {
			return []platform.Feed{fakeFeed{r, catalog.Operators, id}, fakeFeed{r, catalog.Targets, id}}
		}
		startAll(tc, 1, 1)
		time.Sleep(3 * time.Second)
		tc.stop()
	})
	for _, l := range lines.All() {
		t.Errorf("unexpected log line %q during a regular stop", l.Message)
	}
}
