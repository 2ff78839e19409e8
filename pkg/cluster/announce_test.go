package cluster

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spread"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/test/virtualtime"
)

// recordingTransport records when each address first receives a call. Calls to
// the unreachable address stay unanswered.
type recordingTransport struct {
	mu          sync.Mutex
	unreachable string
	receivedAt  map[string]time.Time
	calls       map[string]int
}

func (r *recordingTransport) Call(ctx context.Context, to string, _ instance.Method, _, _ any) error {
	if to == r.unreachable {
		<-ctx.Done()
		return fault.Wrap(fault.KindPeerUnavailable, ctx.Err(), "lost")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[to]++
	if r.calls[to] == 1 {
		r.receivedAt[to] = time.Now()
	}
	return nil
}

// newAnnouncer returns the first instance of a large region, which has received
// messages from all others, and its reporting tree. Its loops do not run.
func newAnnouncer(peers instance.Transport) (*Cluster, spread.Tree) {
	var ids []string
	for i := range largeRegion {
		ids = append(ids, fmt.Sprintf("instance-%03d", i))
	}
	ids = spread.Rank("osrednja", ids)
	feeds := []platform.Feed{fakeFeed{newFakeFeedStore(), catalog.Targets, ids[0]}}
	c := New(Config{
		Self: platform.Instance{ID: ids[0], Cell: "osrednja"}, Timing: DefaultTiming(), Feeds: feeds,
		Peers: peers, Rand: func() float64 { return 0 }, Log: zap.NewNop(),
	})
	for _, id := range ids[1:] {
		c.view.ObserveMessage(time.Now(), member.Info{ID: id, Cell: "osrednja", PeerAddress: id})
	}
	return c, c.currentTree(time.Now())
}

// announceAndWait announces an entry and waits until all calls have ended.
func (c *Cluster) announceAndWait(t *testing.T) {
	c.mu.Lock()
	base, now := c.catalogPosition(), time.Now()
	c.discovery.catalog.Merge(now, catalog.Targets, []catalog.Entry{{Topic: catalog.Targets, Key: "t", Version: base[catalog.Targets] + 1}}, base[catalog.Targets]+1)
	c.announceEntries(now, base)
	c.mu.Unlock()
	var calls conc.WaitGroup
	c.sendAnnouncement(t.Context(), &calls, <-c.discovery.announceQueue)
	calls.Wait()
}

// TestAnnouncementBypassesUnreachableRelay checks that an announcement reaches
// the members downstream of an unreachable relay after the timeout of one call,
// and at once while the relay is known to be unreachable.
func TestAnnouncementBypassesUnreachableRelay(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		r := &recordingTransport{}
		c, tree := newAnnouncer(r)
		r.unreachable = tree.Relays()[0]
		for _, limit := range []time.Duration{c.timing.CallTimeout, 0} {
			r.receivedAt, r.calls = map[string]time.Time{}, map[string]int{}
			began := time.Now()
			c.announceAndWait(t)
			expected := slices.Concat(tree.Watchers()[feedReaders:], tree.Relays()[1:], tree.Recipients(r.unreachable))
			for _, id := range expected {
				if r.calls[id] != 1 || r.receivedAt[id].Sub(began) > limit {
					t.Errorf("%s received the announcement %d times, first after %v; want once within %v", id, r.calls[id], r.receivedAt[id].Sub(began), limit)
				}
			}
			if len(r.calls) != len(expected) {
				t.Errorf("%d instances received the announcement, want %d", len(r.calls), len(expected))
			}
		}
	})
}

// TestUnresponsiveMemberDelaysNoAnnouncementToOthers leaves the calls to one member
// unanswered while two announcements follow each other.
func TestUnresponsiveMemberDelaysNoAnnouncementToOthers(t *testing.T) {
	const gap = 10 * time.Millisecond
	virtualtime.Test(t, func(t *testing.T) {
		r := &recordingTransport{receivedAt: map[string]time.Time{}, calls: map[string]int{}}
		c, tree := newAnnouncer(r)
		r.unreachable = tree.Relays()[0]
		ctx, cancel := context.WithCancel(t.Context())
		var loop conc.WaitGroup
		loop.Go(func() { c.announceEntriesLoop(ctx) })
		for version := range uint64(2) {
			c.mu.Lock()
			base, now := c.catalogPosition(), time.Now()
			c.discovery.catalog.Merge(now, catalog.Targets, []catalog.Entry{{Topic: catalog.Targets, Key: "t", Version: version + 1}}, version+1)
			c.announceEntries(now, base)
			c.mu.Unlock()
			time.Sleep(gap)
		}
		r.mu.Lock()
		for _, id := range slices.Concat(tree.Watchers()[feedReaders:], tree.Relays()[1:]) {
			if r.calls[id] != 2 {
				t.Errorf("%s received %d of 2 announcements while another member did not answer", id, r.calls[id])
			}
		}
		r.mu.Unlock()
		cancel()
		loop.Wait()
	})
}

// TestDroppedAnnouncementEndsNoDeliveryInFlight drops an announcement of the members' digest
// because the queue is full, while a call with entries is in flight to a member. Entries
// that follow must wait for that call.
func TestDroppedAnnouncementEndsNoDeliveryInFlight(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c, tree := newAnnouncer(&recordingTransport{})
		c.mu.Lock()
		defer c.mu.Unlock()
		now := time.Now()
		for version := range uint64(2 * maxQueuedAnnouncements) {
			base := c.catalogPosition()
			c.discovery.catalog.Merge(now, catalog.Targets, []catalog.Entry{{Topic: catalog.Targets, Key: "t", Version: version + 1}}, version+1)
			c.announceEntries(now, base)
			c.announceDigest(now, version+1)
		}
		for _, id := range tree.Relays() {
			if d := c.discovery.deliveries[id]; d == nil || !d.pending {
				t.Errorf("delivery to %s: %+v, want one with entries to follow", id, d)
			}
		}
	})
}
