package choice

import (
	"testing"
	"time"
)

func TestExcessiveReportAtMostDoublesScore(t *testing.T) {
	var r ReportedLoad
	r.Observe(100, 1_000_000, 1_000_000, 0, 4)
	if got := r.Penalty(100); got != 2 {
		t.Fatalf("penalty = %v, want 2", got)
	}
	if got := r.Penalty(100 + 2*reportLifetime.Nanoseconds()); got != 1 {
		t.Fatalf("penalty of an old report = %v, want 1", got)
	}
	r.Observe(50, 0, 0, 0, 4)
	if got := r.Penalty(100); got != 2 {
		t.Fatal("an older report replaced a newer one")
	}
}

func TestLatencyRisesImmediatelyAndDecays(t *testing.T) {
	var l Latency
	l.Observe(0, 10*time.Millisecond)
	l.Observe(1, time.Second)
	if l.Value() != time.Second {
		t.Fatalf("value = %v", l.Value())
	}
	l.Observe(10*latencyTimeConstant.Nanoseconds(), 10*time.Millisecond)
	if l.Value() > 11*time.Millisecond {
		t.Fatalf("value after ten time constants = %v", l.Value())
	}
}

func TestNewIncarnationReachesItsShareGradually(t *testing.T) {
	var h Health
	h.StartSlowStart(0)
	for _, c := range []struct {
		age  time.Duration
		want int64
	}{{0, 2}, {slowStartDuration / 2, 5}, {slowStartDuration, 8}} {
		if got := h.UsableShare(c.age.Nanoseconds(), 8); got != c.want {
			t.Errorf("usable share of 8 after %v = %d, want %d", c.age, got, c.want)
		}
	}
}

func TestEjectedTargetIsProbedWithOneRequest(t *testing.T) {
	var h Health
	for range failuresToEject - 1 {
		if h.RecordFailure() {
			t.Fatal("ejected too early")
		}
	}
	if !h.RecordFailure() {
		t.Fatal("not ejected")
	}
	h.Eject(0)
	if !h.Ejected(minEjection.Nanoseconds()-1) || h.Ejected(minEjection.Nanoseconds()) {
		t.Fatal("the first ejection does not last for minEjection")
	}
	if got := h.UsableShare(minEjection.Nanoseconds(), 8); got != 1 {
		t.Fatalf("usable share after an ejection = %d, want 1", got)
	}
	h.RecordSuccess()
	if got := h.UsableShare(minEjection.Nanoseconds(), 8); got != 8 {
		t.Fatalf("usable share after a response = %d, want 8", got)
	}
}
