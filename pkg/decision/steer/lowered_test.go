package steer

import (
	"testing"
	"time"
)

// A lender lowers its share, sees that the rest covers its requests, and lends the
// share. A decision that has read the share before must not use it after that.
func TestShareLoweredDuringDecisionIsNotUsed(t *testing.T) {
	tables := smallFixture.tables()
	c := newCore(tables)
	shares := allShares(tables, testSelf, at(time.Hour))
	tg := c.snapshot.Load().pools["feedlog-osrednja"].targets[0]
	ns := c.nanos(at(time.Second))
	if !tg.acquireSlot(ns) {
		t.Fatal("no slot is free")
	}
	limit := tg.usableSlots(ns)
	shares.Slots[tg.name] = 1
	c.SetShares(at(time.Second), shares)
	if acquire(&tg.inFlight, limit, &tg.share) {
		t.Errorf("%d requests are in flight with a share of %d", tg.inFlight.Load(), tg.share.Load())
	}
	if n := tg.inFlight.Load(); n != 1 {
		t.Errorf("%d requests are counted, want 1", n)
	}
}

func TestRegionShareLoweredDuringDecisionIsNotUsed(t *testing.T) {
	tables := smallFixture.tables()
	c := newCore(tables)
	shares := allShares(tables, testSelf, at(time.Hour))
	reg := c.snapshot.Load().regions["osrednja"]
	limit := reg.share.Load()
	shares.Regions["osrednja"] = 0
	c.SetShares(at(time.Second), shares)
	if acquire(&reg.inFlight, limit, &reg.share) || reg.inFlight.Load() != 0 {
		t.Errorf("%d requests are in flight with a share of 0", reg.inFlight.Load())
	}
}
