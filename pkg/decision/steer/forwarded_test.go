package steer

import (
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// forwardedRequest returns a request that another instance with the given version of the
// tables has forwarded for the first pool.
func forwardedRequest(tb *table.Tables, version uint64) *Request {
	r := newRequest(tb, at(time.Second))
	r.TablesVersion, r.Pool = version, tb.Pools[0].Name
	return r
}

// A request must not be served for a pool that its route has left by the tables here, unless
// the instance that has forwarded it has newer ones.
func TestForwardedRequestIsServedOnlyForAPoolOfItsRoute(t *testing.T) {
	moved := localTables(2, func(t *table.Tables) { t.Routes[0].Pools[0].Pool = t.Pools[1].Name })
	for name, tc := range map[string]struct {
		tables  *table.Tables
		version uint64
		want    Verdict
	}{
		"the route has left the pool":    {moved, 1, Refuse},
		"the forwarder has newer tables": {moved, 3, Dispatch},
		"the route still has the pool":   {localTables(2, func(*table.Tables) {}), 1, Dispatch},
		"both have the same tables":      {localTables(2, func(*table.Tables) {}), 2, Dispatch},
		"the route is gone by that name": {localTables(2, func(t *table.Tables) { t.Routes[0].Name = "other" }), 1, Refuse},
		"the path prefix is another one": {localTables(2, func(t *table.Tables) { t.Routes[0].PathPrefix = "/other" }), 1, Dispatch},
	} {
		d := newCore(tc.tables).Decide(at(time.Second), forwardedRequest(localTables(1, func(*table.Tables) {}), tc.version))
		if d.Verdict != tc.want || d.Verdict == Refuse && d.Kind != fault.KindNoTarget {
			t.Errorf("%s: verdict %d, kind %v", name, d.Verdict, d.Kind)
		}
	}
}

func TestPlacedHopIsNotSentOnceItsRouteHasLeftThePool(t *testing.T) {
	elsewhere := func(n uint64, change func(t *table.Tables)) *table.Tables {
		return localTables(n, func(t *table.Tables) {
			for i := range t.Pools {
				t.Pools[i].Targets[0].Zone = "elsewhere"
			}
			change(t)
		})
	}
	v1 := elsewhere(1, func(*table.Tables) {})
	c := newCore(v1)
	r := newRequest(v1, at(time.Second))
	r.TablesVersion, r.Path = 1, "/read"
	d := c.Decide(at(time.Second), r)
	if d.Verdict != Hop || c.MustNotSend(at(time.Second), r, &d) {
		t.Fatalf("decision %+v, want a hop that may be sent", d)
	}
	c.SetTables(at(2*time.Second), elsewhere(2, func(t *table.Tables) { t.Routes[0].Pools[0].Pool = t.Pools[1].Name }))
	if !c.MustNotSend(at(2*time.Second), r, &d) {
		t.Error("the hop is sent")
	}
}
