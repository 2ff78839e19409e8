package cluster

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/test/virtualtime"
)

// fakeFeedStore holds what operators and targets have written to the feeds.
type fakeFeedStore struct {
	started time.Time
	mu      sync.Mutex
	version uint64
	entries [catalog.TopicCount][]catalog.Entry
	changed chan struct{}
	// generation counts the restores.
	generation uint64
	// unresponsive names the instances whose reads stay unanswered.
	// allUnresponsive is set if all reads do.
	unresponsive    map[string]bool
	allUnresponsive bool
	// refused names the instances whose reads fail at once.
	refused map[string]bool
	// silent is set while reads of changes return none. lostVersion is the version up
	// to which the history is lost then.
	silent      bool
	lostVersion uint64
	// reads counts the reads of each instance.
	reads map[string]int
}

func newFakeFeedStore() *fakeFeedStore {
	// The clock of the store never reads zero.
	r := &fakeFeedStore{started: time.Now().Add(-time.Hour), changed: make(chan struct{}), unresponsive: map[string]bool{}, refused: map[string]bool{}, reads: map[string]int{}}
	r.write(catalog.Entry{Topic: catalog.Operators, Key: "config", Config: &catalog.Config{
		Version:  1,
		Routes:   []table.Route{{Name: "read", PathPrefix: "/", Pools: []table.PoolWeight{{Pool: "feedlog", Weight: 1}}}},
		Services: []catalog.Service{{Name: "feedlog"}},
	}})
	return r
}

// write adds one entry under the next version.
func (r *fakeFeedStore) write(e catalog.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	e.Version = r.version
	r.entries[e.Topic] = append(r.entries[e.Topic], e)
	close(r.changed)
	r.changed = make(chan struct{})
}

// feedCopy is a copy of what has been written to the feeds.
type feedCopy struct {
	version uint64
	entries [catalog.TopicCount][]catalog.Entry
}

func (r *fakeFeedStore) copy() feedCopy {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := feedCopy{version: catalog.StoredVersionOf(r.version)}
	for t := range r.entries {
		c.entries[t] = slices.Clone(r.entries[t])
	}
	return c
}

// restore replaces what has been written by an older copy, in a new generation.
func (r *fakeFeedStore) restore(c feedCopy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generation++
	r.version = catalog.VersionOf(r.generation, c.version)
	for t := range r.entries {
		r.entries[t] = slices.Clone(c.entries[t])
		for i := range r.entries[t] {
			e := &r.entries[t][i]
			e.Version = catalog.VersionOf(r.generation, catalog.StoredVersionOf(e.Version))
		}
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// currentGeneration returns the generation of the store.
func (r *fakeFeedStore) currentGeneration() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generation
}

// setTarget writes the entry of a target or its removal.
func (r *fakeFeedStore) setTarget(id string, present bool) {
	e := catalog.Entry{Topic: catalog.Targets, Key: id, Removed: !present}
	if present {
		e.Target = &catalog.Target{ID: id, Service: "feedlog", Address: "10.0.0.1:80", Zone: "a", Region: "osrednja", Slots: 4}
	}
	r.write(e)
}

// setUnresponsive sets whether reads of an instance stay unanswered; an empty id means
// all instances.
func (r *fakeFeedStore) setUnresponsive(id string, unresponsive bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id == "" {
		r.allUnresponsive = unresponsive
		return
	}
	r.unresponsive[id] = unresponsive
}

// setRefused has the store refuse the reads of an instance from now on, also those that
// it holds.
func (r *fakeFeedStore) setRefused(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused[id] = true
	close(r.changed)
	r.changed = make(chan struct{})
}

// drainTarget writes that a target is leaving.
func (r *fakeFeedStore) drainTarget(id string) {
	r.write(catalog.Entry{Topic: catalog.Targets, Key: id, Target: &catalog.Target{
		ID: id, Service: "feedlog", Address: "10.0.0.1:80", Zone: "a", Region: "osrednja", Slots: 4, Draining: true,
	}})
}

// setSilent has reads of changes return none from now on.
func (r *fakeFeedStore) setSilent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = true
}

// loseHistory ends the silence: the history until now is lost, so that all reads from a
// version before fail.
func (r *fakeFeedStore) loseHistory() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent, r.lostVersion = false, r.version
	close(r.changed)
	r.changed = make(chan struct{})
}

// fakeFeed is one instance's feed of one topic.
type fakeFeed struct {
	store *fakeFeedStore
	topic catalog.Topic
	id    string
}

func (f fakeFeed) Topic() catalog.Topic { return f.topic }

// waitWhileUnresponsive returns nil at once if the store responds to this instance.
// Otherwise it waits until ctx ends and returns an error, which it does at once if the
// store refuses the instance.
func (f fakeFeed) waitWhileUnresponsive(ctx context.Context) error {
	f.store.mu.Lock()
	unresponsive, refused := f.store.allUnresponsive || f.store.unresponsive[f.id], f.store.refused[f.id]
	f.store.mu.Unlock()
	if refused {
		return fault.New(fault.KindStoreUnavailable, "refused")
	}
	if !unresponsive {
		return nil
	}
	<-ctx.Done()
	return fault.Wrap(fault.KindStoreUnavailable, ctx.Err(), "silent")
}

// isSilent reports whether the store hides the changes.
func (f fakeFeed) isSilent() bool {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return f.store.silent
}

// countRead counts one read.
func (f fakeFeed) countRead() {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.reads[f.id]++
}

func (f fakeFeed) Snapshot(ctx context.Context) (platform.FeedRead, error) {
	f.countRead()
	if err := f.waitWhileUnresponsive(ctx); err != nil {
		return platform.FeedRead{}, err
	}
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return f.store.response(latestByKey(f.store.entries[f.topic]), f.store.version), nil
}

// latestByKey returns the last of the entries of each key, in their order: a snapshot has one
// row of each, and none of a key whose row was removed.
func latestByKey(entries []catalog.Entry) []catalog.Entry {
	last := map[string]uint64{}
	for _, e := range entries {
		last[e.Key] = e.Version
	}
	return slices.DeleteFunc(slices.Clone(entries), func(e catalog.Entry) bool { return e.Removed || e.Version != last[e.Key] })
}

// response returns a response of the store at this moment.
func (r *fakeFeedStore) response(entries []catalog.Entry, version uint64) platform.FeedRead {
	return platform.FeedRead{Entries: slices.Clone(entries), Version: version, StoreTime: time.Since(r.started)}
}

func (f fakeFeed) Changes(ctx context.Context, after uint64, wait time.Duration) (platform.FeedRead, error) {
	f.countRead()
	for timeout := time.After(wait); ; {
		if err := f.waitWhileUnresponsive(ctx); err != nil {
			return platform.FeedRead{}, err
		}
		f.store.mu.Lock()
		if catalog.GenerationOf(after) < f.store.generation {
			f.store.mu.Unlock()
			return platform.FeedRead{}, fault.New(fault.KindHistoryGone, "restored")
		}
		if after < f.store.lostVersion {
			f.store.mu.Unlock()
			return platform.FeedRead{}, fault.New(fault.KindHistoryGone, "history lost")
		}
		changed, version := f.store.changed, f.store.version
		var out []catalog.Entry
		for _, e := range f.store.entries[f.topic] {
			if e.Version > after && !f.store.silent {
				out = append(out, e)
			}
		}
		f.store.mu.Unlock()
		if len(out) > 0 {
			return f.store.response(out, version), nil
		}
		select {
		case <-changed:
		case <-timeout:
			if f.isSilent() {
				version = after
			}
			return f.store.response(nil, version), f.waitWhileUnresponsive(ctx)
		case <-ctx.Done():
			return platform.FeedRead{}, fault.Wrap(fault.KindStoreUnavailable, ctx.Err(), "no response")
		}
	}
}

// runWithFeeds runs a test in virtual time on n instances with feeds in one
// region, each in a zone of its own, starting when all have target t1.
func runWithFeeds(t *testing.T, n int, test func(t *testing.T, tc *testCluster, r *fakeFeedStore)) {
	t.Helper()
	runPreparedWithFeeds(t, n, func(*testCluster) {}, test)
}

// runWithWrappedFeeds is runWithFeeds with feeds that wrap has changed.
func runWithWrappedFeeds(t *testing.T, n int, wrap func(f fakeFeed) platform.Feed, test func(t *testing.T, tc *testCluster, r *fakeFeedStore)) {
	t.Helper()
	runPreparedWithFeeds(t, n, func(tc *testCluster) { tc.wrapFeed = wrap }, test)
}

// runPreparedWithFeeds is like runWithFeeds, with a call of prepare before the start.
func runPreparedWithFeeds(t *testing.T, n int, prepare func(tc *testCluster), test func(t *testing.T, tc *testCluster, r *fakeFeedStore)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		tc, r := newTestCluster(uint64(n)), newFakeFeedStore()
		defer tc.stop()
		tc.cell = "osrednja"
		prepare(tc)
		tc.useFeeds(r)
		startAll(tc, n, n)
		waitFor(t, 5*time.Second, "target t1 in force at all instances", func() bool { return tc.allHaveTarget("t1", true) })
		test(t, tc, r)
	})
}

// useFeeds has the instances to be started read the feeds of r, which get target t1.
func (tc *testCluster) useFeeds(r *fakeFeedStore) {
	tc.seeds = []string{"instance-000", "instance-001"}
	tc.feeds = func(id string) []platform.Feed {
		return []platform.Feed{tc.feed(r, catalog.Operators, id), tc.feed(r, catalog.Targets, id)}
	}
	r.setTarget("t1", true)
}

// feed returns an instance's feed of a topic.
func (tc *testCluster) feed(r *fakeFeedStore, topic catalog.Topic, id string) platform.Feed {
	f := fakeFeed{r, topic, id}
	if tc.wrapFeed == nil {
		return f
	}
	return tc.wrapFeed(f)
}

// hasTarget reports whether the tables in force at the instance have the target.
func (n *testNode) hasTarget(target string) bool {
	t := n.Tables()
	if t == nil {
		return false
	}
	for _, p := range t.Pools {
		for _, tg := range p.Targets {
			if tg.Name == target {
				return true
			}
		}
	}
	return false
}

// allHaveTarget reports whether hasTarget returns want for all instances.
func (tc *testCluster) allHaveTarget(target string, want bool) bool {
	for _, n := range tc.nodes {
		if n.hasTarget(target) != want {
			return false
		}
	}
	return true
}
