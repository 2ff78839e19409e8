package cluster

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

const (
	// slowTransfer is how long the transfer of a configuration of 1.2 MB takes over a link of
	// 10 Mbit/s, and transferPart the time between two parts of it.
	slowTransfer = time.Second
	transferPart = 50 * time.Millisecond
)

// slowFeed is a feed of operators over a slow link.
type slowFeed struct{ fakeFeed }

// overSlowLink returns f, over a slow link if it is the operators' feed.
func overSlowLink(f fakeFeed) platform.Feed {
	if f.topic == catalog.Operators {
		return slowFeed{f}
	}
	return f
}

// Changes implements platform.Feed.
func (f slowFeed) Changes(ctx context.Context, after uint64, wait time.Duration) (platform.FeedRead, error) {
	read, err := f.fakeFeed.Changes(ctx, after, wait)
	if err == nil && len(read.Entries) > 0 {
		err = transferSlowly(ctx)
	}
	return read, err
}

// transferSlowly takes the time of a transfer over a slow link, unless ctx ends.
func transferSlowly(ctx context.Context) error {
	for began := time.Now(); time.Since(began) < slowTransfer; {
		platform.ReportProgress(ctx)
		if !sleep(ctx, transferPart, nil) {
			return fault.Wrap(fault.KindStoreUnavailable, ctx.Err(), "response cut off")
		}
	}
	return nil
}

// configEntry returns the entry of a version of the operators' configuration.
func configEntry(version uint64) catalog.Entry {
	return catalog.Entry{Topic: catalog.Operators, Key: "config", Config: &catalog.Config{
		Version:  version,
		Routes:   []table.Route{{Name: "read", PathPrefix: "/", Pools: []table.PoolWeight{{Pool: "feedlog", Weight: 1}}}},
		Services: []catalog.Service{{Name: "feedlog"}},
	}}
}

// TestVersionIsInForceInTimeOverASlowLink writes versions at all times of the feed readers'
// long polls. Their transfer takes longer than the poll may wait for a response to begin.
func TestVersionIsInForceInTimeOverASlowLink(t *testing.T) {
	const gap = 700 * time.Millisecond
	for _, size := range leaveBounds[:2] {
		t.Run(fmt.Sprintf("%d instances", size.instances), func(t *testing.T) {
			runWithWrappedFeeds(t, size.instances, overSlowLink, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
				time.Sleep(settleTime / 2)
				for version := uint64(2); version < 12; version++ {
					time.Sleep(time.Duration(version) * gap)
					r.write(configEntry(version))
					took := waitFor(t, time.Minute, fmt.Sprintf("version %d in force at all instances", version), func() bool { return tc.configInForce(version) })
					if took > size.bound {
						t.Errorf("version %d was in force everywhere after %v, allowed are %v", version, took, size.bound)
					}
				}
			})
		})
	}
}

// configInForce reports whether all instances act on the given version of the operators'
// configuration.
func (tc *testCluster) configInForce(version uint64) bool {
	return !slices.ContainsFunc(tc.nodes, func(n *testNode) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.discovery.catalog.ConfigVersion() < version
	})
}
