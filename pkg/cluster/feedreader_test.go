package cluster

import (
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
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

// TestProofRaisesThePositionWithoutAFetch covers the versions of a feed that other rows of
// the store have taken: a proof of the feed reader says that they hold no entries.
func TestProofRaisesThePositionWithoutAFetch(t *testing.T) {
	fresh := instance.FeedFreshness{HasFeedReader: true}
	known := catalog.Position{5, 7}
	for name, c := range map[string]struct {
		q         instance.AnnounceRequest
		want      catalog.Position
		wantFetch bool
	}{
		"proof":                    {instance.AnnounceRequest{BasePosition: known, CatalogPosition: catalog.Position{5, 9}, FeedFreshness: fresh}, catalog.Position{5, 9}, false},
		"proof after missed ones":  {instance.AnnounceRequest{BasePosition: catalog.Position{5, 8}, CatalogPosition: catalog.Position{5, 9}, FeedFreshness: fresh}, known, true},
		"no statement of an age":   {instance.AnnounceRequest{CatalogPosition: catalog.Position{5, 9}, MembersDigest: 1}, known, true},
		"proof of an earlier copy": {instance.AnnounceRequest{BasePosition: catalog.Position{4, 4}, CatalogPosition: catalog.Position{5, 6}, FeedFreshness: fresh}, known, false},
	} {
		t.Run(name, func(t *testing.T) {
			receiver, _ := newAnnouncer(nil)
			receiver.discovery.catalog.MergeAll(time.Now(), nil, catalog.LiveKeys{}, known)
			receiver.mu.Lock()
			defer receiver.mu.Unlock()
			receiver.applyEntries(time.Now(), &c.q)
			if got := receiver.catalogPosition(); got != c.want {
				t.Errorf("position %v, want %v", got, c.want)
			}
			if got := len(receiver.discovery.fetchQueue) > 0; got != c.wantFetch {
				t.Errorf("fetch %v, want %v", got, c.wantFetch)
			}
		})
	}
}
