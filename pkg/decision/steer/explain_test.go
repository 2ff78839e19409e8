package steer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// explainAfter returns the explanation after change has been applied to the
// tables of smallFixture.
func explainAfter(t *testing.T, change func(*table.Tables), lease time.Duration) Explanation {
	t.Helper()
	tb := smallFixture.tables()
	change(tb)
	c := New(testSelf, rand.NewPCG(1, 2))
	c.SetTables(epoch, tb)
	c.SetShares(epoch, allShares(tb, testSelf, at(lease)))
	e, ok := c.Explain(at(time.Millisecond), "feedlog")
	if !ok {
		t.Fatal("no such route")
	}
	return e
}

func drainPool(i int) func(*table.Tables) {
	return func(tb *table.Tables) { tb.Pools[i].Drain = true }
}

func TestExplanationFollowsTheState(t *testing.T) {
	e := explainAfter(t, func(*table.Tables) {}, time.Hour)
	if e.Verdict != Dispatch || e.Target == "" || len(e.Pools) != 2 || e.Pools[0].Share != 0.5 {
		t.Fatalf("explanation = %+v", e)
	}
	e = explainAfter(t, func(tb *table.Tables) {
		for j := range tb.Pools[0].Targets {
			tb.Pools[0].Targets[j].Drain = tb.Pools[0].Targets[j].Zone == testSelf.Zone
		}
		tb.Pools[1].Drain = true
	}, time.Hour)
	if e.Verdict != Hop || e.Zone == testSelf.Zone || e.Pools[0].Targets[0].Excluded != "drained" || e.Pools[1].Excluded != "the pool is drained" {
		t.Fatalf("explanation = %+v", e)
	}
	e = explainAfter(t, func(tb *table.Tables) { drainPool(0)(tb); drainPool(1)(tb) }, time.Hour)
	if e.Verdict != Refuse || e.Kind != fault.KindNoTarget {
		t.Fatalf("explanation = %+v", e)
	}
	e = explainAfter(t, func(tb *table.Tables) {
		for i := range tb.Pools {
			tb.Pools[i].Targets = tb.Pools[i].Targets[:1]
		}
		tb.Pools[1].Drain = true
	}, 0)
	if e.Verdict != Refuse || e.Kind != fault.KindShareLapsed {
		t.Fatalf("explanation = %+v", e)
	}
}

func TestExplainChangesNoState(t *testing.T) {
	tb := smallFixture.tables()
	c := New(testSelf, rand.NewPCG(1, 2))
	c.SetTables(epoch, tb)
	c.SetShares(epoch, allShares(tb, testSelf, at(time.Hour)))
	before := c.Demand()
	for range 100 {
		c.Explain(at(time.Millisecond), "feedlog")
		c.PoolViews(at(time.Millisecond))
	}
	after := c.Demand()
	for i := range before.Targets {
		if before.Targets[i] != after.Targets[i] {
			t.Fatalf("demand changed from %+v to %+v", before.Targets[i], after.Targets[i])
		}
	}
	if _, ok := c.Explain(epoch, "none"); ok {
		t.Fatal("Explain returned an explanation of an unknown route")
	}
}
