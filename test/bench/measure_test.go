package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// warmUp is the initial period of each run, which the totals and latencies exclude.
const warmUp = 2 * time.Second

// measurements collects the counts and latencies of one simulation run.
type measurements struct {
	// latency holds the latencies of completed requests, in microseconds.
	latency           *hdrhistogram.Histogram
	firstAttempts     int
	attempts          int
	completed         int
	completedByMember map[int]int
	sentByMember      map[int]int
	inFlightByRegion  map[string]int
	// overshoot is the largest number of requests in flight above a region's
	// limit.
	overshoot    int
	regionLimits map[string]int
	// The following have one entry per second: attemptsByPool counts the attempts at
	// each pool by the second in which the caller sent the request, arrivalsBySecond
	// the requests that callers sent, and completedBySecond those that completed.
	attemptsByPool    []map[string]int
	arrivalsBySecond  []int
	completedBySecond []int
	// endedByKind counts the ended requests by error kind, which is KindNone for
	// those that completed.
	endedByKind map[fault.Kind]int
	// poisonedTargets counts the targets that a poison request has crashed.
	poisonedTargets int
}

func (m *measurements) init(sim *simulation) {
	m.latency = hdrhistogram.New(1, 10_000_000, 3)
	m.endedByKind = map[fault.Kind]int{}
	m.completedByMember, m.sentByMember, m.inFlightByRegion, m.regionLimits = map[int]int{}, map[int]int{}, map[string]int{}, map[string]int{}
	for _, r := range sim.tables.Regions {
		m.regionLimits[r.Name] = r.Limit
	}
}

// currentSecond returns the index of the current second of virtual time. It extends
// the counters that have one entry per second to that index.
func (m *measurements) currentSecond(sim *simulation) int {
	s := int(sim.now / time.Second)
	for len(m.attemptsByPool) <= s {
		m.attemptsByPool = append(m.attemptsByPool, map[string]int{})
		m.arrivalsBySecond = append(m.arrivalsBySecond, 0)
		m.completedBySecond = append(m.completedBySecond, 0)
	}
	return s
}

func (m *measurements) recordSent(sim *simulation, c *call) {
	m.arrivalsBySecond[m.currentSecond(sim)]++
	if sim.now >= warmUp {
		m.firstAttempts++
		m.sentByMember[c.member]++
	}
}

func (m *measurements) recordDispatch(sim *simulation, t *target, c *call) {
	m.attemptsByPool[c.sent/time.Second][t.pool]++
	if c.sent >= warmUp {
		m.attempts++
	}
	m.inFlightByRegion[t.region]++
	m.overshoot = max(m.overshoot, m.inFlightByRegion[t.region]-m.regionLimits[t.region])
}

func (m *measurements) recordReturn(_ *simulation, t *target) { m.inFlightByRegion[t.region]-- }

func (m *measurements) recordEnd(sim *simulation, c *call, k fault.Kind) {
	m.endedByKind[k]++
	if k != fault.KindNone {
		return
	}
	m.completedBySecond[m.currentSecond(sim)]++
	if sim.now < warmUp {
		return
	}
	m.completed++
	m.completedByMember[c.member]++
	_ = m.latency.RecordValue((sim.now - c.sent).Microseconds())
}

func (m *measurements) quantile(q float64) time.Duration {
	return time.Duration(m.latency.ValueAtQuantile(q)) * time.Microsecond
}

// goodput returns the rate of requests that completed within span as a fraction of
// the service's capacity.
func (m *measurements) goodput(sim *simulation, span time.Duration) float64 {
	return float64(m.completed) / (sim.svc.capacity() * span.Seconds())
}

var benchmarkPolicies = []struct {
	name string
	make policy
}{
	{"steer", steerWithBorrowing},
	{"steer, equal split", steerPolicy{}},
	{"round robin, region", roundRobin{}},
	{"round robin, all", roundRobin{allRegions: true}},
	{"least reported", leastReported{}},
	{"retry without budget", retryAlways{maxAttempts: 4}},
}

const benchmarkRun = 8 * time.Second

func constantLoad(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// BenchmarkMeasure compares the policies for each service and several loads. It
// prints latency, goodput and attempts as a Markdown table (docs/MEASUREMENTS.md).
// Run it with -benchtime=1x.
func BenchmarkMeasure(b *testing.B) {
	fmt.Println("| service | scenario | policy | p50 ms | p99 ms | goodput / capacity | completed / sent | attempts / first | overshoot |")
	for _, svc := range []service{feedlog, certdesk, catalogue, archive} {
		b.Run(svc.name, func(b *testing.B) {
			for b.Loop() {
				measureService(svc)
			}
		})
	}
}

func measureService(svc service) {
	for _, load := range []float64{0.6, 0.9, 1.1, 1.5} {
		measureRow(svc, fmt.Sprintf("%.0f%%", load*100), load, nil)
	}
	measureRow(svc, "60%, zone lost", 0.6, func(sim *simulation) {
		sim.after(benchmarkRun/3, func() { sim.setZoneDown(zoneOf(sim.svc.regions[0], 0), true) })
	})
	measureRow(svc, "90%, reports 3 s late", 0.9, func(sim *simulation) { sim.reportDelay = 3 * time.Second })
}

func measureRow(svc service, name string, load float64, prepare func(*simulation)) {
	for _, p := range benchmarkPolicies {
		sim := newSimulation(svc, p.make, 42)
		if prepare != nil {
			prepare(sim)
		}
		sim.run(benchmarkRun, constantLoad(load))
		m := &sim.measured
		fmt.Printf("| %s | %s | %s | %.1f | %.1f | %.3f | %.3f | %.3f | %d |\n", svc.name, name, p.name,
			milliseconds(m.quantile(50)), milliseconds(m.quantile(99)), m.goodput(sim, benchmarkRun-warmUp),
			float64(m.completed)/float64(m.firstAttempts), float64(m.attempts)/float64(m.firstAttempts), m.overshoot)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
