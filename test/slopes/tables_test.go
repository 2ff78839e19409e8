package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/capacity"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	standin "github.com/jacinthramp/jacinthramp/pkg/standin/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
)

// tables returns tables of n targets: pools of eight, each with its route.
func tables(n int) *table.Tables {
	t := &table.Tables{Regions: []table.Region{{Name: "osrednja"}}}
	for len(t.Pools)*8 < n {
		i := len(t.Pools)
		p := table.Pool{Name: fmt.Sprintf("pool-%d", i), Region: "osrednja"}
		for j := range min(8, n-8*i) {
			p.Targets = append(p.Targets, table.Target{
				Name: fmt.Sprintf("target-%d-%d", i, j), Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>8, i&255, j+1),
				Zone: "osrednja-" + string(rune('a'+j%2)), Slots: 4,
			})
		}
		t.Pools = append(t.Pools, p)
		t.Routes = append(t.Routes, table.Route{
			Name: fmt.Sprintf("route-%d", i), PathPrefix: fmt.Sprintf("/route-%d", i),
			Pools: []table.PoolWeight{{Pool: p.Name, Weight: 100}},
		})
	}
	return t
}

// overTargets fits a quantity over the number of targets.
func overTargets(full bool, quantity func(*table.Tables) float64) capacity.Line {
	sizes := []float64{32, 64, 128}
	if full {
		sizes = []float64{32, 500, 1000, 2000}
	}
	var points []capacity.Point
	for _, n := range sizes {
		points = append(points, capacity.Point{X: n, Y: quantity(tables(int(n)))})
	}
	return capacity.Fit(points)
}

// nanoseconds is the mean time of f over a few calls.
func nanoseconds(f func()) float64 {
	const calls = 10
	f()
	start := time.Now()
	for range calls {
		f()
	}
	return float64(time.Since(start).Nanoseconds()) / calls
}

// encode returns the content of version 1 and its head.
func encode(t *testing.T, tb *table.Tables) ([]byte, tablestore.Head) {
	next := tb.Clone()
	next.Version = 1
	name, data, err := tablestore.Encode(next)
	if err != nil {
		t.Fatal(err)
	}
	return data, tablestore.Head{Version: 1, Object: name}
}

func tablesBytes(t *testing.T, full bool) capacity.Line {
	return overTargets(full, func(tb *table.Tables) float64 {
		data, _ := encode(t, tb)
		return float64(len(data))
	})
}

func tablesLoad(t *testing.T, full bool) capacity.Line {
	return overTargets(full, func(tb *table.Tables) float64 {
		data, head := encode(t, tb)
		return nanoseconds(func() {
			got, err := tablestore.Decode(data, head)
			if err != nil {
				t.Fatal(err)
			}
			got.WithDefaults()
		})
	})
}

func editTime(t *testing.T, full bool) capacity.Line {
	return overTargets(full, func(tb *table.Tables) float64 {
		routes, err := table.FormatRoutes(tb)
		if err != nil {
			t.Fatal(err)
		}
		pools, err := table.FormatPools(tb)
		if err != nil {
			t.Fatal(err)
		}
		return nanoseconds(func() {
			p, err := table.Parse(&table.Source{Name: "r", Data: routes}, &table.Source{Name: "p", Data: pools}, &table.Tables{})
			if err != nil {
				t.Fatal(err)
			}
			if err := p.Check(); err != nil {
				t.Fatal(err)
			}
			table.Diff(tb, p.Tables)
			encode(t, p.Tables)
		})
	})
}

// counted counts the calls of a platform.
type counted struct {
	platform.Tables
	platform.Objects
	commits, objectReads int
}

func (c *counted) Commit(ctx context.Context, ws []platform.Write) ([]string, error) {
	c.commits++
	return c.Tables.Commit(ctx, ws)
}

func (c *counted) GetObject(ctx context.Context, name string) ([]byte, bool, error) {
	c.objectReads++
	return c.Objects.GetObject(ctx, name)
}

const acceptedEdits = 4

// afterEdits accepts a few edits on a counted platform.
func afterEdits(t *testing.T) *counted {
	store := standin.New(time.Now)
	c := &counted{Tables: store, Objects: store}
	for v := range acceptedEdits {
		tb := tables(32)
		tb.Version = uint64(v)
		tb.Pools[0].Targets[0].Slots = 5 + v
		e := tablestore.Edit{ID: fmt.Sprint(v), Tables: tb, Shifts: func(*table.Tables, time.Time) []table.Shift { return nil }}
		if _, err := tablestore.Accept(context.Background(), c, c, e); err != nil {
			t.Fatal(err)
		}
		if v == 0 {
			// The first edit has no earlier shares to read the clock for.
			c.commits = 0
		}
	}
	return c
}

func editWrites(t *testing.T, _ bool) capacity.Line {
	return capacity.Line{Slope: float64(afterEdits(t).commits) / (acceptedEdits - 1)}
}

func loadReads(t *testing.T, _ bool) capacity.Line {
	c := afterEdits(t)
	head, _, _, err := tablestore.ReadHead(context.Background(), c, "")
	if err != nil {
		t.Fatal(err)
	}
	c.objectReads = 0
	if _, err := tablestore.Load(context.Background(), c, head); err != nil {
		t.Fatal(err)
	}
	return capacity.Line{Slope: float64(c.objectReads)}
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// overHTTP serves the store and returns a client whose bytes are counted.
func overHTTP(t *testing.T, store *standin.Store) (*platform.Client, *atomic.Int64) {
	server := httptest.NewServer(standin.Handler(store))
	t.Cleanup(server.Close)
	bytes := &atomic.Int64{}
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, bytes}, err
	}}
	client := platform.NewClient(server.URL, transport)
	t.Cleanup(client.Close)
	return client, bytes
}

// accept makes tables of n targets, one of them changed, the next version.
func accept(t *testing.T, store *standin.Store, n, version int) {
	tb := tables(n)
	tb.Version = uint64(version)
	tb.Pools[0].Targets[0].Slots = 4 + version
	e := tablestore.Edit{ID: fmt.Sprint(version), Author: "an operator", Reason: "more slots", Tables: tb}
	if _, err := tablestore.Accept(context.Background(), store, store, e); err != nil {
		t.Fatal(err)
	}
}

// readHead reads the head with the given ETag.
func readHead(t *testing.T, c platform.Tables, etag string) (head tablestore.Head, newETag string, changed bool) {
	head, newETag, changed, err := tablestore.ReadHead(context.Background(), c, etag)
	if err != nil {
		t.Fatal(err)
	}
	return head, newETag, changed
}

func pollBytes(t *testing.T, _ bool) capacity.Line {
	store := standin.New(time.Now)
	accept(t, store, 32, 0)
	client, bytes := overHTTP(t, store)
	_, etag, _ := readHead(t, client, "")
	bytes.Store(0)
	const polls = 10
	for range polls {
		if _, _, changed := readHead(t, client, etag); changed {
			t.Fatal("the head changed without an edit")
		}
	}
	return capacity.Line{Slope: float64(bytes.Load()) / polls}
}

// learnEdits has a loader follow edits of one target over HTTP, and returns
// the mean bytes and nanoseconds of an edit.
func learnEdits(t *testing.T, targets int) (bytesPerEdit, ns float64) {
	ctx := context.Background()
	store := standin.New(time.Now)
	accept(t, store, targets, 0)
	client, bytes := overHTTP(t, store)
	loader := tablestore.NewLoader(client)
	head, etag, _ := readHead(t, client, "")
	if _, err := loader.Load(ctx, head); err != nil {
		t.Fatal(err)
	}
	var took time.Duration
	bytes.Store(0)
	const edits = 5
	for v := range edits {
		accept(t, store, targets, v+1)
		head, etag, _ = readHead(t, client, etag)
		start := time.Now()
		if _, err := loader.Load(ctx, head); err != nil {
			t.Fatal(err)
		}
		took += time.Since(start)
		if len(loader.Last().Patch) == 0 {
			t.Fatal("the content was read whole")
		}
	}
	return float64(bytes.Load()) / edits, float64(took.Nanoseconds()) / edits
}

func learnBytes(t *testing.T, full bool) capacity.Line {
	n := 64
	if full {
		n = 2000
	}
	bytes, _ := learnEdits(t, n)
	return capacity.Line{Slope: bytes}
}

func learnTime(t *testing.T, full bool) capacity.Line {
	sizes := []float64{32, 64, 128}
	if full {
		sizes = []float64{32, 500, 1000, 2000}
	}
	var points []capacity.Point
	for _, n := range sizes {
		_, ns := learnEdits(t, int(n))
		points = append(points, capacity.Point{X: n, Y: ns})
	}
	return capacity.Fit(points)
}

func decideTime(t *testing.T, full bool) capacity.Line {
	now := time.Unix(1_800_000_000, 0)
	tb := tables(32)
	tb.Version, tb.AcceptedAt = 1, now.Add(-time.Hour)
	for i := range tb.Pools {
		for j := range tb.Pools[i].Targets {
			tb.Pools[i].Targets[j].Zone = "osrednja-a"
		}
	}
	tb = tb.WithDefaults()
	core := steer.New(steer.Self{Instance: "i", Zone: "osrednja-a", Region: "osrednja"}, rand.NewPCG(1, 1))
	core.SetTables(now, tb)
	shares := steer.Shares{Expires: now.Add(time.Hour), Slots: map[string]int{}, Regions: map[string]int{"osrednja": 1000}}
	for _, p := range tb.Pools {
		for _, tg := range p.Targets {
			shares.Slots[tg.Name] = tg.Slots
		}
	}
	core.SetShares(now, shares)
	n := 1000
	if full {
		n = 200_000
	}
	refused := 0
	start := time.Now()
	for i := range n {
		at := now.Add(time.Duration(i) * 100 * time.Microsecond)
		r := steer.Request{Route: &tb.Routes[i%len(tb.Routes)], Idempotent: true, BodyBytes: 0, Arrived: at, Deadline: at.Add(time.Second)}
		d := core.Decide(at, &r)
		if d.Verdict != steer.Dispatch {
			refused++
			continue
		}
		core.Done(at, d, steer.Result{Latency: time.Millisecond})
	}
	took := time.Since(start)
	if refused > n/10 {
		t.Logf("%d of %d decisions were no dispatch", refused, n)
	}
	return capacity.Line{Slope: float64(took.Nanoseconds()) / float64(n)}
}
