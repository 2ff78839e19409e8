// Package virtualtime runs tests whose goroutines share a fake clock.
package virtualtime

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test calls synctest.Test. Under the race detector the goroutines of the bubble
// take turns on one processor.
//
// Go 1.26.8 gives all channel timers of a bubble one race context. A goroutine
// that polls an overdue timer uses that context, so two goroutines that do so
// in parallel corrupt the state of the race detector, which crashes the process.
// The detector finds data races on one processor too, because it compares accesses
// by their happens-before order rather than by time.
//
// The number of processors applies to the whole process, so tests that call Test
// must not run in parallel.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	if raceDetector {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, f)
}
