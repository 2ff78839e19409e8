package shift

import (
	"math"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
)

// exceededLimiter returns a limiter whose limit of 100 requests a second was
// first exceeded at exceededAt, by more than a burst.
func exceededLimiter(exceededAt int64) *GrowthLimiter {
	const window = 10e9
	g := NewGrowthLimiter(window, 0)
	g.baseRate.Store(math.Float64bits(1e-7))
	g.admitted.Store(1000)
	g.exceededAt.Store(exceededAt)
	return g
}

// TestReportsRaiseTheLimitOnce has several calls find the limit exceeded before
// the first of them raises it.
func TestReportsRaiseTheLimitOnce(t *testing.T) {
	const (
		calls      = 8
		exceededAt = 5e8
		now        = 6e8
		// yields lets the calls run up to the lock.
		yields = 100
	)
	g := exceededLimiter(exceededAt)
	before := math.Float64frombits(g.baseRate.Load())
	counted := g.admitted.Load()
	var admitted atomic.Int64
	var wg sync.WaitGroup
	g.mu.Lock()
	for range calls {
		wg.Go(func() {
			if g.Admit(now, 0.1, RegionReports{OldestReceived: exceededAt + 1}) {
				admitted.Add(1)
			}
		})
	}
	for g.admitted.Load() < counted+calls {
		runtime.Gosched()
	}
	for range yields {
		runtime.Gosched()
	}
	g.mu.Unlock()
	wg.Wait()
	if got := math.Float64frombits(g.baseRate.Load()) / before; math.Abs(got-(1+limitStep)) > tolerance {
		t.Errorf("the limit was raised by a factor of %.3f, want %.3f", got, 1+limitStep)
	}
	if admitted.Load() != 1 || g.admitted.Load() != counted+1 {
		t.Errorf("%d requests admitted and %d counted, want 1", admitted.Load(), g.admitted.Load()-counted)
	}
}

func TestRaisedLimitIsRaisedAgainOnlyAfterFurtherReports(t *testing.T) {
	const exceededAt = 5e8
	g := exceededLimiter(exceededAt)
	admit := func(now, reported int64) bool { return g.Admit(now, 0.1, RegionReports{OldestReceived: reported}) }
	if admit(6e8, exceededAt) {
		t.Error("a request above the limit was admitted before a report")
	}
	if !admit(6e8, exceededAt+1) {
		t.Error("a request above the limit was refused after a report")
	}
	for range 2 {
		if admit(7e8, exceededAt+1) {
			t.Error("a request above the raised limit was admitted without a further report")
		}
	}
	if !admit(8e8, 7e8+1) {
		t.Error("a request above the raised limit was refused after a further report")
	}
}

func TestLimitReplacedSinceItWasExceededIsNotRaised(t *testing.T) {
	const exceededAt = 5e8
	for name, replacedBy := range map[string]int64{"not exceeded": 0, "exceeded later": 6e8} {
		g := exceededLimiter(replacedBy)
		if g.raiseLimit(exceededAt) || g.raiseLimit(0) {
			t.Errorf("%s: the limit was raised", name)
		}
	}
}

// TestFirstWindowAdmitsTheFirstRequestOfEachBucket sends the requests that open
// a bucket, for which no time of the bucket has elapsed.
func TestFirstWindowAdmitsTheFirstRequestOfEachBucket(t *testing.T) {
	const window = 10e9
	g := NewGrowthLimiter(window, 0)
	bucket := g.bucketLength.Nanoseconds()
	for i := range int64(bucketsPerWindow) {
		if !g.Admit(i*bucket, 0.1, RegionReports{Overdue: true}) {
			t.Errorf("the first request of bucket %d was refused", i)
		}
	}
	if got := g.admitted.Load(); got != 1 {
		t.Errorf("%d requests counted in the last bucket, want 1", got)
	}
}

// TestUnlimitedGrowthAdmitsEverything admits requests with infinite growth after
// a window of the given rate, from the start of a bucket on.
func TestUnlimitedGrowthAdmitsEverything(t *testing.T) {
	const (
		window   = 10e9
		requests = 100
		now      = window + 1
	)
	for name, baseRate := range map[string]float64{"idle": 0, "100 requests a second": 1e-7} {
		g := NewGrowthLimiter(window, now)
		g.baseRate.Store(math.Float64bits(baseRate))
		for _, elapsed := range []int64{0, g.bucketLength.Nanoseconds() / 2} {
			for range requests {
				if !g.Admit(now+elapsed, math.Inf(1), RegionReports{Overdue: true}) {
					t.Fatalf("%s: a request was refused %d ns after the start of the bucket", name, elapsed)
				}
			}
		}
		if got := g.admitted.Load(); got != 2*requests {
			t.Errorf("%s: %d requests counted, want %d", name, got, 2*requests)
		}
	}
}

// TestIdlePoolWithFiniteGrowthIsLimited has a burst meet a limit of zero.
func TestIdlePoolWithFiniteGrowthIsLimited(t *testing.T) {
	const window = 10e9
	g := NewGrowthLimiter(window, 0)
	g.baseRate.Store(math.Float64bits(0))
	admitted := 0
	for range 100 {
		if g.Admit(1e8, 0.1, RegionReports{Overdue: true}) {
			admitted++
		}
	}
	if admitted != 1 {
		t.Errorf("%d requests admitted, want 1", admitted)
	}
}
