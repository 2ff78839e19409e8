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
