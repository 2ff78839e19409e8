package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// warmUp is left out of the figures.
const warmUp = 2 * time.Second

// measure collects the figures of a run.
type measure struct {
	latency   *hdrhistogram.Histogram
	first     int
	attempts  int
	completed int
	byMember  map[int]int
	bySender  map[int]int
	inRegion  map[string]int
	overshoot int
	limits    map[string]int
	// arrivals counts the requests that callers sent in each second, and pools
	// those of them that went to each pool.
	pools    []map[string]int
	arrivals []int
	good     []int
	// kinds counts how the requests ended.
	kinds map[fault.Kind]int
	// lost counts the targets that poison has killed.
	lost int
}

func (m *measure) init(w *world) {
	m.latency = hdrhistogram.New(1, 10_000_000, 3)
	m.kinds = map[fault.Kind]int{}
	m.byMember, m.bySender, m.inRegion, m.limits = map[int]int{}, map[int]int{}, map[string]int{}, map[string]int{}
	for _, r := range w.tb.Regions {
		m.limits[r.Name] = r.Limit
	}
}

func (m *measure) second(w *world) int {
	s := int(w.now / time.Second)
	for len(m.pools) <= s {
		m.pools = append(m.pools, map[string]int{})
		m.arrivals = append(m.arrivals, 0)
		m.good = append(m.good, 0)
	}
	return s
}

func (m *measure) sent(w *world, c *call) {
	m.arrivals[m.second(w)]++
	if w.now >= warmUp {
		m.first++
		m.bySender[c.member]++
	}
}

func (m *measure) dispatched(w *world, t *target, c *call) {
	m.pools[c.sent/time.Second][t.pool]++
	if c.sent >= warmUp {
		m.attempts++
	}
	m.inRegion[t.region]++
	m.overshoot = max(m.overshoot, m.inRegion[t.region]-m.limits[t.region])
}

func (m *measure) returned(_ *world, t *target) { m.inRegion[t.region]-- }

func (m *measure) ended(w *world, c *call, k fault.Kind) {
	m.kinds[k]++
	if k != fault.KindNone {
		return
	}
	m.good[m.second(w)]++
	if w.now < warmUp {
		return
	}
	m.completed++
	m.byMember[c.member]++
	_ = m.latency.RecordValue((w.now - c.sent).Microseconds())
}

func (m *measure) quantile(q float64) time.Duration {
	return time.Duration(m.latency.ValueAtQuantile(q)) * time.Microsecond
}

// goodput returns the completed requests as a part of the capacity.
func (m *measure) goodput(w *world, span time.Duration) float64 {
	return float64(m.completed) / (w.svc.capacity() * span.Seconds())
}

var policies = []struct {
	name string
	make policy
}{
	{"steer", ours},
	{"steer, equal split", steering{}},
	{"round robin, region", roundRobin{}},
	{"round robin, all", roundRobin{everywhere: true}},
	{"least reported", leastReported{}},
	{"retry without budget", retryAlways{tries: 4}},
}

const runFor = 8 * time.Second

func steady(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// BenchmarkMeasure prints the figures of docs/MEASUREMENTS.md. Run it
// with -benchtime=1x.
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
	measureRow(svc, "60%, zone lost", 0.6, func(w *world) {
		w.after(runFor/3, func() { w.loseZone(zoneOf(w.svc.regions[0], 0), true) })
	})
	measureRow(svc, "90%, reports 3 s late", 0.9, func(w *world) { w.lag = 3 * time.Second })
}

func measureRow(svc service, name string, load float64, prepare func(*world)) {
	for _, p := range policies {
		w := newWorld(svc, p.make, 42)
		if prepare != nil {
			prepare(w)
		}
		w.run(runFor, steady(load))
		m := &w.m
		fmt.Printf("| %s | %s | %s | %.1f | %.1f | %.3f | %.3f | %.3f | %d |\n", svc.name, name, p.name,
			ms(m.quantile(50)), ms(m.quantile(99)), m.goodput(w, runFor-warmUp),
			float64(m.completed)/float64(m.first), float64(m.attempts)/float64(m.first), m.overshoot)
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
