package cluster

import (
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
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	standin "github.com/jacinthramp/jacinthramp/pkg/standin/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
)

// fakeStore is the platform's stand-in, with a list of instances whose faults
// are its own.
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

// setDown lets the table service and the object store answer, or not.
func (s *fakeStore) setDown(down bool) {
	s.SetFaults(standin.Faults{Unresponsive: down, Delay: table.Duration(storeDelay)})
}

// setListDown lets the list answer, or not.
func (s *fakeStore) setListDown(down bool) {
	s.list.SetFaults(standin.Faults{Unresponsive: down, Delay: table.Duration(storeDelay)})
}

func (s *fakeStore) isDown() bool { return s.Faults().Unresponsive }

func (s *fakeStore) reads() int64 { return int64(s.Stats().Reads + s.list.Stats().Reads) }

func (s *fakeStore) writes() int64 { return int64(s.Stats().Writes + s.list.Stats().Writes) }

// accept stores tables as an operator's edit does, whatever faults are on.
func (s *fakeStore) accept(t *table.Tables) {
	faults := s.Faults()
	s.SetFaults(standin.Faults{})
	defer s.SetFaults(faults)
	name, data, err := tablestore.Encode(t)
	check(err)
	head, err := json.Marshal(tablestore.Head{Version: t.Version, EditID: "e", Author: "a", Object: name})
	check(err)
	ctx := context.Background()
	check(s.PutObject(ctx, name, data))
	if s.tables != nil {
		from, _, _ := tablestore.Encode(s.tables)
		patch, _ := json.Marshal(map[string]any{"from": from, "patch": table.PatchOf(s.tables, t)})
		check(s.PutObject(ctx, tablestore.PatchPrefix+name, patch))
	}
	s.tables = t
	row, _, err := s.Get(ctx, tablestore.CurrentKey, "")
	check(err)
	_, err = s.Commit(ctx, []platform.Write{{Key: tablestore.CurrentKey, IfMatch: row.ETag, Value: head}})
	check(err)
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// fakeNet carries calls between clusters of one test.
type fakeNet struct {
	mu       sync.Mutex
	rnd      *rand.Rand
	handlers map[string]instance.Handler
	loss     float64
	// cut says whether messages from one address to another are lost.
	cut func(from, to string) bool
	// sized has the messages counted as they are on a connection, which takes
	// long; else as JSON.
	sized    atomic.Bool
	messages atomic.Int64
	bytes    atomic.Int64
	// by method and by instance, bytes sent and received.
	byMethod map[instance.Method]int64
	byAddr   map[string]int64
}

const linkDelay = 4 * time.Millisecond

func newFakeNet(seed uint64) *fakeNet {
	return &fakeNet{rnd: rand.New(rand.NewPCG(seed, 7)), handlers: map[string]instance.Handler{}, byMethod: map[instance.Method]int64{}, byAddr: map[string]int64{}}
}

// count notes the size of one message.
func (n *fakeNet) count(m instance.Method, from, to string, size int) {
	n.messages.Add(1)
	n.bytes.Add(int64(size))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.byMethod[m] += int64(size)
	n.byAddr[from] += int64(size)
	n.byAddr[to] += int64(size)
}

func (n *fakeNet) float() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rnd.Float64()
}

// sizeOf returns what a message with the given content counts for.
func (n *fakeNet) sizeOf(data []byte, message any) int {
	if !n.sized.Load() {
		return len(data)
	}
	return frameSize(message)
}

// frameSize returns the bytes that a message takes on a connection.
func frameSize(v any) int {
	frame, err := instance.Codec{}.Append(nil, v)
	if err != nil {
		panic(err)
	}
	return len(frame)
}

// port is one instance's way into the net.
type port struct {
	net  *fakeNet
	from string
}

func (p port) Call(ctx context.Context, to string, m instance.Method, params, result any) error {
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	p.net.count(m, p.from, to, p.net.sizeOf(data, &jsonrpc2.Request{Method: string(m), Params: (*json.RawMessage)(&data)}))
	h, err := p.net.carry(ctx, p.from, to)
	if err != nil {
		return err
	}
	answer, err := instance.Dispatch(ctx, h, m, data)
	if err != nil {
		return err
	}
	if data, err = json.Marshal(answer); err != nil {
		return err
	}
	p.net.count(m, to, p.from, p.net.sizeOf(data, &jsonrpc2.Response{Result: (*json.RawMessage)(&data)}))
	if _, err := p.net.carry(ctx, to, p.from); err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// carry takes one message over a link, or waits for the caller to give up.
func (n *fakeNet) carry(ctx context.Context, from, to string) (instance.Handler, error) {
	lost := n.float() < n.loss
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

// node is one running cluster.
type node struct {
	*Cluster
	cancel context.CancelFunc
	addr   string
	wg     conc.WaitGroup
}

// bench is a set of clusters over a fake net and store.
type bench struct {
	store *fakeStore
	net   *fakeNet
	nodes []*node
	born  int
	seeds []string
	rules allowance.SafetyOverrides
	// feeds makes the feeds of an instance, and cell groups the instances.
	feeds func(id string) []platform.Feed
	cell  string
	log   *zap.Logger
}

func newBench(seed uint64) *bench {
	return &bench{store: newFakeStore(), net: newFakeNet(seed), log: zap.NewNop()}
}

// start runs one instance of zone.
func (b *bench) start(id, zone string) *node { return b.startWith(id, zone, nil) }

// startWith is start with decisions that use the shares.
func (b *bench) startWith(id, zone string, core Core) *node {
	b.born++
	in := platform.Instance{
		ID: id, Zone: zone, Region: "osrednja", Incarnation: fmt.Sprintf("%08d", b.born),
		PeerAddress: id, CallerAddress: id, HopAddress: id, AdminAddress: id, Cell: b.cell,
	}
	var feeds []platform.Feed
	if b.feeds != nil {
		feeds = b.feeds(id)
	}
	c := New(Config{
		Feeds: feeds,
		Self:  in, Timing: DefaultTiming(), Tables: b.store, Objects: b.store, Instances: b.store.list,
		Seeds: b.seeds, Peers: port{b.net, id}, Log: b.log, Rand: b.net.float,
	})
	c.ledger = allowance.NewLedger(c.self, in.PeerAddress, c.timing.Allowance, b.rules)
	if core != nil {
		c.attach(core)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{Cluster: c, cancel: cancel, addr: id}
	b.net.mu.Lock()
	b.net.handlers[id] = c.Handler()
	b.net.mu.Unlock()
	n.wg.Go(func() { _ = c.Run(ctx) })
	b.nodes = append(b.nodes, n)
	return n
}

// kill ends an instance without a word.
func (b *bench) kill(n *node) {
	b.net.mu.Lock()
	delete(b.net.handlers, n.addr)
	b.net.mu.Unlock()
	n.cancel()
	n.wg.Wait()
	b.nodes = slices.DeleteFunc(b.nodes, func(o *node) bool { return o == n })
}

func (b *bench) stop() {
	for _, n := range b.nodes {
		n.cancel()
	}
	for _, n := range b.nodes {
		n.wg.Wait()
	}
}

// zoneName spreads instances over zones as evenly as the real sizes are.
func zoneName(i, zones int) string { return fmt.Sprintf("zone-%02d", i%zones) }

// testTables has two targets of four slots in each zone.
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

// usable adds up the shares of one limit that all running instances may use.
func (b *bench) usable(target string) int {
	sum := 0
	for _, n := range b.nodes {
		if sh := n.Shares(); time.Now().Before(sh.Expires) {
			sum += sh.Slots[target]
		}
	}
	return sum
}

// allInForce reports whether all instances have version in force.
func (b *bench) allInForce(version uint64) bool {
	for _, n := range b.nodes {
		if t := n.Tables(); t == nil || t.Version != version {
			return false
		}
	}
	return true
}
