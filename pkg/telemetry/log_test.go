package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// slowWriter blocks writes until release is closed.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

// Write implements io.Writer.
func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func TestLogDoesNotBlockAndReportsDroppedLines(t *testing.T) {
	w := &slowWriter{release: make(chan struct{})}
	l, err := NewLoggerTo(w, "info")
	if err != nil {
		t.Fatal(err)
	}
	long := strings.Repeat("x", 1024)
	for range 2 * logBufferBytes / len(long) {
		l.Warn(long)
	}
	close(w.release)
	l.Close()
	got := w.buf.String()
	if !strings.Contains(got, "lines dropped") {
		t.Error("the log does not report dropped lines")
	}
	if len(got) > 3*logBufferBytes {
		t.Errorf("%d bytes were written", len(got))
	}
}

func TestLinesBelowWarningsAreBounded(t *testing.T) {
	var l lineLimiter
	now := time.Unix(1000, 0)
	n := 0
	for range 10 * logBurst {
		if l.allow(now) {
			n++
		}
	}
	if n != logBurst {
		t.Errorf("%d lines at once, want %d", n, logBurst)
	}
	n = 0
	for i := range 5000 {
		if l.allow(now.Add(time.Duration(i) * time.Millisecond)) {
			n++
		}
	}
	if n > 5*logRate+1 {
		t.Errorf("%d lines in five seconds, want at most %d per second", n, logRate)
	}
}

func TestLevelCanBeChanged(t *testing.T) {
	w := &slowWriter{release: make(chan struct{})}
	close(w.release)
	l, err := NewLoggerTo(w, "error")
	if err != nil {
		t.Fatal(err)
	}
	l.Info("first")
	if err := l.SetLevel("info"); err != nil {
		t.Fatal(err)
	}
	l.Info("second", zap.Int("n", 1))
	if err := l.SetLevel("loud"); fault.KindOf(err) != fault.KindInvalidSettings {
		t.Errorf("unknown level: %v", err)
	}
	l.Close()
	if got := w.buf.String(); strings.Contains(got, "first") || !strings.Contains(got, `"msg":"second"`) {
		t.Errorf("log %q", got)
	}
}

func TestErrorsAreLoggedWithoutStackTraces(t *testing.T) {
	var out bytes.Buffer
	l, err := NewLoggerTo(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	failed := fault.New(fault.KindStoreUnavailable, "no response")
	l.With(zap.NamedError("cause", failed)).Warn("feed read failed", zap.Int("n", 1), zap.Error(failed), zap.Error(nil))
	l.Close()
	line := out.String()
	if !strings.Contains(line, `"error":"`) || !strings.Contains(line, `"cause":"`) || !strings.Contains(line, "no response") {
		t.Errorf("the errors are missing: %s", line)
	}
	if strings.Contains(line, "Verbose") || strings.Contains(line, ".go:") {
		t.Errorf("the line contains a stack trace: %s", line)
	}
}

// TestLongTextsAreCut logs what another process has sent without end.
func TestLongTextsAreCut(t *testing.T) {
	var buf bytes.Buffer
	l, err := NewLoggerTo(&buf, "info")
	if err != nil {
		t.Fatal(err)
	}
	long := strings.Repeat("x", 200<<10)
	l.With(zap.String("with", long)).Warn("long", zap.String("why", long), zap.Error(fault.New(fault.KindTargetGarbage, "%s", long)))
	l.Close()
	if n := buf.Len(); n > 4*maxTextBytes || !strings.Contains(buf.String(), `"why":"xxx`) {
		t.Errorf("the line has %d bytes", n)
	}
}
