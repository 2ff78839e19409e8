package cluster

import (
	"math"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
)

// TestReportFromTheFutureHidesNoOutageOfACell guards against a report of another cell with an
// age that makes no sense, after which the cell counts as reachable and newer reports of it
// are ignored.
func TestReportFromTheFutureHidesNoOutageOfACell(t *testing.T) {
	now := time.Now()
	for _, age := range []int64{-time.Hour.Milliseconds(), math.MinInt64, math.MinInt64 / 3, math.MaxInt64} {
		z := newZoneReports("a")
		z.observeReport(now, instance.ZoneReport{Zone: "b", AgeMS: age})
		if later := now.Add(cellTimeout + time.Second); !z.unreachable(later, "b") {
			t.Errorf("age %d ms: reachable %v after the report", age, later.Sub(now))
		}
		z.observeReport(now.Add(time.Second), instance.ZoneReport{Zone: "b", Summaries: []instance.Summary{{AgeMS: age}}})
		if reports := z.freshReports(now.Add(time.Second)); len(reports) != 1 || len(reports[0].Summaries) != 1 {
			t.Errorf("age %d ms: the next report does not count", age)
		}
		for _, s := range z.summaries(now.Add(time.Second)) {
			if s.At.After(now.Add(time.Second)) {
				t.Errorf("age %d ms: a summary of %v", age, s.At)
			}
		}
	}
}

// TestProofFromTheFutureKeepsNoInstanceFromReading guards against an age below 0 of another
// instance's copy of the feeds: this one would rely on it for as long.
func TestProofFromTheFutureKeepsNoInstanceFromReading(t *testing.T) {
	for _, senior := range []bool{false, true} {
		c := New(Config{Feeds: []platform.Feed{fakeFeed{topic: catalog.Targets}}, Timing: DefaultTiming()})
		now := time.Now()
		c.observeFreshness(now, instance.FeedFreshness{HasFeedReader: true, FeedReaderAge: -time.Hour}, catalog.Position{}, senior)
		if complete := c.discovery.fresh.CompleteAt(); complete.After(now) {
			t.Errorf("senior %t: the copy is complete up to %v from now", senior, complete.Sub(now))
		}
	}
}
