package cluster

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/capacity"
	"github.com/jacinthramp/jacinthramp/test/virtualtime"
)

// slopesFile is the flag for the file to write the measured slopes to.
var slopesFile = flag.String("slopes", "", "slopes file to write")

// resourceUse is what one test cluster used on average or at most.
type resourceUse struct {
	writes  float64 // to the store, per second
	busiest float64 // bytes per second, sent and received by the busiest instance
	inForce float64 // seconds from acceptance to in force at the last instance
}

// measureUse runs n instances in the given number of zones and measures their use.
func measureUse(t *testing.T, n, zones int) (use resourceUse) {
	virtualtime.Test(t, func(t *testing.T) {
		tc := startSettled(t, uint64(n), n, zones, 0)
		defer tc.stop()
		tc.net.mu.Lock()
		clear(tc.net.byAddr)
		tc.net.mu.Unlock()
		writes := tc.store.writes()
		const span = 20 * time.Second
		time.Sleep(span)
		use.writes = float64(tc.store.writes()-writes) / span.Seconds()
		tc.net.mu.Lock()
		for _, v := range tc.net.byAddr {
			use.busiest = max(use.busiest, float64(v)/span.Seconds())
		}
		tc.net.mu.Unlock()
		for v := range uint64(5) {
			tc.store.accept(testTables(v+2, zones))
			for _, d := range propagationTimes(tc, v+2, time.Minute) {
				use.inForce = max(use.inForce, d.Seconds())
			}
			time.Sleep(1700 * time.Millisecond)
		}
	})
	return use
}

// churnWrites returns the number of writes for the given number of starts and
// terminations of instances, beyond the writes of an idle zone in the same time.
func churnWrites(t *testing.T, starts int) (extra float64) {
	virtualtime.Test(t, func(t *testing.T) {
		tc := startSettled(t, 5, 4, 1, 0)
		defer tc.stop()
		writes := func(span time.Duration) float64 {
			before := tc.store.writes()
			time.Sleep(span)
			return float64(tc.store.writes() - before)
		}
		const span = 60 * time.Second
		idle := writes(span)
		before := tc.store.writes()
		for i := range starts {
			n := tc.start(fmt.Sprintf("late-%d", i), zoneName(0, 1))
			time.Sleep(span / time.Duration(2*starts))
			tc.kill(n)
			time.Sleep(span / time.Duration(2*starts))
		}
		extra = float64(tc.store.writes()-before) - idle
	})
	return extra
}

func TestSlopes(t *testing.T) {
	sizes, zones, starts := []int{2, 4}, []int{1, 2}, 1
	if *slopesFile != "" {
		sizes, zones, starts = []int{2, 8, 16, 32, 64}, []int{1, 3, 6, 12}, 2
	}
	var inForce, heartbeat, ledger []capacity.Point
	for _, n := range sizes {
		u := measureUse(t, n, 1)
		inForce = append(inForce, capacity.Point{X: float64(n), Y: u.inForce})
		heartbeat = append(heartbeat, capacity.Point{X: float64(n), Y: u.busiest})
	}
	for _, z := range zones {
		ledger = append(ledger, capacity.Point{X: float64(z), Y: measureUse(t, 2*z, z).writes})
	}
	var churn []capacity.Point
	for _, n := range []int{starts, 2 * starts} {
		churn = append(churn, capacity.Point{X: float64(2 * n), Y: churnWrites(t, n)})
	}
	slopes := capacity.Slopes{}
	add := func(name, unit, what string, points []capacity.Point) {
		l := capacity.Fit(points)
		slopes[name] = capacity.Slope{
			Name: name, Unit: unit, Measured: true, Intercept: l.Intercept, Slope: l.Slope, Low: l.Slope, High: l.Slope, Runs: 1,
			Points: points, Note: what + "; virtual time, no loss, decisions not attached",
			Command: "go test ./pkg/cluster -run TestSlopes -args -slopes ../../docs/capacity/slopes-shared.yaml",
		}
		t.Logf("%s: %v", name, l)
	}
	add("in_force_seconds", "s a daemon of the zone", "the largest of 5 edits", inForce)
	add("heartbeat_bytes_per_s", "B/s a daemon of the zone", "all messages of the busiest watcher, both ways", heartbeat)
	add("ledger_writes_per_s", "writes/s a zone", "two instances a zone", ledger)
	add("churn_writes", "writes a start or end of an instance", "registration, row and reclaim", churn)
	if w := slopes["ledger_writes_per_s"].Slope; w > 1 {
		t.Errorf("a zone makes %.2f writes per second, want at most 1", w)
	}
	if *slopesFile == "" {
		return
	}
	data, err := slopes.Format()
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(*slopesFile, data, 0o644); err != nil {
		t.Fatal(err)
	}
}
