package allowance

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawSimulationConfig(t *rapid.T) simulationConfig {
	fault := rapid.Custom(func(t *rapid.T) faultEvent {
		return faultEvent{
			At:       time.Duration(rapid.IntRange(0, 110).Draw(t, "at")) * time.Second,
			For:      time.Duration(rapid.IntRange(1, 70).Draw(t, "for")) * time.Second,
			Kind:     faultKind(rapid.IntRange(0, int(faultKindCount)-1).Draw(t, "kind")),
			Instance: rapid.IntRange(0, 4).Draw(t, "instance"),
		}
	})
	return simulationConfig{
		Seed:      rapid.Uint64().Draw(t, "seed"),
		Instances: rapid.IntRange(1, 5).Draw(t, "instances"),
		Loss:      float64(rapid.IntRange(0, 40).Draw(t, "loss")) / 100,
		MaxDelay:  time.Duration(rapid.IntRange(0, 6000).Draw(t, "delay")) * time.Millisecond,
		Faults:    rapid.SliceOfN(fault, 0, 8).Draw(t, "faults"),
	}
}

func TestSharesOfAllIncarnationsNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := newSimulation(drawSimulationConfig(t)).run(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestSharesRecoverAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := drawSimulationConfig(t)
		cfg.Loss = min(cfg.Loss, 0.2)
		cfg.MaxDelay = min(cfg.MaxDelay, time.Second)
		for i := range cfg.Faults {
			f := &cfg.Faults[i]
			f.At = min(f.At, 30*time.Second)
			f.For = min(f.For, 10*time.Second)
		}
		s := newSimulation(cfg)
		if err := s.run(); err != nil {
			t.Fatal(err)
		}
		active := 0
		for _, p := range s.current {
			if !p.ledger.leaving {
				active++
			}
		}
		if len(s.store.Holders) != active {
			t.Fatalf("%d instances are active, but the row has the holders %+v", active, s.store.Holders)
		}
		want := s.limits[len(s.limits)-1]
		if got := s.store.Granted()[testLimit]; active > 0 && got != want {
			t.Fatalf("granted %d shares, want %d: %+v", got, want, s.store.Holders)
		}
	})
}

// A request that returns shares invalidates the replies to earlier requests,
// however late they arrive.
func TestStaleLoanReplyIsIgnored(t *testing.T) {
	h := newTwoHolders(SafetyOverrides{})
	h.writeRow(h.a.Heartbeat(h.now), h.b.Heartbeat(h.now))
	h.a.ObserveRow(h.now, h.row)
	h.b.ObserveRow(h.now, h.row)
	first := h.b.RequestLoan(h.now, keyA, testLimit, 2)
	lateReply := h.a.Lend(h.now, first)
	second := h.b.RequestLoan(h.now, keyA, testLimit, 0)
	h.a.Lend(h.now, second)
	h.b.Heartbeat(h.now)
	h.b.RecordLoan(h.now, h.now, first, lateReply)
	if got := h.a.Shares(h.now).Counts[testLimit] + h.b.Shares(h.now).Counts[testLimit]; got != 7 {
		t.Fatalf("%d shares are usable, want 7", got)
	}
}

// leaveWithBorrowedShares returns two holders of which b has just borrowed
// shares of a, is leaving and is no longer in the row, and the borrower of b.
func leaveWithBorrowedShares(t *testing.T) (*twoHolders, *Borrower) {
	t.Helper()
	h := newTwoHolders(SafetyOverrides{})
	borrower := NewBorrower(testTiming(), func(int) int { return 0 })
	h.writeRow(h.a.Heartbeat(h.now), h.b.Heartbeat(h.now))
	h.a.ObserveRow(h.now, h.row)
	h.b.ObserveRow(h.now, h.row)
	for _, req := range borrower.LoanRequests(h.now, h.b, []Shortfall{{Count: 2, Limits: []Limit{testLimit}}}) {
		h.b.RecordLoan(h.now, h.now, req, h.a.Lend(h.now, req))
	}
	h.b.Leave()
	h.writeRow(h.b.Heartbeat(h.now))
	h.writeRow(h.a.Heartbeat(h.now))
	h.a.ObserveRow(h.now, h.row)
	h.b.ObserveRow(h.now, h.row)
	if h.row.Holder(keyB) != nil || h.b.borrowedCount(h.now, testLimit) != 2 {
		t.Fatalf("the row is %+v with %d shares borrowed, want no holder b and 2", h.row, h.b.borrowedCount(h.now, testLimit))
	}
	return h, borrower
}

func TestLeavingHolderReturnsBorrowedSharesBeforeItIsReleased(t *testing.T) {
	h, borrower := leaveWithBorrowedShares(t)
	if h.b.Released(h.now) {
		t.Error("the holder is released before it has returned the borrowed shares")
	}
	for _, req := range borrower.LoanRequests(h.now, h.b, nil) {
		h.a.Lend(h.now, req)
	}
	if !h.b.Released(h.now) {
		t.Error("the holder is not released after it has asked to return the borrowed shares")
	}
	if got := h.a.Shares(h.now).Counts[testLimit]; got != 7 {
		t.Errorf("the lender may use %d shares, want 7", got)
	}
}

func TestLeavingHolderKeepsBorrowedSharesInUse(t *testing.T) {
	h, borrower := leaveWithBorrowedShares(t)
	h.b.SetInUse(h.now, Counts{testLimit: 1})
	for _, req := range borrower.LoanRequests(h.now, h.b, nil) {
		t.Errorf("request %+v, want none", req)
	}
	if h.b.Released(h.now) {
		t.Error("the holder is released while it uses borrowed shares")
	}
	if !h.b.Released(h.now.Add(testTiming().MaxLoan)) {
		t.Error("the holder is not released after the loan has ended")
	}
}

// violatesLimit reports whether any of n simulations exceeds the limit under
// overrides.
func violatesLimit(n int, overrides SafetyOverrides) bool {
	gen := rapid.Custom(drawSimulationConfig)
	for seed := range n {
		cfg := gen.Example(seed)
		cfg.Overrides = overrides
		if newSimulation(cfg).run() != nil {
			return true
		}
	}
	return false
}

func TestSimulationDetectsSafetyOverrides(t *testing.T) {
	for name, overrides := range map[string]SafetyOverrides{
		"lent shares not subtracted":            {KeepLentShares: true},
		"loan counted from the reply":           {StartLoanAtReply: true},
		"duplicate loan applied again":          {ApplyDuplicateLoans: true},
		"reclaim without consent":               {ReclaimWithoutConsent: true},
		"loans of terminated processes ignored": {IgnoreLoansOfTerminated: true},
	} {
		if !violatesLimit(400, overrides) {
			t.Errorf("%s: no simulation detected the disabled rule", name)
		}
	}
}

// twoHolders holds a row and the ledgers of two holders, which observe the
// row only when the test passes it to them.
type twoHolders struct {
	now  time.Time
	row  *Row
	a, b *Ledger
}

var (
	keyA = HolderKey{ID: "osrednja-1", Incarnation: "1"}
	keyB = HolderKey{ID: "osrednja-2", Incarnation: "1"}
	keyC = HolderKey{ID: "osrednja-3", Incarnation: "1"}
)

func newTwoHolders(overrides SafetyOverrides) *twoHolders {
	now := time.Unix(1000, 0)
	return &twoHolders{
		now: now, row: &Row{},
		a: NewLedger(keyA, "a", testTiming(), overrides), b: NewLedger(keyB, "b", testTiming(), overrides),
	}
}

func (h *twoHolders) writeRow(hbs ...Heartbeat) {
	h.row = Plan(h.row, PlanInputs{TablesVersion: 1, Limits: Counts{testLimit: 7}, Heartbeats: hbs})
}

// usableAfterLateCommittedCap returns the number of shares that two holders
// may use after a heartbeat with a committed cap was recorded late.
func usableAfterLateCommittedCap(overrides SafetyOverrides) int {
	h := newTwoHolders(overrides)
	h.writeRow(h.a.Heartbeat(h.now))
	h.a.ObserveRow(h.now, h.row)
	h.writeRow(h.a.Heartbeat(h.now), h.b.Heartbeat(h.now))
	h.a.ObserveRow(h.now, h.row)
	lateHeartbeat := h.a.Heartbeat(h.now)
	h.b.Leave()
	h.writeRow(h.b.Heartbeat(h.now))
	h.a.ObserveRow(h.now, h.row)
	c := NewLedger(keyC, "c", testTiming(), overrides)
	h.writeRow(lateHeartbeat, c.Heartbeat(h.now))
	c.ObserveRow(h.now, h.row)
	return h.a.Shares(h.now).Counts[testLimit] + c.Shares(h.now).Counts[testLimit]
}

func TestCommittedCapAppliesUntilRecorded(t *testing.T) {
	if got := usableAfterLateCommittedCap(SafetyOverrides{}); got > 7 {
		t.Errorf("%d shares are usable, want at most 7", got)
	}
	if got := usableAfterLateCommittedCap(SafetyOverrides{IgnoreCommittedCaps: true}); got <= 7 {
		t.Errorf("the disabled rule was not detected: %d shares are usable, want more than 7", got)
	}
}

// usableWhileReclaimable reports whether a holder that observed its renewal
// late still uses its shares when they may be reclaimed.
func usableWhileReclaimable(overrides SafetyOverrides) bool {
	h := newTwoHolders(overrides)
	h.writeRow(h.a.Heartbeat(h.now), h.b.Heartbeat(h.now))
	c := NewReclaimer(keyB, testTiming(), overrides)
	c.ObserveRow(h.now, h.row)
	h.now = h.now.Add(9 * time.Second)
	h.a.ObserveRow(h.now, h.row)
	h.now = h.now.Add(2 * time.Second)
	w := NewWitness(keyB, testTiming())
	for _, req := range c.ConsentRequests(h.now, keyA) {
		if w.GrantConsent(h.now, req) {
			c.RecordConsent(req)
		}
	}
	return c.MayReclaim(h.now, keyA) && h.now.Before(h.a.Shares(h.now).Expires)
}

func TestLeaseStartsWhenHeartbeatIsSent(t *testing.T) {
	if usableWhileReclaimable(SafetyOverrides{}) {
		t.Error("a share is usable although it may be reclaimed")
	}
	if !usableWhileReclaimable(SafetyOverrides{StartLeaseAtReply: true}) {
		t.Error("the disabled rule was not detected")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"version":2,"layout":1,"tables":1,"holders":[{"id":"a","incarnation":"1","grants":{"target/x":2},"witnesses":[{"id":"b","incarnation":"1"}]}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		row, err := Decode(value)
		if err != nil {
			return
		}
		now := time.Unix(1000, 0)
		g := NewLedger(keyA, "a", testTiming(), SafetyOverrides{})
		g.ObserveRow(now, row)
		next := Plan(row, PlanInputs{TablesVersion: row.TablesVersion, Limits: Counts{testLimit: 7}, Heartbeats: []Heartbeat{g.Heartbeat(now)}})
		if err := next.Validate(); err != nil {
			t.Fatal(err)
		}
	})
}

// usableAfterWitnessTerminated reports whether a holder still uses its shares
// after its only witness terminated, when the witness may have consented to
// their reclaim before.
func usableAfterWitnessTerminated(overrides SafetyOverrides) bool {
	h := newTwoHolders(overrides)
	h.writeRow(h.a.Heartbeat(h.now), h.b.Heartbeat(h.now))
	h.a.ObserveRow(h.now, h.row)
	h.now = h.now.Add(15 * time.Second)
	h.a.ObserveWitnessTermination(h.now, keyB)
	return h.now.Before(h.a.Shares(h.now).Expires)
}

func TestTerminatedWitnessCountsOnlyBeforeItMayHaveConsented(t *testing.T) {
	if usableAfterWitnessTerminated(SafetyOverrides{}) {
		t.Error("a holder relies on a terminated witness that may have consented")
	}
	if !usableAfterWitnessTerminated(SafetyOverrides{TrustAnyTerminatedWitness: true}) {
		t.Error("the disabled rule was not detected")
	}
	h := newTwoHolders(SafetyOverrides{})
	h.writeRow(h.a.Heartbeat(h.now), h.b.Heartbeat(h.now))
	h.a.ObserveRow(h.now, h.row)
	h.a.ObserveWitnessTermination(h.now.Add(6*time.Second), keyB)
	if got, want := h.a.Expires(), h.now.Add(testTiming().LongLease); got != want {
		t.Errorf("the lease ends at %v, want %v", got, want)
	}
}
