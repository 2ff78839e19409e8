package cluster

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/decision/ratelimit"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	standin "github.com/jacinthramp/jacinthramp/pkg/standin/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
)

// noRateLimits is the part of a Core that exchanges rate limits, without any.
type noRateLimits struct{}

func (noRateLimits) RateLimitRecords(time.Time, []ratelimit.Record) []ratelimit.Record { return nil }

func (noRateLimits) MergeRateLimits(time.Time, string, []ratelimit.Record) {}

// fakeStore is the platform's stand-in, with a separate list of instances so that
// the list and the store can fail independently.
type fakeStore struct {
	*standin.Store
	list   *standin.Store
	tables *table.Tables
}

const storeDelay = 4 * time.Millisecond

func newFakeStore() *fakeStore {
	s := &fakeStore{Store: standin.New(nil), list: standin.New(nil)}
	s.setDown(false)
	s.setListDown(false)
	return s
}

// setDown sets whether the table service and the object store leave requests
// unanswered.
func (s *fakeStore) setDown(down bool) {
	s.SetFaults(standin.Faults{Unresponsive: down, Delay: table.Duration(storeDelay)})
}

// setListDown sets whether the list of instances leaves requests unanswered.
func (s *fakeStore) setListDown(down bool) {
	s.list.SetFaults(standin.Faults{Unresponsive: down, Delay: table.Duration(storeDelay)})
}

func (s *fakeStore) isDown() bool { return s.Faults().Unresponsive }

func (s *fakeStore) reads() int64 { return int64(s.Stats().Reads + s.list.Stats().Reads) }

func (s *fakeStore) writes() int64 { return int64(s.Stats().Writes + s.list.Stats().Writes) }

// accept stores tables as an operator's edit does, also during a fault.
func (s *fakeStore) accept(t *table.Tables) {
	faults := s.Faults()
	s.SetFaults(standin.Faults{})
	defer s.SetFaults(faults)
	name, data, err := tablestore.Encode(t)
	mustSucceed(err)
	head, err := json.Marshal(tablestore.Head{Version: t.Version, EditID: "e", Author: "a", Object: name})
	mustSucceed(err)
	ctx := context.Background()
	mustSucceed(s.PutObject(ctx, name, data))
	if s.tables != nil {
		from, _, _ := tablestore.Encode(s.tables)
		patch, _ := json.Marshal(map[string]any{"from": from, "patch": table.NewPatch(s.tables, t)})
		mustSucceed(s.PutObject(ctx, tablestore.PatchPrefix+name, patch))
	}
	s.tables = t
	row, _, err := s.Get(ctx, tablestore.CurrentKey, "")
	mustSucceed(err)
	_, err = s.Commit(ctx, []platform.Write{{Key: tablestore.CurrentKey, IfMatch: row.ETag, Value: head}})
	mustSucceed(err)
}

func mustSucceed(err error) {
	if err != nil {
		panic(err)
	}
}

// fakeNet delivers calls between the instances of one test.
type fakeNet struct {
	mu       sync.Mutex
	rnd      *rand.Rand
	handlers map[string]instance.Handler
	loss     float64
	// cut reports whether messages from one address to another are lost.
	cut func(from, to string) bool
	// links are the instances' links; nil if they are of any speed.
	links *fakeLinks
	// measureFrames is set to count the size of messages as encoded on a
	// connection, which is slow; otherwise the size of their JSON is counted.
	measureFrames atomic.Bool
	messages      atomic.Int64
	bytes         atomic.Int64
	// byMethod and byAddr count the bytes sent and received, by method and by
	// instance.
	byMethod map[instance.Method]int64
	byAddr   map[string]int64
}

const linkDelay = 4 * time.Millisecond

func newFakeNet(seed uint64) *fakeNet {
	return &fakeNet{rnd: rand.New(rand.NewPCG(seed, 7)), handlers: map[string]instance.Handler{}, byMethod: map[instance.Method]int64{}, byAddr: map[string]int64{}}
}

// countMessage adds one message to the counters.
func (n *fakeNet) countMessage(m instance.Method, from, to string, size int) {
	n.messages.Add(1)
	n.bytes.Add(int64(size))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.byMethod[m] += int64(size)
	n.byAddr[from] += int64(size)
	n.byAddr[to] += int64(size)
}

func (n *fakeNet) randFloat() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rnd.Float64()
}

// sizeOf returns the size at which a message is counted. data is its JSON content.
func (n *fakeNet) sizeOf(data []byte, message any) int {
	if !n.measureFrames.Load() {
		return len(data)
	}
	return frameSize(message)
}

// frameSize returns the size of the encoded message in bytes.
func frameSize(v any) int {
	frame, err := instance.Codec{}.AppendFrame(nil, v)
	if err != nil {
		panic(err)
	}
	return len(frame)
}

// fakeTransport makes the calls of one instance through a fakeNet.
type fakeTransport struct {
	net  *fakeNet
	from string
}

func (c fakeTransport) Call(ctx context.Context, to string, m instance.Method, params, result any) error {
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	c.net.countMessage(m, c.from, to, c.net.sizeOf(data, &jsonrpc2.Request{Method: string(m), Params: (*json.RawMessage)(&data)}))
	if err := c.net.transfer(ctx, len(data), c.from, to); err != nil {
		return err
	}
	h, err := c.net.deliver(ctx, c.from, to)
	if err != nil {
		return err
	}
	reply, err := instance.Dispatch(ctx, h, m, data)
	if err != nil {
		return err
	}
	if data, err = json.Marshal(reply); err != nil {
		return err
	}
	c.net.countMessage(m, to, c.from, c.net.sizeOf(data, &jsonrpc2.Response{Result: (*json.RawMessage)(&data)}))
	if err := c.net.transfer(ctx, len(data), to, c.from); err != nil {
		return err
	}
	if _, err := c.net.deliver(ctx, to, c.from); err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// deliver waits for the delay of one message and returns its receiver. If the
// message is lost, it waits until ctx ends.
func (n *fakeNet) deliver(ctx context.Context, from, to string) (instance.Handler, error) {
	lost := n.randFloat() < n.loss
	n.mu.Lock()
	h, ok := n.handlers[to]
	cut := n.cut != nil && n.cut(from, to)
	n.mu.Unlock()
	if lost || cut {
		<-ctx.Done()
		return nil, fault.Wrap(fault.KindPeerUnavailable, ctx.Err(), "lost")
	}
	time.Sleep(linkDelay)
	if !ok {
		return nil, fault.Wrap(fault.KindPeerUnavailable, syscall.ECONNREFUSED, "refused")
	}
	return h, nil
}

// transfer takes the time that a message of a size takes over the links of its sender and
// its receiver, which is none unless links is set.
func (n *fakeNet) transfer(ctx context.Context, size int, from, to string) error {
	n.mu.Lock()
	links := n.links
	n.mu.Unlock()
	if links == nil {
		return nil
	}
	return links.transfer(ctx, size, from, to)
}

// testNode is one running instance.
type testNode struct {
	*Cluster
	cancel context.CancelFunc
	addr   string
	wg     conc.WaitGroup
}

// testCluster is a set of instances on a fake network and store.
type testCluster struct {
	store     *fakeStore
	net       *fakeNet
	nodes     []*testNode
	started   int
	seeds     []string
	overrides allowance.SafetyOverrides
	// feeds returns the feeds of an instance; nil means no feeds. cell is the
	// cell of the instances to start; "" means their zone.
	feeds func(id string) []platform.Feed
	cell  string
	// linkMbps returns the stated speed of an instance's link; nil means none.
	linkMbps func(id string) int
	// wrapFeed returns the feed that an instance uses in place of f; nil means f.
	wrapFeed func(f fakeFeed) platform.Feed
	// tableService returns the table service of an instance; nil means the store.
	tableService func(id string) platform.TableService
	// registry returns the platform's list for an instance; nil means the store's.
	registry func(id string) platform.InstanceRegistry
	// generation returns the generation of the store for instances that start from now
	// on; nil means that they learn it from the entries.
	generation func() uint64
	log        *zap.Logger
}

func newTestCluster(seed uint64) *testCluster {
	return &testCluster{store: newFakeStore(), net: newFakeNet(seed), log: zap.NewNop()}
}

// start starts one instance in a zone.
func (tc *testCluster) start(id, zone string) *testNode { return tc.startWith(id, zone, nil) }

// startWith is like start, with a core that uses the shares.
func (tc *testCluster) startWith(id, zone string, core Core) *testNode {
	tc.started++
	in := platform.Instance{
		ID: id, Zone: zone, Region: cmp.Or(tc.cell, "osrednja"), Incarnation: fmt.Sprintf("%08d", tc.started),
		PeerAddress: id, CallerAddress: id, HopAddress: id, AdminAddress: id, Cell: tc.cell,
	}
	if tc.linkMbps != nil {
		in.LinkMbps = tc.linkMbps(id)
	}
	var feeds []platform.Feed
	if tc.feeds != nil {
		feeds = tc.feeds(id)
	}
	var tables platform.TableService = tc.store
	if tc.tableService != nil {
		tables = tc.tableService(id)
	}
	var registry platform.InstanceRegistry = tc.store.list
	if tc.registry != nil {
		registry = tc.registry(id)
	}
	c := New(Config{
		Feeds: feeds,
		Self:  in, Timing: DefaultTiming(), Tables: tables, Objects: tc.store, Instances: registry, StoreGeneration: tc.generation,
		Seeds: tc.seeds, Peers: fakeTransport{tc.net, id}, Log: tc.log, Rand: tc.net.randFloat,
	})
	c.ledger = allowance.NewLedger(c.self, in.PeerAddress, c.timing.Allowance, tc.overrides)
	if core != nil {
		c.attach(core)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &testNode{Cluster: c, cancel: cancel, addr: id}
	tc.net.mu.Lock()
	tc.net.handlers[id] = c.Handler()
	tc.net.mu.Unlock()
	n.wg.Go(func() { _ = c.Run(ctx) })
	tc.nodes = append(tc.nodes, n)
	return n
}

// kill terminates an instance without notice.
func (tc *testCluster) kill(n *testNode) {
	tc.net.mu.Lock()
	delete(tc.net.handlers, n.addr)
	tc.net.mu.Unlock()
	n.cancel()
	n.wg.Wait()
	tc.nodes = slices.DeleteFunc(tc.nodes, func(o *testNode) bool { return o == n })
}

func (tc *testCluster) stop() {
	for _, n := range tc.nodes {
		n.cancel()
	}
	for _, n := range tc.nodes {
		n.wg.Wait()
	}
}

// zoneName returns the zone of the i-th instance or target. They are distributed
// as evenly as in the users' deployment.
func zoneName(i, zones int) string { return fmt.Sprintf("zone-%02d", i%zones) }

// testTables returns tables with two targets of four slots in each zone.
func testTables(version uint64, zones int) *table.Tables {
	t := &table.Tables{
		Version: version,
		Routes:  []table.Route{{Name: "feedlog", Pools: []table.PoolWeight{{Pool: "feedlog", Weight: 1}}}},
		Pools:   []table.Pool{{Name: "feedlog", Region: "osrednja"}},
		Regions: []table.Region{{Name: "osrednja"}},
	}
	for i := range 2 * zones {
		t.Pools[0].Targets = append(t.Pools[0].Targets, table.Target{
			Name: fmt.Sprintf("feedlog-%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), Zone: zoneName(i, zones), Slots: 4,
		})
	}
	return t.WithDefaults()
}

// usableShares returns the sum of the slots of a target that the running instances
// may use now.
func (tc *testCluster) usableShares(target string) int {
	sum := 0
	for _, n := range tc.nodes {
		if sh := n.Shares(); time.Now().Before(sh.Expires) {
			sum += sh.Slots[target]
		}
	}
	return sum
}

// allInForce reports whether version is in force at all instances.
func (tc *testCluster) allInForce(version uint64) bool {
	for _, n := range tc.nodes {
		if t := n.Tables(); t == nil || t.Version != version {
			return false
		}
	}
	return true
}
