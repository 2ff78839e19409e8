package cluster

import (
	"testing"
	"time"
)

// highestConfigs records the highest number of a configuration in force at each instance.
type highestConfigs map[*testNode]uint64

// checkNoneGoesBack fails if an instance has a configuration of a lower number than before.
func (h highestConfigs) checkNoneGoesBack(t *testing.T, tc *testCluster) {
	t.Helper()
	for _, n := range tc.nodes {
		tables := n.Tables()
		if tables == nil {
			continue
		}
		if tables.ConfigVersion < h[n] {
			t.Fatalf("%s has gone back from configuration %d to %d", n.self.ID, h[n], tables.ConfigVersion)
		}
		h[n] = tables.ConfigVersion
	}
}

// TestConfigsWrittenAgainAfterARestoreDoNotGoBack guards against requests that are handled as
// an older configuration says while the operators write theirs again, one after the other. An
// instance that restarts meanwhile must learn the latest one from the others.
func TestConfigsWrittenAgainAfterARestoreDoNotGoBack(t *testing.T) {
	const routes = 10
	for _, n := range []int{2, 5, leaveBounds[2].instances} {
		for _, pause := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, time.Second} {
			runWithFeeds(t, n, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
				time.Sleep(settleTime)
				r.write(largeConfig(2, routes))
				waitFor(t, maxFeedDelay, "version 2 in force", func() bool { return tc.configInForce(2) })
				older := r.copy()
				lost := []uint64{3, 5, 8}
				for _, number := range lost {
					r.write(largeConfig(number, routes))
				}
				waitFor(t, maxFeedDelay, "version 8 in force", func() bool { return tc.configInForce(8) })
				restarted := tc.nodes[n-1]
				tc.kill(restarted)
				r.restore(older)
				tc.start(restarted.self.ID, restarted.cfg.Self.Zone)
				highest, written := highestConfigs{}, 0
				for began := time.Now(); time.Since(began) < time.Second+3*pause+maxFeedDelay; time.Sleep(10 * time.Millisecond) {
					if written < len(lost) && time.Since(began) >= time.Second+time.Duration(written)*pause {
						r.write(largeConfig(lost[written], routes))
						written++
					}
					highest.checkNoneGoesBack(t, tc)
				}
				if !tc.configInForce(8) {
					t.Errorf("%d instances, %v apart: configuration 8 is not in force everywhere", n, pause)
				}
			})
		}
	}
}
