package node

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// getJSON gets path from inst's admin listener, decodes the response into out if it is
// successful, and returns the status code.
func getJSON(t *testing.T, inst *testInstance, path string, out any) int {
	t.Helper()
	resp, body := get(t, "http://"+inst.self.AdminAddress+path)
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal([]byte(body), out); err != nil {
			t.Fatal(err)
		}
	}
	return resp.StatusCode
}

func TestExplainAndStatusDescribePool(t *testing.T) {
	inst := startInstance(t, "a", "osrednja-a")
	inst.run(t, oneTarget(startTarget(t, echo), "osrednja-a"))
	name := inst.cluster.Tables().Routes[0].Name
	pool := inst.cluster.Tables().Pools[0].Name
	var e wire.Explanation
	if code := getJSON(t, inst, wire.PathExplain+"?route="+name, &e); code != http.StatusOK || e.Verdict != "dispatch" || e.Pool != pool || e.Target == "" {
		t.Fatalf("status %d, explanation %+v", code, e)
	}
	if e.Version != 1 || len(e.Pools) != 1 || e.Pools[0].Share != 1 || e.Pools[0].Targets[0].Share == 0 {
		t.Fatalf("version, pools or shares are wrong in explanation %+v", e)
	}
	if code := getJSON(t, inst, wire.PathExplain+"?path=/nowhere&route=none", &e); code != http.StatusNotFound {
		t.Fatalf("status %d for an unknown route, want 404", code)
	}
	get(t, inst.url()+inst.cluster.Tables().Routes[0].PathPrefix)
	var s wire.Status
	getJSON(t, inst, wire.PathStatus, &s)
	if len(s.Pools) != 1 || s.Pools[0].Pool != pool || s.Pools[0].Targets != 1 || s.Pools[0].Slots == 0 || s.Pools[0].MedianLatencyMS <= 0 {
		t.Fatalf("the pool is wrong in status %+v", s)
	}
}

func TestQuantilesCoverLatestWindows(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	l := newLatencyTracker(func() time.Time { return now })
	for range 98 {
		l.record("p", 10*time.Millisecond)
	}
	l.record("p", 200*time.Millisecond)
	l.record("p", 200*time.Millisecond)
	near := func(got, want float64) bool { return got >= want && got <= want*1.13 }
	if median, p99 := l.quantiles("p"); !near(median, 10) || !near(p99, 200) {
		t.Fatalf("quantiles %v, %v, want about 10, 200", median, p99)
	}
	now = now.Add(latencyWindow)
	l.record("p", 40*time.Millisecond)
	if median, _ := l.quantiles("p"); !near(median, 10) {
		t.Fatalf("the previous window was lost: median %v", median)
	}
	now = now.Add(latencyWindow)
	if median, _ := l.quantiles("p"); !near(median, 40) {
		t.Fatalf("latencies before the previous window still count: median %v", median)
	}
	now = now.Add(5 * latencyWindow)
	if median, p99 := l.quantiles("p"); median != 0 || p99 != 0 {
		t.Fatalf("quantiles without recent latencies = %v, %v, want 0, 0", median, p99)
	}
}

func TestBucketsCoverAllDurations(t *testing.T) {
	last := -1
	for us := time.Duration(0); us < 1<<40; us = us + us/16 + 1 {
		d := us * time.Microsecond
		bucket := bucketOf(d)
		if bucket < last {
			t.Fatalf("%v is in bucket %d, a shorter duration in bucket %d", d, bucket, last)
		}
		last = bucket
		if end := bucketEnd(bucket); bucket < maxExponents<<subBucketBits-1 && (end <= milliseconds(d) || end > milliseconds(d)*1.13+0.0011) {
			t.Fatalf("%v is in a bucket that ends at %v ms", d, end)
		}
	}
}
