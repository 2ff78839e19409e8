package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/telemetry"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// benchWorkers is the number of concurrent callers.
const benchWorkers = 8

// BenchmarkForward measures what an instance adds to a request. It sends the same
// requests directly to a target and through one instance, in alternating rounds, so
// that other load on the machine affects both alike.
func BenchmarkForward(b *testing.B) {
	payload := make([]byte, 1024)
	h := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == wire.PathTargetLoad {
			writeJSON(w, wire.TargetLoad{Slots: 64, Incarnation: "t"})
			return
		}
		w.Write(payload)
	}
	s := httptest.NewServer(http.HandlerFunc(h))
	defer s.Close()
	inst := startInstance(b, "a-1", "osrednja-a")
	tables := oneTarget(s.Listener.Addr().String(), "osrednja-a")
	tables.Pools[0].Targets[0].Slots = 64
	inst.run(b, tables)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * benchWorkers}}
	defer client.CloseIdleConnections()

	metrics := telemetry.NewMetrics("a-1", "osrednja-a")
	defer metrics.Close()
	for _, c := range []struct {
		name    string
		workers int
		metrics *telemetry.Metrics
	}{{"one", 1, nil}, {"eight", benchWorkers, nil}, {"eight-metrics", benchWorkers, metrics}} {
		b.Run(c.name, func(b *testing.B) {
			workers := c.workers
			inst.metrics = c.metrics
			var direct, through []time.Duration
			var directTime, throughTime time.Duration
			const rounds = 10
			n := max(b.N/rounds, workers)
			sendLoad(b, client, s.URL+"/feedlog", workers, workers*8)
			sendLoad(b, client, inst.url()+"/feedlog", workers, workers*8)
			for range rounds {
				d, took := sendLoad(b, client, s.URL+"/feedlog", workers, n)
				direct, directTime = append(direct, d...), directTime+took
				d, took = sendLoad(b, client, inst.url()+"/feedlog", workers, n)
				through, throughTime = append(through, d...), throughTime+took
			}
			p50 := func(d []time.Duration) float64 {
				sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
				return float64(d[len(d)/2].Nanoseconds()) / 1e3
			}
			b.ReportMetric(p50(direct), "direct-p50-us")
			b.ReportMetric(p50(through)-p50(direct), "added-p50-us")
			b.ReportMetric(float64(directTime)/float64(throughTime), "throughput-ratio")
		})
	}
}

// sendLoad sends n requests from concurrent workers. It returns the latency of each
// request and the total time.
func sendLoad(b *testing.B, client *http.Client, url string, workers, n int) ([]time.Duration, time.Duration) {
	b.Helper()
	all := make([][]time.Duration, workers)
	start := time.Now()
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for range n / workers {
				t0 := time.Now()
				resp, err := client.Get(url)
				if err != nil {
					b.Error(err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Errorf("status %d, kind %s", resp.StatusCode, resp.Header.Get(wire.HeaderKind))
					return
				}
				all[w] = append(all[w], time.Since(t0))
			}
		})
	}
	wg.Wait()
	took := time.Since(start)
	var times []time.Duration
	for _, ts := range all {
		times = append(times, ts...)
	}
	return times, took
}
