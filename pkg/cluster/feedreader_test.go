package cluster

import (
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/test/virtualtime"
)

// TestNewFeedReaderIsUpToDateAfterItsFirstRead checks that an instance that begins
// to read the feeds does not report to others that it is up to date before its reads
// have succeeded.
func TestNewFeedReaderIsUpToDateAfterItsFirstRead(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c, _ := newAnnouncer(nil)
		for topic := range catalog.TopicCount {
			c.discovery.synced[topic] = true
			if !c.shouldReadFeed(topic) {
				t.Fatalf("the first instance of the cell does not read the feed of %v", topic)
			}
		}
		for topic := range catalog.TopicCount {
			if c.feedsUpToDate() {
				t.Errorf("the new feed reader counts as up to date before the first read of %v has succeeded", topic)
			}
			c.recordFeedRead(topic, time.Now(), nil)
		}
		if !c.feedsUpToDate() {
			t.Error("the feed reader does not count as up to date after its first reads")
		}
	})
}
