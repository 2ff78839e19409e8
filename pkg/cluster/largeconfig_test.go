package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// linkRate is the rate of a small instance's link, 10 Mbit/s, in bytes per second.
const linkRate = 10e6 / 8

// fakeLinks are the links of instances that share linkRate among their transfers.
type fakeLinks struct {
	mu     sync.Mutex
	active map[string]int
}

// transfer takes the time of a transfer of size bytes, unless ctx ends first.
func (l *fakeLinks) transfer(ctx context.Context, size int, from, to string) error {
	const step = 10 * time.Millisecond
	l.add(from, to, 1)
	defer l.add(from, to, -1)
	for left := float64(size); left > 0; left -= step.Seconds() * l.share(from, to) {
		if left < step.Seconds()*l.share(from, to) {
			break
		}
		if !sleep(ctx, step, nil) {
			return fault.Wrap(fault.KindPeerUnavailable, ctx.Err(), "transfer not completed")
		}
	}
	return nil
}

// add changes the number of transfers in progress.
func (l *fakeLinks) add(from, to string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active[from] += n
	l.active[to] += n
}

// share returns the rate of one transfer.
func (l *fakeLinks) share(from, to string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return linkRate / float64(max(l.active[from], l.active[to], 1))
}

// largeConfig returns a version of a configuration with n routes, of which version sets the
// timeout of one. The names hardly compress.
func largeConfig(version uint64, n int) catalog.Entry {
	e, rnd := configEntry(version), rand.New(rand.NewPCG(46, 1))
	name := func() string { return strconv.FormatUint(rnd.Uint64()>>24, 36) }
	for range n {
		e.Config.Routes = append(e.Config.Routes, table.Route{
			Name: "r-" + name(), Host: name() + ".example", PathPrefix: "/" + name() + "/",
			Idempotency: table.IdempotentAlways, MaxAttempts: 2, Timeout: table.Duration(time.Second),
			Pools: []table.PoolWeight{{Pool: "feedlog", Weight: 1}},
		})
	}
	e.Config.Routes[int(version)%n].Timeout = table.Duration(time.Duration(version) * time.Second)
	return e
}

// TestVersionsOfALargeConfigurationAreInForceInTime adds 1,400 routes twice and then makes
// small changes, in a region whose links carry 10 Mbit/s.
func TestVersionsOfALargeConfigurationAreInForceInTime(t *testing.T) {
	routes := []int{1400, 2800, 2800, 2800, 2800}
	size := leaveBounds[1]
	runWithWrappedFeeds(t, size.instances, overSlowLink, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		time.Sleep(settleTime / 2)
		tc.net.mu.Lock()
		tc.net.links = &fakeLinks{active: map[string]int{}}
		tc.net.mu.Unlock()
		for i, n := range routes {
			version := uint64(i + 2)
			r.write(largeConfig(version, n))
			took := waitFor(t, time.Minute, fmt.Sprintf("version %d in force at all instances", version), func() bool { return tc.configInForce(version) })
			if took > size.bound {
				t.Errorf("version %d was in force everywhere after %v, allowed are %v", version, took, size.bound)
			}
			time.Sleep(time.Second)
		}
	})
}

// TestFeedReaderHasAFastLink covers a region in which few instances have a fast link: the
// first one in rank order, which reads the feeds for all others, must be one of them.
func TestFeedReaderHasAFastLink(t *testing.T) {
	fast := []string{"instance-003", "instance-017"}
	prepare := func(tc *testCluster) {
		tc.linkMbps = func(id string) int {
			if slices.Contains(fast, id) {
				return 200
			}
			return 10
		}
	}
	runPreparedWithFeeds(t, 28, prepare, func(t *testing.T, tc *testCluster, _ *fakeFeedStore) {
		time.Sleep(settleTime)
		for _, n := range tc.nodes {
			n.mu.Lock()
			first := n.currentTree(time.Now()).First(len(fast))
			n.mu.Unlock()
			for _, id := range first {
				if !slices.Contains(fast, id) {
					t.Errorf("%s ranks %v first, want %v", n.self.ID, first, fast)
				}
			}
		}
	})
}

// TestSmallChangeOfALargeConfigurationIsSmall counts what instances send each other for the
// change of one route of 2,800.
func TestSmallChangeOfALargeConfigurationIsSmall(t *testing.T) {
	const routes, maxBytes = 2800, 4 << 10 // for each instance
	runWithFeeds(t, 5, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		time.Sleep(settleTime / 2)
		r.write(largeConfig(2, routes))
		waitFor(t, time.Minute, "version 2 in force at all instances", func() bool { return tc.configInForce(2) })
		time.Sleep(3 * time.Second)
		before := tc.net.sent(instance.MethodAnnounce, instance.MethodAnnouncePatch, instance.MethodCatalog)
		r.write(largeConfig(3, routes))
		waitFor(t, time.Minute, "version 3 in force at all instances", func() bool { return tc.configInForce(3) })
		time.Sleep(time.Second)
		sent := tc.net.sent(instance.MethodAnnounce, instance.MethodAnnouncePatch, instance.MethodCatalog) - before
		if sent > maxBytes*int64(len(tc.nodes)) {
			t.Errorf("%d instances have sent %d bytes for the change of one route, allowed are %d each", len(tc.nodes), sent, maxBytes)
		}
	})
}

// sent returns the bytes sent by calls of the methods and their replies.
func (n *fakeNet) sent(methods ...instance.Method) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := int64(0)
	for _, m := range methods {
		sum += n.byMethod[m]
	}
	return sum
}
