package cluster

import (
	"slices"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
)

// routeTimeouts returns the timeouts of the routes in force at the instance.
func (n *testNode) routeTimeouts() []time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []time.Duration
	for _, r := range n.Tables().Routes {
		out = append(out, r.Timeout.Std())
	}
	return out
}

// TestInstancesHoldOneConfigurationAfterARestore starts an instance after the store was
// restored from a copy with an older configuration, which the others don't go back to, and
// then writes a version: patches of it must not mix the two.
func TestInstancesHoldOneConfigurationAfterARestore(t *testing.T) {
	const routes = 10
	runWithFeeds(t, 5, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		time.Sleep(settleTime)
		r.write(largeConfig(2, routes))
		waitFor(t, time.Minute, "version 2 in force", func() bool { return tc.configInForce(2) })
		older := r.copy()
		r.write(largeConfig(3, routes))
		waitFor(t, time.Minute, "version 3 in force", func() bool { return tc.configInForce(3) })
		r.restore(older)
		time.Sleep(500 * time.Millisecond)
		tc.start("instance-099", "zone-09")
		time.Sleep(3 * time.Second)
		r.write(largeConfig(4, routes))
		waitFor(t, time.Minute, "version 4 in force", func() bool { return tc.configInForce(4) })
		time.Sleep(time.Second)
		var want []time.Duration
		for _, route := range largeConfig(4, routes).Config.Routes {
			want = append(want, route.Timeout.Std())
		}
		want[0] = tc.nodes[0].routeTimeouts()[0] // the first route states none
		for _, n := range tc.nodes {
			if got := n.routeTimeouts(); !slices.Equal(got, want) {
				t.Errorf("%s has timeouts %v, want %v", n.self.ID, got, want)
			}
		}
	})
}

// TestPatchesPassThroughRelays writes versions in a region with relays, some of them while
// the one before is being delivered.
func TestPatchesPassThroughRelays(t *testing.T) {
	const routes, last = 10, 8
	size := leaveBounds[2]
	runWithFeeds(t, size.instances, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		time.Sleep(settleTime)
		for version := uint64(2); version <= last; version++ {
			r.write(largeConfig(version, routes))
			time.Sleep(time.Duration(version%3) * 200 * time.Millisecond)
		}
		if took := waitFor(t, time.Minute, "the last version in force", func() bool { return tc.configInForce(last) }); took > size.bound {
			t.Errorf("in force everywhere after %v, allowed are %v", took, size.bound)
		}
		time.Sleep(time.Second)
		want := tc.nodes[0].routeTimeouts()
		if got := want[last%routes]; got != last*time.Second {
			t.Errorf("the route that version %d changes has the timeout %v", last, got)
		}
		for _, n := range tc.nodes {
			if got := n.routeTimeouts(); !slices.Equal(got, want) {
				t.Errorf("%s has timeouts %v, want %v", n.self.ID, got, want)
			}
		}
		if tc.net.sent(instance.MethodAnnouncePatch) == 0 {
			t.Error("no patch was sent")
		}
	})
}
