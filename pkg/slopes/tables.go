package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/capacity"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	standin "github.com/jacinthramp/jacinthramp/pkg/standin/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
)

// tables returns tables of n targets in pools of eight, with a route for each pool.
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

// fitOverTargets fits a quantity of the tables over the number of targets.
func fitOverTargets(r *run, quantity func(*table.Tables) (float64, error)) (capacity.Line, error) {
	return fitOver(r.sizes(smallTargets, fullScaleTargets), func(n int) (float64, error) { return quantity(tables(n)) })
}

// Numbers of targets at which a quantity is measured.
var (
	smallTargets     = []float64{32, 64, 128}
	fullScaleTargets = []float64{32, 500, 1000, 2000}
)

// fitOver measures a quantity at the given sizes and fits a line.
func fitOver(sizes []float64, quantity func(n int) (float64, error)) (capacity.Line, error) {
	var points []capacity.Point
	for _, n := range sizes {
		y, err := quantity(int(n))
		if err != nil {
			return capacity.Line{}, err
		}
		points = append(points, capacity.Point{X: n, Y: y})
	}
	return capacity.Fit(points), nil
}

// meanNanoseconds returns the mean time of ten calls of f, after a first call
// that is not measured.
func meanNanoseconds(f func() error) (float64, error) {
	const calls = 10
	if err := f(); err != nil {
		return 0, err
	}
	start := time.Now()
	for range calls {
		if err := f(); err != nil {
			return 0, err
		}
	}
	return float64(time.Since(start).Nanoseconds()) / calls, nil
}

// encodeFirstVersion encodes tb as version 1. It returns the content and its head.
func encodeFirstVersion(tb *table.Tables) ([]byte, tablestore.Head, error) {
	next := tb.Clone()
	next.Version = 1
	name, data, err := tablestore.Encode(next)
	return data, tablestore.Head{Version: 1, Object: name}, err
}

func tablesBytes(r *run) (capacity.Line, error) {
	return fitOverTargets(r, func(tb *table.Tables) (float64, error) {
		data, _, err := encodeFirstVersion(tb)
		return float64(len(data)), err
	})
}

func tablesLoad(r *run) (capacity.Line, error) {
	return fitOverTargets(r, func(tb *table.Tables) (float64, error) {
		data, head, err := encodeFirstVersion(tb)
		if err != nil {
			return 0, err
		}
		return meanNanoseconds(func() error {
			got, err := tablestore.Decode(data, head)
			if err == nil {
				got.WithDefaults()
			}
			return err
		})
	})
}

func editTime(r *run) (capacity.Line, error) {
	return fitOverTargets(r, func(tb *table.Tables) (float64, error) {
		routes, err := table.FormatRoutes(tb)
		if err != nil {
			return 0, err
		}
		pools, err := table.FormatPools(tb)
		if err != nil {
			return 0, err
		}
		return meanNanoseconds(func() error {
			p, err := table.Parse(&table.Source{Name: "r", Data: routes}, &table.Source{Name: "p", Data: pools}, &table.Tables{})
			if err != nil {
				return err
			}
			if err := p.Validate(); err != nil {
				return err
			}
			table.Diff(tb, p.Tables)
			_, _, err = encodeFirstVersion(p.Tables)
			return err
		})
	})
}

// countingPlatform counts the commits to and the object reads from a platform.
type countingPlatform struct {
	platform.TableService
	platform.ObjectStore
	commits, objectReads int
}

func (c *countingPlatform) Commit(ctx context.Context, ws []platform.Write) ([]string, error) {
	c.commits++
	return c.TableService.Commit(ctx, ws)
}

func (c *countingPlatform) GetObject(ctx context.Context, name string) ([]byte, bool, error) {
	c.objectReads++
	return c.ObjectStore.GetObject(ctx, name)
}

const acceptedEdits = 4

// acceptEdits accepts acceptedEdits edits on a countingPlatform. The commits of
// the first edit are not counted.
func acceptEdits(r *run) (*countingPlatform, error) {
	store := standin.New(time.Now)
	c := &countingPlatform{TableService: store, ObjectStore: store}
	for v := range acceptedEdits {
		tb := tables(32)
		tb.Version = uint64(v)
		tb.Pools[0].Targets[0].Slots = 5 + v
		e := tablestore.Edit{ID: fmt.Sprint(v), Tables: tb, ComputeShifts: func(*table.Tables, time.Time) []table.Shift { return nil }}
		if _, err := tablestore.Accept(r.ctx, c, c, e); err != nil {
			return nil, err
		}
		if v == 0 {
			// The first edit has no previous shares, for which an edit reads
			// the store's clock.
			c.commits = 0
		}
	}
	return c, nil
}

func editWrites(r *run) (capacity.Line, error) {
	c, err := acceptEdits(r)
	if err != nil {
		return capacity.Line{}, err
	}
	return capacity.Line{Slope: float64(c.commits) / (acceptedEdits - 1)}, nil
}

func loadReads(r *run) (capacity.Line, error) {
	c, err := acceptEdits(r)
	if err != nil {
		return capacity.Line{}, err
	}
	head, _, _, err := tablestore.ReadHead(r.ctx, c, "")
	if err != nil {
		return capacity.Line{}, err
	}
	c.objectReads = 0
	_, err = tablestore.Load(r.ctx, c, head)
	return capacity.Line{Slope: float64(c.objectReads)}, err
}
