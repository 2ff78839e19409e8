package cluster

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/decision/poison"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spread"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
)

const (
	// controlBudget is what control traffic may cost an instance, in bytes a
	// second.
	controlBudget = 5000
	// regionSize is the number of instances of a region at the users' present
	// size.
	regionSize = 24
	// settleTime lets a region come to rest, and measureSpan is measured.
	settleTime, measureSpan = 20 * time.Second, 20 * time.Second
)

// measureControlTraffic returns the bytes a second that the instances send and receive
// at rest: the mean, and those of the busiest.
func measureControlTraffic(b *testCluster) (mean, busiest float64) {
	time.Sleep(settleTime)
	b.net.measureFrames.Store(true)
	b.net.mu.Lock()
	before := maps.Clone(b.net.byAddr)
	b.net.mu.Unlock()
	time.Sleep(measureSpan)
	b.net.mu.Lock()
	defer b.net.mu.Unlock()
	for a, v := range b.net.byAddr {
		rate := float64(v-before[a]) / measureSpan.Seconds()
		mean += rate / float64(len(b.nodes))
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
		runWithFeeds(t, n, func(t *testing.T, b *testCluster, _ *fakeFeedStore) {
			mean, busiest := measureControlTraffic(b)
			t.Logf("| %d | %.1f kB/s | %.1f kB/s |", n, mean/1000, busiest/1000)
			if *measure == "" && mean > controlBudget {
				t.Errorf("%d instances send and receive %.0f bytes a second each", n, mean)
			}
		})
	}
}

// TestIdleHeartbeatsGoOnlyToWatchers holds that nobody takes a member that
// it hears of through the watchers for a silent one.
func TestIdleHeartbeatsGoOnlyToWatchers(t *testing.T) {
	const perHeartbeat = 2 // messages: a request and its answer
	runWithFeeds(t, regionSize, func(t *testing.T, b *testCluster, _ *fakeFeedStore) {
		time.Sleep(settleTime)
		before := b.net.messages.Load()
		time.Sleep(measureSpan)
		interval := time.Duration(0.9 * float64(DefaultTiming().HeartbeatInterval)) // the shortest, with its jitter
		most := int64(measureSpan/interval+1) * spread.Watchers * perHeartbeat * regionSize
		if sent := b.net.messages.Load() - before; sent > most {
			t.Errorf("%d messages, where heartbeats to the watchers make %d at most", sent, most)
		}
	})
}

// lossyCore stands for the decisions of an instance that loses answers of
// ever other requests.
type lossyCore struct{ *poison.Register }

func (lossyCore) SetShares(time.Time, steer.Shares)           {}
func (lossyCore) Demand() steer.Demand                        { return steer.Demand{} }
func (lossyCore) Summaries(time.Time) []steer.ZoneSummary     { return nil }
func (c lossyCore) PoisonRecords(t time.Time) []poison.Record { return c.Export(t) }

// MergePoison takes in the records of others.
func (c lossyCore) MergePoison(now time.Time, recs []poison.Record) { c.Merge(now, recs) }

// TestControlTrafficWithinBudgetWhileResponsesAreLost has each instance lose
// ten answers a second.
func TestControlTrafficWithinBudgetWhileResponsesAreLost(t *testing.T) {
	runWithFeeds(t, regionSize, func(t *testing.T, b *testCluster, _ *fakeFeedStore) {
		ctx, stop := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		defer wg.Wait()
		defer stop()
		for i, n := range b.nodes {
			core := lossyCore{poison.New(n.addr)}
			n.attach(core)
			wg.Go(func() {
				for k := 1; sleep(ctx, 100*time.Millisecond, nil); k++ {
					core.Lost(time.Now(), uint64(i*1_000_000+k), fmt.Sprintf("t%d", k), false)
				}
			})
		}
		mean, busiest := measureControlTraffic(b)
		t.Logf("mean %.1f kB/s, busiest %.1f kB/s", mean/1000, busiest/1000)
		if mean > controlBudget {
			t.Errorf("instances send and receive %.0f bytes a second each", mean)
		}
	})
}

// TestTargetChangeTrafficWithinBudget measures what an instance sends and receives
// for each change of a target.
func TestTargetChangeTrafficWithinBudget(t *testing.T) {
	const perSecond = 10
	runWithFeeds(t, regionSize, func(t *testing.T, b *testCluster, r *fakeFeedStore) {
		rest, _ := measureControlTraffic(b)
		ctx, stop := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		defer wg.Wait()
		defer stop()
		wg.Go(func() {
			for k := 0; sleep(ctx, time.Second/perSecond, nil); k++ {
				r.setTarget(fmt.Sprintf("target-%04d", k), true)
			}
		})
		mean, busiest := measureControlTraffic(b)
		t.Logf("at rest %.0f B/s, with %d changes a second %.0f B/s, %.0f B a change; busiest %.0f B/s", rest, perSecond, mean, (mean-rest)/perSecond, busiest)
		if cost := (mean - rest) / perSecond; cost > maxChangeBytes {
			t.Errorf("a change costs an instance %.0f bytes", cost)
		}
	})
}

// maxChangeBytes is what a change of a target may cost an instance, so that ten a
// second stay within half of the budget.
const maxChangeBytes = controlBudget / 2 / 10
