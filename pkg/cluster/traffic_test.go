package cluster

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/decision/departure"
	"github.com/jacinthramp/jacinthramp/pkg/decision/poison"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spread"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
)

const (
	// controlBudget is the limit of control traffic, sent and received, in bytes
	// per second and instance.
	controlBudget = 5000
	// regionSize is the number of instances in a region of the users' current
	// deployment.
	regionSize = 24
	// settleTime is how long a region needs after the start until its traffic is
	// constant, and measureSpan is how long traffic is then measured.
	settleTime, measureSpan = 20 * time.Second, 20 * time.Second
)

// measureControlTraffic waits for settleTime and then measures the bytes per
// second that the instances send and receive: the mean, and the most of one
// instance.
func measureControlTraffic(tc *testCluster) (mean, busiest float64) {
	time.Sleep(settleTime)
	tc.net.measureFrames.Store(true)
	tc.net.mu.Lock()
	before := maps.Clone(tc.net.byAddr)
	tc.net.mu.Unlock()
	time.Sleep(measureSpan)
	tc.net.mu.Lock()
	defer tc.net.mu.Unlock()
	for a, v := range tc.net.byAddr {
		rate := float64(v-before[a]) / measureSpan.Seconds()
		mean += rate / float64(len(tc.nodes))
		busiest = max(busiest, rate)
	}
	return mean, busiest
}

func TestControlTrafficOfRegionWithinBudget(t *testing.T) {
	sizes := []int{regionSize}
	if *measure != "" {
		sizes = measuredSizes(t)
	}
	for _, n := range sizes {
		runWithFeeds(t, n, func(t *testing.T, tc *testCluster, _ *fakeFeedStore) {
			mean, busiest := measureControlTraffic(tc)
			t.Logf("| %d | %.1f kB/s | %.1f kB/s |", n, mean/1000, busiest/1000)
			if *measure == "" && mean > controlBudget {
				t.Errorf("%d instances send and receive %.0f bytes per second each, more than the budget", n, mean)
			}
		})
	}
}

// TestIdleHeartbeatsGoOnlyToWatchers guards against probes of live members: a
// member that is known only from the watchers' reports must not count as
// suspected or overdue.
func TestIdleHeartbeatsGoOnlyToWatchers(t *testing.T) {
	const perHeartbeat = 2 // messages: a request and its reply
	runWithFeeds(t, regionSize, func(t *testing.T, tc *testCluster, _ *fakeFeedStore) {
		time.Sleep(settleTime)
		before := tc.net.messages.Load()
		time.Sleep(measureSpan)
		interval := time.Duration(0.9 * float64(DefaultTiming().HeartbeatInterval)) // the shortest that jitter allows
		limit := int64(measureSpan/interval+1) * spread.WatchersPerCell * perHeartbeat * regionSize
		if sent := tc.net.messages.Load() - before; sent > limit {
			t.Errorf("%d messages sent; heartbeats to the watchers account for at most %d", sent, limit)
		}
	})
}

// lossyCore is a Core that only keeps poison records. The tests record lost
// responses of ever new requests in it.
type lossyCore struct {
	*poison.Tracker
	noRateLimits
}

func (lossyCore) SetShares(time.Time, steer.Shares)           {}
func (lossyCore) Demand() steer.Demand                        { return steer.Demand{} }
func (lossyCore) Summaries(time.Time) []steer.ZoneSummary     { return nil }
func (c lossyCore) PoisonRecords(t time.Time) []poison.Record { return c.Export(t) }

func (lossyCore) LeavingRecords(time.Time, departure.Source, []departure.Record) []departure.Record {
	return nil
}

func (lossyCore) MergeLeaving(time.Time, departure.Source, string, []departure.Record) {}

// MergePoison merges poison records of other instances.
func (c lossyCore) MergePoison(now time.Time, recs []poison.Record) { c.Merge(now, recs) }

// TestControlTrafficWithinBudgetWhileResponsesAreLost guards against poison
// records that use up the budget: each instance loses ten responses per second.
func TestControlTrafficWithinBudgetWhileResponsesAreLost(t *testing.T) {
	runWithFeeds(t, regionSize, func(t *testing.T, tc *testCluster, _ *fakeFeedStore) {
		ctx, stop := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		defer wg.Wait()
		defer stop()
		for i, n := range tc.nodes {
			core := lossyCore{Tracker: poison.New(n.addr)}
			n.attach(core)
			wg.Go(func() {
				for k := 1; sleep(ctx, 100*time.Millisecond, nil); k++ {
					core.RecordLoss(time.Now(), uint64(i*1_000_000+k), fmt.Sprintf("t%d", k), false)
				}
			})
		}
		mean, busiest := measureControlTraffic(tc)
		t.Logf("mean %.1f kB/s, busiest %.1f kB/s", mean/1000, busiest/1000)
		if mean > controlBudget {
			t.Errorf("instances send and receive %.0f bytes per second each, more than the budget", mean)
		}
	})
}

// TestTargetChangeTrafficWithinBudget measures the bytes that an instance sends
// and receives for each change of a target.
func TestTargetChangeTrafficWithinBudget(t *testing.T) {
	const perSecond = 10
	runWithFeeds(t, regionSize, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		idle, _ := measureControlTraffic(tc)
		ctx, stop := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		defer wg.Wait()
		defer stop()
		wg.Go(func() {
			for k := 0; sleep(ctx, time.Second/perSecond, nil); k++ {
				r.setTarget(fmt.Sprintf("target-%04d", k), true)
			}
		})
		mean, busiest := measureControlTraffic(tc)
		t.Logf("idle %.0f B/s, with %d changes per second %.0f B/s, %.0f B per change; busiest %.0f B/s", idle, perSecond, mean, (mean-idle)/perSecond, busiest)
		if cost := (mean - idle) / perSecond; cost > maxChangeBytes {
			t.Errorf("a change of a target takes %.0f bytes per instance, more than its budget", cost)
		}
	})
}

// maxChangeBytes is the limit of bytes per instance for one change of a target.
// It lets ten changes per second use half of controlBudget.
const maxChangeBytes = controlBudget / 2 / 10
