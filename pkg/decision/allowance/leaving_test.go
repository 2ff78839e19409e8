package allowance

import (
	"testing"
	"time"
)

// leavingLender is a zone of two holders and a third that joins. a has lent two
// shares to b and leaves, while b has requests in flight under the loan.
type leavingLender struct {
	*twoHolders
	c        *Ledger
	borrower *Borrower
	inUse    int // requests in flight at b
}

func newLeavingLender(t *testing.T) *leavingLender {
	t.Helper()
	h := &leavingLender{twoHolders: newTwoHolders(SafetyOverrides{}), inUse: 5}
	h.c = NewLedger(keyC, "c", testTiming(), SafetyOverrides{})
	h.borrower = NewBorrower(testTiming(), func(int) int { return 0 })
	h.writeRow(h.a.Heartbeat(h.now), h.b.Heartbeat(h.now))
	h.observe()
	req := h.b.RequestLoan(h.now, keyA, testLimit, 2)
	h.b.RecordLoan(h.now, h.now, req, h.a.Lend(h.now, req))
	if got := h.b.Shares(h.now).Counts[testLimit]; got < h.inUse {
		t.Fatalf("b may use %d shares, want %d", got, h.inUse)
	}
	h.a.Leave()
	return h
}

func (h *leavingLender) observe() {
	for _, g := range []*Ledger{h.a, h.b, h.c} {
		g.ObserveRow(h.now, h.row)
	}
}

// step delivers the loan requests of b, records a heartbeat of each holder and
// lets half a second pass.
func (h *leavingLender) step() {
	h.b.SetInUse(h.now, Counts{testLimit: h.inUse})
	for _, req := range h.borrower.LoanRequests(h.now, h.b, nil) {
		h.b.RecordLoan(h.now, h.now, req, h.a.Lend(h.now, req))
	}
	h.writeRow(h.a.Heartbeat(h.now), h.b.Heartbeat(h.now), h.c.Heartbeat(h.now))
	h.observe()
	h.now = h.now.Add(500 * time.Millisecond)
}

func TestLoanOfLeavingLenderLastsWhileItIsInUse(t *testing.T) {
	h := newLeavingLender(t)
	for range 20 {
		h.step()
		if got := h.inUse + h.c.Shares(h.now).Counts[testLimit]; got > 7 {
			t.Fatalf("%d requests of b and shares of c, limit 7", got)
		}
		if h.a.Released(h.now) {
			t.Fatal("the lender has left while its loan was in use")
		}
	}
	h.inUse = 3
	for range 4 {
		h.step()
	}
	if !h.a.Released(h.now) {
		t.Errorf("the lender has not left after its loan was no longer in use: %+v", h.row.Holders)
	}
	if got := h.b.Shares(h.now).Counts[testLimit] + h.c.Shares(h.now).Counts[testLimit]; got != 7 {
		t.Errorf("%d shares are usable, want 7", got)
	}
}

// Requests that end are not replaced by new ones under the loan, or the lender
// could never leave.
func TestLoanOfLeavingLenderIsNotUsedForNewRequests(t *testing.T) {
	h := newLeavingLender(t)
	h.step()
	granted := h.row.Holder(keyB).Grants[testLimit]
	if got := h.b.Shares(h.now).Counts[testLimit]; got > granted {
		t.Errorf("new requests may use %d shares, of which %d are granted", got, granted)
	}
}

func TestLeavingLenderLendsNothingMore(t *testing.T) {
	h := newLeavingLender(t)
	more := h.b.RequestLoan(h.now, keyA, testLimit, 3)
	if loan := h.a.Lend(h.now, more); loan.Count != 2 {
		t.Errorf("the leaving lender lends %d shares, want the 2 lent before", loan.Count)
	}
	first := LoanRequest{Borrower: keyC, Lender: keyA, Limit: testLimit, Count: 1, Number: 1}
	if loan := h.a.Lend(h.now, first); loan.Count != 0 {
		t.Errorf("the leaving lender lends %d shares to a new borrower", loan.Count)
	}
}

// A lender whose requests in flight exceed its share retracts what it has just
// lent, and renews the rest.
func TestCancelledLoanKeepsTheSharesLentBefore(t *testing.T) {
	h := newLeavingLender(t)
	more := h.b.RequestLoan(h.now, keyA, testLimit, 3)
	loan := h.a.CancelLoan(more, h.a.Lend(h.now, more))
	if loan.Number != more.Number || loan.Count != 2 || loan.Duration <= 0 {
		t.Errorf("the cancelled loan is %+v, want the 2 shares lent before", loan)
	}
}
