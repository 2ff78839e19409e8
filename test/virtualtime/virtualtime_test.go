package virtualtime_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/test/virtualtime"
)

// Many goroutines poll tickers that are overdue at the same virtual instant. Without
// the limit to one processor the race detector crashes the process.
func TestOverdueTimersAreNotPolledInParallel(t *testing.T) {
	const goroutines, polls = 64, 5000
	virtualtime.Test(t, func(*testing.T) {
		var wg sync.WaitGroup
		for range goroutines {
			wg.Go(func() { pollOverdueTicker(polls) })
		}
		wg.Wait()
	})
}

// pollOverdueTicker sleeps until a ticker is overdue and then polls it, the given
// number of times.
func pollOverdueTicker(times int) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for range times {
		time.Sleep(time.Millisecond)
		select {
		case <-ticker.C:
		default:
		}
	}
}

// A test that calls synctest.Test directly crashes under the race detector, but so
// rarely that the crash is easily dismissed as random.
func TestAllBubblesRunThroughThisPackage(t *testing.T) {
	const repositoryRoot = "../.."
	directCall := "synctest" + ".Test("
	callers := 0
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if strings.Contains(string(source), directCall) {
			t.Errorf("%s calls synctest.Test; use virtualtime.Test", path)
		}
		if strings.Contains(string(source), "virtualtime.Test(") {
			callers++
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if callers < 2 {
		t.Errorf("only %d files that call virtualtime.Test were found; the walk does not reach the packages of the repository", callers)
	}
}
