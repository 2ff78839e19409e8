package slopes

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/capacity"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	standin "github.com/jacinthramp/jacinthramp/pkg/standin/platform"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
)

// countingConn counts the bytes read from and written to a connection.
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

// newCountingClient serves the store over HTTP. It returns a client of it and the
// counter of the bytes that the client reads and writes.
func newCountingClient(r *run, store *standin.Store) (*platform.Client, *atomic.Int64, error) {
	address, err := r.serve(standin.Handler(store))
	if err != nil {
		return nil, nil, err
	}
	bytes := &atomic.Int64{}
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, bytes}, err
	}}
	client := platform.NewClient("http://"+address, transport)
	r.addCleanup(client.Close)
	return client, bytes, nil
}

// acceptEdit accepts tables of n targets as the version after the given one, with
// a changed number of slots of one target.
func acceptEdit(r *run, store *standin.Store, n, version int) error {
	tb := tables(n)
	tb.Version = uint64(version)
	tb.Pools[0].Targets[0].Slots = 4 + version
	e := tablestore.Edit{ID: fmt.Sprint(version), Author: "an operator", Reason: "more slots", Tables: tb}
	_, err := tablestore.Accept(r.ctx, store, store, e)
	return err
}

// pollBytes measures the bytes of a conditional read of an unchanged head.
func pollBytes(r *run) (capacity.Line, error) {
	store := standin.New(time.Now)
	if err := acceptEdit(r, store, 32, 0); err != nil {
		return capacity.Line{}, err
	}
	client, bytes, err := newCountingClient(r, store)
	if err != nil {
		return capacity.Line{}, err
	}
	_, etag, _, err := tablestore.ReadHead(r.ctx, client, "")
	if err != nil {
		return capacity.Line{}, err
	}
	bytes.Store(0)
	const polls = 10
	for range polls {
		_, _, changed, err := tablestore.ReadHead(r.ctx, client, etag)
		if err != nil {
			return capacity.Line{}, err
		}
		if changed {
			return capacity.Line{}, fault.New(fault.KindInvariantBroken, "the head changed without an edit")
		}
	}
	return capacity.Line{Slope: float64(bytes.Load()) / polls}, nil
}

// measureEditLoads accepts edits of one target and loads each over HTTP. It
// returns the mean number of bytes transferred and the mean load time in
// nanoseconds per edit.
func measureEditLoads(r *run, targets int) (bytesPerEdit, ns float64, err error) {
	store := standin.New(time.Now)
	if err := acceptEdit(r, store, targets, 0); err != nil {
		return 0, 0, err
	}
	client, bytes, err := newCountingClient(r, store)
	if err != nil {
		return 0, 0, err
	}
	reader := &versionReader{tables: client, loader: tablestore.NewLoader(client)}
	if _, err := reader.loadNewest(r.ctx); err != nil {
		return 0, 0, err
	}
	var took time.Duration
	bytes.Store(0)
	const edits = 5
	for v := range edits {
		if err := acceptEdit(r, store, targets, v+1); err != nil {
			return 0, 0, err
		}
		loading, err := reader.loadNewest(r.ctx)
		if err != nil {
			return 0, 0, err
		}
		took += loading
		if len(reader.loader.LastStep().Patch) == 0 {
			return 0, 0, fault.New(fault.KindInvariantBroken, "the whole content was read instead of a patch")
		}
	}
	return float64(bytes.Load()) / edits, float64(took.Nanoseconds()) / edits, nil
}

// versionReader loads the versions of the tables from a platform.
type versionReader struct {
	tables platform.TableService
	loader *tablestore.Loader
	etag   string
}

// loadNewest loads the newest version. It returns the load time without the read
// of the head.
func (v *versionReader) loadNewest(ctx context.Context) (time.Duration, error) {
	head, etag, _, err := tablestore.ReadHead(ctx, v.tables, v.etag)
	if err != nil {
		return 0, err
	}
	v.etag = etag
	start := time.Now()
	_, err = v.loader.Load(ctx, head)
	return time.Since(start), err
}

// editLoadBytes measures the bytes of loading one edit.
func editLoadBytes(r *run) (capacity.Line, error) {
	n := 64
	if r.fullScale {
		n = 2000
	}
	bytes, _, err := measureEditLoads(r, n)
	return capacity.Line{Slope: bytes}, err
}

// editLoadTime measures the time of loading one edit over the number of targets.
func editLoadTime(r *run) (capacity.Line, error) {
	return fitOver(r.sizes(smallTargets, fullScaleTargets), func(n int) (float64, error) {
		_, ns, err := measureEditLoads(r, n)
		return ns, err
	})
}
