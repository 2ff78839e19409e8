package cluster

import (
	"flag"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
	"github.com/jacinthramp/jacinthramp/test/virtualtime"
)

// measure is the flag for the sizes to measure at; see docs/MEASUREMENTS.md.
var measure = flag.String("measure", "", "numbers of instances to measure at, such as 11,50,100,200,300")

// measuredSizes returns the sizes given by the flag, or the smallest.
func measuredSizes(t *testing.T) []int {
	if *measure == "" {
		return []int{11}
	}
	var sizes []int
	for _, s := range strings.Split(*measure, ",") {
		n, err := strconv.Atoi(s)
		if err != nil {
			t.Fatal(err)
		}
		sizes = append(sizes, n)
	}
	return sizes
}

const measuredZones = 6

// Bounds on the time from the acceptance of a version until it is in force at all
// instances.
const (
	inForceSmall = 2 * time.Second // 11 instances
	inForceLarge = 5 * time.Second // 300 instances
)

// startSettled returns a test cluster of n instances that has run for ten seconds
// after version 1 was in force.
func startSettled(t *testing.T, seed uint64, n, zones int, loss float64) *testCluster {
	tc := newTestCluster(seed)
	tc.net.loss = loss
	tc.store.accept(testTables(1, zones))
	startAll(tc, n, zones)
	waitFor(t, time.Minute, "version 1 in force", func() bool { return tc.allInForce(1) })
	time.Sleep(10 * time.Second)
	return tc
}

// propagationTimes returns the time after which version was in force at each
// instance, or limit for those that did not have it by then.
func propagationTimes(tc *testCluster, version uint64, limit time.Duration) []time.Duration {
	begin := time.Now()
	left := slices.Clone(tc.nodes)
	var took []time.Duration
	for len(left) > 0 && time.Since(begin) < limit {
		left = slices.DeleteFunc(left, func(n *testNode) bool {
			done := n.Tables().Version >= version
			if done {
				took = append(took, time.Since(begin))
			}
			return done
		})
		time.Sleep(10 * time.Millisecond)
	}
	for range left {
		took = append(took, limit)
	}
	return took
}

// quantile returns the q-quantile of durations in ascending order.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func TestTimeToInForce(t *testing.T) {
	losses, edits := []int{20}, 5
	if *measure != "" {
		losses, edits = []int{0, 5, 20}, 12
	}
	for _, n := range measuredSizes(t) {
		for _, loss := range losses {
			virtualtime.Test(t, func(t *testing.T) {
				tc := startSettled(t, uint64(n+loss), n, measuredZones, float64(loss)/100)
				defer tc.stop()
				var all []time.Duration
				for i := range edits {
					time.Sleep(time.Duration(1700+137*i) * time.Millisecond)
					v := uint64(i + 2)
					tc.store.accept(testTables(v, measuredZones))
					all = append(all, propagationTimes(tc, v, time.Minute)...)
				}
				slices.Sort(all)
				p50, p99, most := quantile(all, 0.5), quantile(all, 0.99), all[len(all)-1]
				t.Logf("| %d | %d %% | %v | %v | %v |", n, loss, p50, p99, most)
				bound := inForceLarge
				if n == 11 {
					bound = inForceSmall
				}
				if p99 > bound {
					t.Errorf("%d instances, %d %% of messages lost: p99 of the time to in force is %v, above %v", n, loss, p99, bound)
				}
			})
		}
	}
}

func TestTimeToInForceOverAnOutage(t *testing.T) {
	const outage = 10 * time.Second
	for _, n := range measuredSizes(t) {
		for _, beforeOutage := range []time.Duration{150 * time.Millisecond, 0} {
			virtualtime.Test(t, func(t *testing.T) {
				tc := startSettled(t, uint64(n), n, measuredZones, 0.05)
				defer tc.stop()
				tc.store.accept(testTables(2, measuredZones))
				time.Sleep(beforeOutage)
				tc.store.setDown(true)
				time.AfterFunc(outage, func() { tc.store.setDown(false) })
				took := propagationTimes(tc, 2, time.Minute)
				slices.Sort(took)
				most := took[len(took)-1] + beforeOutage
				t.Logf("| %d | down %v after the acceptance, for %v | %v | %v |", n, beforeOutage, outage, quantile(took, 0.5)+beforeOutage, most)
				if most > outage+10*time.Second {
					t.Errorf("in force at all instances only %v after the acceptance", most)
				}
			})
		}
	}
}

func TestUseOfStoreAndNetwork(t *testing.T) {
	const span = 30 * time.Second
	for _, n := range measuredSizes(t) {
		virtualtime.Test(t, func(t *testing.T) {
			tc := startSettled(t, uint64(n), n, measuredZones, 0)
			defer tc.stop()
			tc.net.measureFrames.Store(true)
			reads, writes := tc.store.reads(), tc.store.writes()
			messages, bytes := tc.net.messages.Load(), tc.net.bytes.Load()
			tc.net.mu.Lock()
			before, methods := maps.Clone(tc.net.byAddr), maps.Clone(tc.net.byMethod)
			tc.net.mu.Unlock()
			time.Sleep(span)
			tc.net.mu.Lock()
			defer tc.net.mu.Unlock()
			var most int64
			for a, v := range tc.net.byAddr {
				most = max(most, v-before[a])
			}
			rate := func(v int64) float64 { return float64(v) / span.Seconds() }
			readRate, writeRate := rate(tc.store.reads()-reads), rate(tc.store.writes()-writes)
			t.Logf("| %d | %.1f | %.2f | %.1f | %.0f | %.0f |", n, readRate, writeRate,
				rate(tc.net.messages.Load()-messages)/float64(n), 2*rate(tc.net.bytes.Load()-bytes)/float64(n), rate(most))
			for _, m := range []instance.Method{instance.MethodHeartbeat, instance.MethodZone} {
				t.Logf("%d instances, %s: %.0f B/s per instance", n, m, 2*rate(tc.net.byMethod[m]-methods[m])/float64(n))
			}
			if readRate > 100 || writeRate > 2*measuredZones {
				t.Errorf("%d instances make %.1f reads and %.2f writes per second, more than their limits", n, readRate, writeRate)
			}
		})
	}
}

func TestTimeToServeAndToReclaim(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		tc := startSettled(t, 9, 3, 1, 0)
		defer tc.stop()
		served := func(n *testNode) func() bool {
			return func() bool {
				return n.Tables() != nil && len(n.Shares().Slots) > 0 && time.Now().Before(n.Shares().Expires)
			}
		}
		late := tc.start("late-1", zoneName(0, 1))
		t.Logf("| start to serving, store up | %v |", waitFor(t, time.Second, "serving", served(late)))
		time.Sleep(10 * time.Second)
		tc.kill(late)
		t.Logf("| killed, connections refused, to its shares in use | %v |",
			waitFor(t, 10*time.Second, "reclaimed", func() bool { return tc.usableShares("feedlog-0") == 4 && tc.usableShares("feedlog-1") == 4 }))
		// By then the others have recorded that late is no longer a witness; see
		// ledger.md.
		time.Sleep(10 * time.Second)
		lost := tc.nodes[0]
		tc.net.mu.Lock()
		tc.net.cut = func(from, to string) bool { return from == lost.addr || to == lost.addr }
		tc.net.mu.Unlock()
		lost.cancel()
		lost.wg.Wait()
		tc.nodes = tc.nodes[1:]
		t.Logf("| machine lost without a sign, to its shares in use | %v |",
			waitFor(t, 40*time.Second, "reclaimed", func() bool { return tc.usableShares("feedlog-0") == 4 && tc.usableShares("feedlog-1") == 4 }))
	})
}
