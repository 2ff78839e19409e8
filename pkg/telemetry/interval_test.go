package telemetry

import (
	"testing"
	"time"
)

func TestOneLinePerIntervalCountsThoseLeftOut(t *testing.T) {
	l := NewIntervalLimiter(time.Second)
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		after   time.Duration
		omitted int
		ok      bool
	}{
		{0, 0, true},
		{100 * time.Millisecond, 0, false},
		{999 * time.Millisecond, 0, false},
		{time.Second, 2, true},
		{2500 * time.Millisecond, 0, true},
	} {
		if omitted, ok := l.Allow(start.Add(c.after)); omitted != c.omitted || ok != c.ok {
			t.Errorf("after %v: %d left out, allowed %v, want %d and %v", c.after, omitted, ok, c.omitted, c.ok)
		}
	}
}
