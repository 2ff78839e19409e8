package cluster

import (
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/decision/departure"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/decision/poison"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
)

// lateCore is a Core in which a request starts right before the next shares are put
// in force.
type lateCore struct {
	noRateLimits
	target    string
	share     int
	inUse     int
	startNext bool
}

func (c *lateCore) SetShares(_ time.Time, sh steer.Shares) {
	if c.startNext && c.inUse < c.share {
		c.inUse++
	}
	c.startNext = false
	c.share = sh.Slots[c.target]
}

func (c *lateCore) Demand() steer.Demand {
	return steer.Demand{Targets: []steer.TargetDemand{{Target: c.target, Pool: "feedlog", Share: c.share, InUse: c.inUse}}}
}

func (*lateCore) Summaries(time.Time) []steer.ZoneSummary { return nil }
func (*lateCore) PoisonRecords(time.Time) []poison.Record { return nil }
func (*lateCore) MergePoison(time.Time, []poison.Record)  {}

func (*lateCore) LeavingRecords(time.Time, departure.Source, []departure.Record) []departure.Record {
	return nil
}

func (*lateCore) MergeLeaving(time.Time, departure.Source, string, []departure.Record) {}

// newBorrower returns an instance that holds one slot of a target and has borrowed
// another one, and its lender.
func newBorrower(t *testing.T, core Core) (*Cluster, allowance.HolderKey) {
	t.Helper()
	c := New(Config{Self: platform.Instance{ID: "instance-0", Zone: zoneName(0, 1), Incarnation: "1", PeerAddress: "instance-0"}, Timing: DefaultTiming(), Rand: func() float64 { return 0 }})
	c.attach(core)
	now := time.Now()
	lender := allowance.HolderKey{ID: "instance-1", Incarnation: "1"}
	limit := allowance.TargetLimit("feedlog-0")
	heartbeat := c.ledger.Heartbeat(now)
	c.ledger.ObserveRow(now, &allowance.Row{Version: 2, LayoutVersion: 1, Holders: []allowance.Holder{
		{HolderKey: c.self, Renewal: heartbeat.Number, Grants: allowance.Counts{limit: 1}},
		{HolderKey: lender, Grants: allowance.Counts{limit: 3}},
	}})
	c.ledger.ObserveRenewal(now, 3, 1, heartbeat.Number)
	c.view.ObserveMessage(now, member.Info{ID: lender.ID, Incarnation: lender.Incarnation, Zone: zoneName(0, 1), PeerAddress: lender.ID})
	q := c.ledger.RequestLoan(now, lender, limit, 1)
	c.ledger.RecordLoan(now, now, q, allowance.Loan{Number: q.Number, Count: 1, Duration: 3 * time.Second})
	c.applyShares(now)
	return c, lender
}

func TestReturnIsWithheldWhenARequestHasStartedUnderTheLoan(t *testing.T) {
	for name, late := range map[string]bool{"a request starts": true, "no request starts": false} {
		core := &lateCore{target: "feedlog-0"}
		c, lender := newBorrower(t, core)
		if core.share != 2 {
			t.Fatalf("the borrower may use %d slots, want 2", core.share)
		}
		core.inUse = 1
		core.startNext = late
		requests := c.loanRequests(time.Now().Add(2 * time.Second))
		returned := len(requests) == 1 && requests[0].Lender == lender && requests[0].Count == 0
		if returned == late || len(requests) > 1 {
			t.Errorf("%s: the requests to the lender are %+v", name, requests)
		}
		if core.inUse > core.share {
			t.Errorf("%s: %d requests in flight with a share of %d", name, core.inUse, core.share)
		}
	}
}
